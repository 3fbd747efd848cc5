//go:build bench

// ================================================================
// Simulates routing and admission under load, in virtual time: the real Router
// and admission Controller with twelve modelled engines.
//
// An engine works in steps. A step generates a token for every request whose
// prompt has been read, and reads up to prefillPerStep tokens of the other
// prompts; a cached prefix need not be read. Engines report load once a second.
// A request counts as good (goodput) if its first token comes within 0.72 s and
// the 95th percentile of its gaps between tokens is at most 63 ms.
// ================================================================

package bench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/admission"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/route"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	replicaCount    = 12
	entryCount      = 6
	batchSlots      = 16
	requestLimit    = 20 // requests that an agent accepts: a full batch and a short queue
	stepBase        = 10 * time.Millisecond
	stepPerToken    = 500 * time.Microsecond
	prefillPerStep  = 512 // most prompt tokens that a step reads
	prefillPerToken = 50 * time.Microsecond
	prefixTokens    = 2000
	suffixTokens    = 200
	meanTokens      = 80.0
	prefixes        = 60
	cachedPrefixes  = 8
	fullRate        = 80.0 // requests per second that count as a load of 100 %
	runTime         = 60 * time.Second
	firstTokenGoal  = 720 * time.Millisecond
	tokenGapGoal    = 63 * time.Millisecond
)

// routeRun is one simulation.
type routeRun struct {
	policy    string
	load      float64
	fault     string
	random    *rand.Rand
	now       time.Time
	events    eventQueue
	sequence  int
	replicas  []*engineModel
	entries   []*entryModel
	reportLag time.Duration

	firstTokenTimes       []float64
	othersFirstTokenTimes []float64
	gaps                  []float64
	goodRequests          int
	refused               int
	arrivals              int
	retries               int
	prefixHits            int
	sent                  int
	goodByOrg             map[string]float64
	goodBySecond          map[int]int
}

// timedEvent is a scheduled callback. sequence orders events of the same time.
type timedEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after schedules a callback at d from now.
func (r *routeRun) after(d time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, timedEvent{r.now.Add(d), r.sequence, run})
}

// ----------------------------------------------------------------
// Engine

// engineModel is a modelled engine with a batch, a queue and a prefix cache.
type engineModel struct {
	run      *routeRun
	id       vm.ID
	slowdown float64
	killed   bool
	running  []*requestModel
	waiting  []*requestModel
	cache    []int
	busy     bool
}

// requestModel is a modelled request. prompt and tokens are the tokens still to be read and generated.
type requestModel struct {
	org      string
	prefix   int
	prompt   int
	tokens   int
	arrived  time.Time
	first    time.Time
	last     time.Time
	gaps     []float64
	done     func(failed bool)
	attempts int
}

func (m *engineModel) enqueue(c *requestModel) {
	c.prompt = suffixTokens
	if !m.lookUpPrefix(c.prefix) {
		c.prompt += prefixTokens
	} else {
		m.run.prefixHits++
	}
	m.waiting = append(m.waiting, c)
	m.startStep()
}

// lookUpPrefix reports whether a prefix is cached, and makes it the most recently used one, which may
// evict another.
func (m *engineModel) lookUpPrefix(prefix int) bool {
	for i, p := range m.cache {
		if p == prefix {
			m.cache = append([]int{p}, append(m.cache[:i:i], m.cache[i+1:]...)...)
			return true
		}
	}
	m.cache = append([]int{prefix}, m.cache...)
	if len(m.cache) > cachedPrefixes {
		m.cache = m.cache[:cachedPrefixes]
	}
	return false
}

func (m *engineModel) startStep() {
	if m.busy || m.killed {
		return
	}
	for len(m.running) < batchSlots && len(m.waiting) > 0 {
		m.running = append(m.running, m.waiting[0])
		m.waiting = m.waiting[1:]
	}
	if len(m.running) == 0 {
		return
	}
	m.busy = true
	prefillLeft, decoding := prefillPerStep, 0
	for _, c := range m.running {
		if c.prompt == 0 {
			decoding++
			continue
		}
		read := min(c.prompt, prefillLeft)
		c.prompt -= read
		prefillLeft -= read
	}
	took := stepBase + time.Duration(decoding)*stepPerToken + time.Duration(prefillPerStep-prefillLeft)*prefillPerToken
	m.run.after(time.Duration(float64(took)*m.slowdown), m.finishStep)
}

func (m *engineModel) finishStep() {
	m.busy = false
	if m.killed {
		return
	}
	var running, ended []*requestModel
	for _, c := range m.running {
		if c.prompt > 0 {
			running = append(running, c)
			continue
		}
		if c.first.IsZero() {
			c.first = m.run.now
		} else {
			c.gaps = append(c.gaps, m.run.now.Sub(c.last).Seconds())
		}
		c.last = m.run.now
		if c.tokens--; c.tokens > 0 {
			running = append(running, c)
		} else {
			ended = append(ended, c)
		}
	}
	m.running = running
	for _, c := range ended {
		c.done(false)
	}
	m.startStep()
}

func (m *engineModel) fail() {
	m.killed = true
	for _, c := range append(m.running, m.waiting...) {
		c.done(true)
	}
	m.running, m.waiting = nil, nil
}

// ----------------------------------------------------------------
// Entry

// entryModel is a modelled entry with the real Router, admission Controller and retry budget.
type entryModel struct {
	run       *routeRun
	killed    bool
	router    *route.Router
	admission *admission.Controller
	budget    *route.Budget
	replicas  []*route.Replica
}

func (e *entryModel) candidates() []*route.Replica {
	var candidates []*route.Replica
	for i, r := range e.replicas {
		if !e.run.replicas[i].killed || e.run.now.Sub(startTime) < e.run.faultTime()+6*time.Second {
			candidates = append(candidates, r)
		}
	}
	return candidates
}

// faultTime returns when the fault is injected, since the start. Entries learn of a replica's failure
// 6 s later.
func (r *routeRun) faultTime() time.Duration { return runTime / 2 }

func (e *entryModel) submit(c *requestModel) {
	r := e.run
	ticket, err := e.admission.Admit(admission.Organisation{Name: c.org, Weight: 1}, r.now.Add(10*time.Second), r.now)
	if err != nil {
		r.refuse(c, err)
		return
	}
	e.budget.RecordRequest()
	e.send(c, ticket)
}

func (e *entryModel) send(c *requestModel, ticket *admission.Ticket) {
	r := e.run
	chosen := e.router.Pick(e.candidates(), fmt.Sprint(c.prefix), r.now)
	if chosen == nil {
		ticket.Release(r.now)
		r.refuse(c, failure.New(failure.Overloaded, "full"))
		return
	}
	c.attempts++
	target := r.replicas[indexOf(e.replicas, chosen)]
	chosen.RequestSent()
	if target.killed || len(target.running)+len(target.waiting) >= requestLimit {
		chosen.RequestEnded(0, target.killed, r.now)
		if c.attempts < 4 && e.budget.TryRetry() {
			r.retries++
			r.after(3*time.Millisecond, func() { e.send(c, ticket) })
			return
		}
		ticket.Release(r.now)
		r.refuse(c, failure.New(failure.Overloaded, "full"))
		return
	}
	tokens := c.tokens
	c.done = func(failed bool) {
		chosen.RequestEnded(tokens, failed, r.now)
		if failed && c.first.IsZero() && c.attempts < 4 && e.budget.TryRetry() {
			r.retries++
			e.send(c, ticket)
			return
		}
		ticket.Release(r.now)
		r.finish(c, failed)
	}
	r.sent++
	target.enqueue(c)
}

func indexOf(replicas []*route.Replica, wanted *route.Replica) int {
	for i, r := range replicas {
		if r == wanted {
			return i
		}
	}
	return -1
}

// ----------------------------------------------------------------
// Simulation

var startTime = time.Unix(1_700_000_000, 0)

func newRouteRun(policy string, load float64, fault string) *routeRun {
	r := &routeRun{
		policy: policy, load: load, fault: fault, now: startTime, random: rand.New(rand.NewPCG(7, 7)),
		reportLag: 200 * time.Millisecond, goodByOrg: map[string]float64{}, goodBySecond: map[int]int{},
	}
	for i := range replicaCount {
		r.replicas = append(r.replicas, &engineModel{run: r, id: vm.ID(fmt.Sprintf("vm-%d", i)), slowdown: 1})
	}
	for i := range entryCount {
		e := &entryModel{
			run: r, router: route.NewRouter(policy, uint64(i)), budget: route.NewBudget(10),
			admission: admission.NewController(2 * replicaCount * requestLimit / entryCount),
		}
		for _, m := range r.replicas {
			e.replicas = append(e.replicas, route.NewReplica(m.id, startTime.Add(-time.Minute)))
		}
		r.entries = append(r.entries, e)
	}
	return r
}

func (r *routeRun) simulate() {
	r.after(0, r.reportLoad)
	r.after(r.arrivalGap(), r.arrive)
	r.after(r.faultTime(), r.injectFault)
	if r.fault == "reports_5s_late" {
		r.reportLag = 5 * time.Second
	}
	if r.fault == "slow_replica" {
		r.replicas[3].slowdown = 3
	}
	end := startTime.Add(runTime + 20*time.Second)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(timedEvent)
		r.now = e.at
		if r.now.After(end) {
			return
		}
		e.run()
	}
}

func (r *routeRun) injectFault() {
	switch r.fault {
	case "replica_dies":
		r.replicas[0].fail()
	case "entry_dies":
		r.entries[0].killed = true
	}
}

func (r *routeRun) reportLoad() {
	if r.now.Sub(startTime) > runTime+20*time.Second {
		return
	}
	for i, m := range r.replicas {
		report := route.Report{InFlight: len(m.running) + len(m.waiting), Limit: requestLimit, CacheFree: 0.5}
		r.after(r.reportLag, func() {
			for _, e := range r.entries {
				report.At = r.now
				e.replicas[i].UpdateReport(report)
			}
		})
	}
	r.after(time.Second, r.reportLoad)
}

// arrivalRate returns the current rate of new requests, per second.
func (r *routeRun) arrivalRate() float64 {
	rate := r.load * fullRate
	at := r.now.Sub(startTime)
	if r.fault == "retry_storm" {
		// The load is 250 % from second 10 to second 20, and 80 % otherwise.
		rate = 0.8 * fullRate
		if at > 10*time.Second && at < 20*time.Second {
			rate = 2.5 * fullRate
		}
	}
	return rate
}

func (r *routeRun) arrivalGap() time.Duration {
	return time.Duration(r.random.ExpFloat64() / r.arrivalRate() * float64(time.Second))
}

func (r *routeRun) arrive() {
	if r.now.Sub(startTime) > runTime {
		return
	}
	r.after(r.arrivalGap(), r.arrive)
	c := &requestModel{
		org:     fmt.Sprintf("org-%d", r.drawOrganisation()),
		prefix:  int(math.Floor(math.Pow(r.random.Float64(), 2) * prefixes)),
		tokens:  max(1, int(math.Exp(math.Log(meanTokens)-0.32+0.8*r.random.NormFloat64()))),
		arrived: r.now,
	}
	r.arrivals++
	r.sendToEntry(c)
}

// drawOrganisation picks one of ten organisations at random, of which two are large. With the fault
// organisation_floods, half of the requests of the run's second half are given to the first one, in
// addition to its usual part of the others.
func (r *routeRun) drawOrganisation() int {
	if r.fault == "organisation_floods" && r.now.Sub(startTime) > runTime/2 && r.random.IntN(2) == 0 {
		return 0
	}
	weights := []int{30, 20, 7, 7, 6, 6, 6, 6, 6, 6}
	n := r.random.IntN(100)
	for i, w := range weights {
		if n < w {
			return i
		}
		n -= w
	}
	return 0
}

func (r *routeRun) sendToEntry(c *requestModel) {
	alive := r.entries
	if r.entries[0].killed {
		alive = alive[1:]
	}
	alive[r.random.IntN(len(alive))].submit(c)
}

func (r *routeRun) refuse(c *requestModel, err error) {
	r.refused++
	if r.fault == "retry_storm" && c.attempts < 40 && r.now.Sub(startTime) < runTime {
		// These callers ignore the retry-after time of the refusal and retry after 100 ms.
		c.attempts++
		r.after(100*time.Millisecond, func() { r.sendToEntry(c) })
	}
	_ = err
}

func (r *routeRun) finish(c *requestModel, failed bool) {
	if failed {
		return
	}
	firstToken := c.first.Sub(c.arrived).Seconds()
	r.firstTokenTimes = append(r.firstTokenTimes, firstToken)
	if c.org != "org-0" {
		r.othersFirstTokenTimes = append(r.othersFirstTokenTimes, firstToken)
	}
	r.gaps = append(r.gaps, c.gaps...)
	if firstToken <= firstTokenGoal.Seconds() && percentile(c.gaps, 0.95) <= tokenGapGoal.Seconds() {
		r.goodRequests++
		r.goodByOrg[c.org]++
		r.goodBySecond[int(r.now.Sub(startTime).Seconds())]++
	}
}

func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// jainIndex returns Jain's fairness index of the shares, which is 1 if they are equal.
func jainIndex(shares map[string]float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range shares {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(shares)) * squares)
}

func (r *routeRun) print() {
	fault := ""
	if r.fault != "" {
		fault = " fault=" + r.fault
	}
	fmt.Printf("route policy=%s load=%.0f%% first_token_p95_ms=%.0f between_p95_ms=%.0f goodput=%.1f refused=%.3f prefix_hit=%.2f jain=%.2f retries_per_request=%.3f others_first_p95_ms=%.0f%s\n",
		r.policy, 100*r.load, 1000*percentile(r.firstTokenTimes, 0.95), 1000*percentile(r.gaps, 0.95), float64(r.goodRequests)/runTime.Seconds(),
		float64(r.refused)/float64(r.arrivals), float64(r.prefixHits)/float64(max(r.sent, 1)), jainIndex(r.goodByOrg),
		float64(r.retries)/float64(r.arrivals), 1000*percentile(r.othersFirstTokenTimes, 0.95), fault)
}

var policyNames = []string{
	route.RandomName, route.RoundRobinName, route.LeastLoadedName, route.TwoChoicesName, route.ScoreName, route.PrefixBoundedName,
}

func TestRoute(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1, 1.5} {
		for _, policy := range policyNames {
			r := newRouteRun(policy, load, "")
			r.simulate()
			r.print()
		}
	}
}

func TestRouteFaults(t *testing.T) {
	for _, fault := range []string{"", "replica_dies", "slow_replica", "reports_5s_late", "entry_dies", "organisation_floods", "retry_storm"} {
		for _, policy := range []string{route.TwoChoicesName, route.ScoreName, route.PrefixBoundedName} {
			r := newRouteRun(policy, 0.8, fault)
			r.simulate()
			r.print()
			if fault == "retry_storm" {
				r.printRecovery()
			}
		}
	}
}

// printRecovery prints how many seconds after the overload's end goodput has recovered.
func (r *routeRun) printRecovery() {
	const overloadEnd = 20
	for second := overloadEnd; second < int(runTime.Seconds()); second++ {
		if float64(r.goodBySecond[second]) >= 0.9*0.8*fullRate*0.9 {
			fmt.Printf("route policy=%s fault=retry_storm goodput_back_after=%ds\n", r.policy, second-overloadEnd)
			return
		}
	}
	fmt.Printf("route policy=%s fault=retry_storm goodput_back_after=never\n", r.policy)
}
