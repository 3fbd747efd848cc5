//go:build bench

// ================================================================
// Routing and admission under load: the real Router and Controller, in virtual
// time, before twelve small engines.
//
// An engine works in steps: each step gives a token to every request that it
// runs and reads a part of the prompts that wait; a prompt whose prefix is in
// its cache is short. Entries see load once a second. A request is good when
// its first token comes within 0.72 s and its tokens are 63 ms apart at the
// 95th percentile.
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
	replicaCount   = 12
	entryCount     = 6
	batchSlots     = 16
	engineLimit    = 20 // requests that an agent takes: the batch and a few
	stepBase       = 10 * time.Millisecond
	stepPerToken   = 500 * time.Microsecond
	prefillPart    = 512 // prompt tokens read in one step at most
	prefillToken   = 50 * time.Microsecond
	prefixTokens   = 2000
	tailTokens     = 200
	meanTokens     = 80.0
	prefixes       = 60
	cachedPrefixes = 8
	fullRate       = 80.0 // requests a second that are called 100%
	runTime        = 60 * time.Second
	firstTokenGoal = 720 * time.Millisecond
	betweenGoal    = 63 * time.Millisecond
)

// routeRun is one run.
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

	firsts   []float64
	smallTTF []float64
	gaps     []float64
	good     int
	refused  int
	asked    int
	retries  int
	hits     int
	sent     int
	byOrg    map[string]float64
	perSec   map[int]int
}

// timedEvent is something that happens at a time.
type timedEvent struct {
	at       time.Time
	sequence int
	do       func()
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

func (r *routeRun) after(d time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.events, timedEvent{r.now.Add(d), r.sequence, do})
}

// ----------------------------------------------------------------
// Engine

// engineModel is one engine.
type engineModel struct {
	run     *routeRun
	id      vm.ID
	slow    float64
	dead    bool
	running []*callModel
	waiting []*callModel
	cache   []int
	busy    bool
}

// callModel is one request.
type callModel struct {
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

func (m *engineModel) take(c *callModel) {
	c.prompt = tailTokens
	if !m.cached(c.prefix) {
		c.prompt += prefixTokens
	} else {
		m.run.hits++
	}
	m.waiting = append(m.waiting, c)
	m.step()
}

// cached looks a prefix up and moves it to the front.
func (m *engineModel) cached(prefix int) bool {
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

func (m *engineModel) step() {
	if m.busy || m.dead {
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
	left, decoding := prefillPart, 0
	for _, c := range m.running {
		if c.prompt == 0 {
			decoding++
			continue
		}
		part := min(c.prompt, left)
		c.prompt -= part
		left -= part
	}
	took := stepBase + time.Duration(decoding)*stepPerToken + time.Duration(prefillPart-left)*prefillToken
	m.run.after(time.Duration(float64(took)*m.slow), m.finishStep)
}

func (m *engineModel) finishStep() {
	m.busy = false
	if m.dead {
		return
	}
	var rest, ended []*callModel
	for _, c := range m.running {
		if c.prompt > 0 {
			rest = append(rest, c)
			continue
		}
		if c.first.IsZero() {
			c.first = m.run.now
		} else {
			c.gaps = append(c.gaps, m.run.now.Sub(c.last).Seconds())
		}
		c.last = m.run.now
		if c.tokens--; c.tokens > 0 {
			rest = append(rest, c)
		} else {
			ended = append(ended, c)
		}
	}
	m.running = rest
	for _, c := range ended {
		c.done(false)
	}
	m.step()
}

func (m *engineModel) die() {
	m.dead = true
	for _, c := range append(m.running, m.waiting...) {
		c.done(true)
	}
	m.running, m.waiting = nil, nil
}

// ----------------------------------------------------------------
// Entry

// entryModel is one entry with the real decision objects.
type entryModel struct {
	run       *routeRun
	dead      bool
	router    *route.Router
	admission *admission.Controller
	budget    *route.Budget
	replicas  []*route.Replica
}

func (e *entryModel) candidates() []*route.Replica {
	var open []*route.Replica
	for i, r := range e.replicas {
		if !e.run.replicas[i].dead || e.run.now.Sub(start) < e.run.diedAt()+6*time.Second {
			open = append(open, r)
		}
	}
	return open
}

// diedAt is when the replica of the fault dies; entries learn it 6 s later.
func (r *routeRun) diedAt() time.Duration { return runTime / 2 }

func (e *entryModel) submit(c *callModel) {
	r := e.run
	ticket, err := e.admission.Admit(admission.Organisation{Name: c.org, Weight: 1}, r.now.Add(10*time.Second), r.now)
	if err != nil {
		r.refuse(c, err)
		return
	}
	e.budget.RecordRequest()
	e.send(c, ticket)
}

func (e *entryModel) send(c *callModel, ticket *admission.Ticket) {
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
	if target.dead || len(target.running)+len(target.waiting) >= engineLimit {
		chosen.RequestEnded(0, target.dead, r.now)
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
	target.take(c)
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
// The run

var start = time.Unix(1_700_000_000, 0)

func newRouteRun(policy string, load float64, fault string) *routeRun {
	r := &routeRun{
		policy: policy, load: load, fault: fault, now: start, random: rand.New(rand.NewPCG(7, 7)),
		reportLag: 200 * time.Millisecond, byOrg: map[string]float64{}, perSec: map[int]int{},
	}
	for i := range replicaCount {
		r.replicas = append(r.replicas, &engineModel{run: r, id: vm.ID(fmt.Sprintf("vm-%d", i)), slow: 1})
	}
	for i := range entryCount {
		e := &entryModel{
			run: r, router: route.NewRouter(policy, uint64(i)), budget: route.NewBudget(10),
			admission: admission.NewController(2 * replicaCount * engineLimit / entryCount),
		}
		for _, m := range r.replicas {
			e.replicas = append(e.replicas, route.NewReplica(m.id, start.Add(-time.Minute)))
		}
		r.entries = append(r.entries, e)
	}
	return r
}

func (r *routeRun) play() {
	r.after(0, r.reportLoad)
	r.after(r.gap(), r.arrive)
	r.after(r.diedAt(), r.injectFault)
	if r.fault == "reports_5s_late" {
		r.reportLag = 5 * time.Second
	}
	if r.fault == "slow_replica" {
		r.replicas[3].slow = 3
	}
	end := start.Add(runTime + 20*time.Second)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(timedEvent)
		r.now = e.at
		if r.now.After(end) {
			return
		}
		e.do()
	}
}

func (r *routeRun) injectFault() {
	switch r.fault {
	case "replica_dies":
		r.replicas[0].die()
	case "entry_dies":
		r.entries[0].dead = true
	}
}

func (r *routeRun) reportLoad() {
	if r.now.Sub(start) > runTime+20*time.Second {
		return
	}
	for i, m := range r.replicas {
		report := route.Report{InFlight: len(m.running) + len(m.waiting), Limit: engineLimit, CacheFree: 0.5}
		r.after(r.reportLag, func() {
			for _, e := range r.entries {
				report.At = r.now
				e.replicas[i].UpdateReport(report)
			}
		})
	}
	r.after(time.Second, r.reportLoad)
}

// rate is what callers ask for at the moment.
func (r *routeRun) rate() float64 {
	rate := r.load * fullRate
	at := r.now.Sub(start)
	if r.fault == "retry_storm" {
		// Overloaded twice over for ten seconds, then at 80%.
		rate = 0.8 * fullRate
		if at > 10*time.Second && at < 20*time.Second {
			rate = 2.5 * fullRate
		}
	}
	return rate
}

func (r *routeRun) gap() time.Duration {
	return time.Duration(r.random.ExpFloat64() / r.rate() * float64(time.Second))
}

func (r *routeRun) arrive() {
	if r.now.Sub(start) > runTime {
		return
	}
	r.after(r.gap(), r.arrive)
	c := &callModel{
		org:     fmt.Sprintf("org-%d", r.organisation()),
		prefix:  int(math.Floor(math.Pow(r.random.Float64(), 2) * prefixes)),
		tokens:  max(1, int(math.Exp(math.Log(meanTokens)-0.32+0.8*r.random.NormFloat64()))),
		arrived: r.now,
	}
	r.asked++
	r.toEntry(c)
}

// organisation draws one of ten; two are large. In the flood the first asks
// for ten times its share.
func (r *routeRun) organisation() int {
	if r.fault == "organisation_floods" && r.now.Sub(start) > runTime/2 && r.random.IntN(2) == 0 {
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

func (r *routeRun) toEntry(c *callModel) {
	alive := r.entries
	if r.entries[0].dead {
		alive = alive[1:]
	}
	alive[r.random.IntN(len(alive))].submit(c)
}

func (r *routeRun) refuse(c *callModel, err error) {
	r.refused++
	if r.fault == "retry_storm" && c.attempts < 40 && r.now.Sub(start) < runTime {
		// Callers that ignore the time to come back and ask again at once.
		c.attempts++
		r.after(100*time.Millisecond, func() { r.toEntry(c) })
	}
	_ = err
}

func (r *routeRun) finish(c *callModel, failed bool) {
	if failed {
		return
	}
	ttf := c.first.Sub(c.arrived).Seconds()
	r.firsts = append(r.firsts, ttf)
	if c.org != "org-0" {
		r.smallTTF = append(r.smallTTF, ttf)
	}
	r.gaps = append(r.gaps, c.gaps...)
	if ttf <= firstTokenGoal.Seconds() && percentile(c.gaps, 0.95) <= betweenGoal.Seconds() {
		r.good++
		r.byOrg[c.org]++
		r.perSec[int(r.now.Sub(start).Seconds())]++
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

func jain(shares map[string]float64) float64 {
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
		r.policy, 100*r.load, 1000*percentile(r.firsts, 0.95), 1000*percentile(r.gaps, 0.95), float64(r.good)/runTime.Seconds(),
		float64(r.refused)/float64(r.asked), float64(r.hits)/float64(max(r.sent, 1)), jain(r.byOrg),
		float64(r.retries)/float64(r.asked), 1000*percentile(r.smallTTF, 0.95), fault)
}

var policyNames = []string{
	route.RandomName, route.RoundRobinName, route.LeastLoadedName, route.TwoChoicesName, route.ScoreName, route.PrefixBoundedName,
}

func TestRoute(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1, 1.5} {
		for _, policy := range policyNames {
			r := newRouteRun(policy, load, "")
			r.play()
			r.print()
		}
	}
}

func TestRouteFaults(t *testing.T) {
	for _, fault := range []string{"", "replica_dies", "slow_replica", "reports_5s_late", "entry_dies", "organisation_floods", "retry_storm"} {
		for _, policy := range []string{route.TwoChoicesName, route.ScoreName, route.PrefixBoundedName} {
			r := newRouteRun(policy, 0.8, fault)
			r.play()
			r.print()
			if fault == "retry_storm" {
				r.printRecovery()
			}
		}
	}
}

// printRecovery tells how soon goodput is back after an overload's end.
func (r *routeRun) printRecovery() {
	const overloadEnd = 20
	for second := overloadEnd; second < int(runTime.Seconds()); second++ {
		if float64(r.perSec[second]) >= 0.9*0.8*fullRate*0.9 {
			fmt.Printf("route policy=%s fault=retry_storm goodput_back_after=%ds\n", r.policy, second-overloadEnd)
			return
		}
	}
	fmt.Printf("route policy=%s fault=retry_storm goodput_back_after=never\n", r.policy)
}
