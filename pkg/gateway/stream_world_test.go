// ================================================================
// Gateways before engines in virtual time, over connections in memory: callers, versions of
// the weights, orders, slow engines, stalls, links full of chunks and planned stops, drawn by a
// seed. What becomes of streams is judged by what callers and engines see.
// ================================================================

package gateway

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// weightsDeadline is the agreed time for new weights.
	weightsDeadline = 10 * time.Second
	// meanVersionInterval is the mean time between two versions.
	meanVersionInterval = 8 * time.Second
	// stopLimit is how long a planned stop may take, and stopNotice how long callers still come.
	stopLimit, stopNotice = 7700 * time.Millisecond, 2700 * time.Millisecond
	// loadReportInterval is the time between two reports of a load, and loadLag how old they are.
	loadReportInterval, loadReportDelay = 300 * time.Millisecond, 100 * time.Millisecond
)

// simScenario is the size of a world and what happens in it.
type simScenario struct {
	gateways, engines int
	load              float64       // of the engines' places, in callers
	slowFactor        float64       // how many times as long engines take in spells
	stalls            bool          // engines stand still
	chunkDelay        time.Duration // the delay of links while weights spread
	stops             bool
	duration          time.Duration
}

// simGateway is a gateway of the world, and those that start after it.
type simGateway struct {
	domain    string
	processes []*Gateway
	logs      []*bytes.Buffer
	mu        sync.Mutex
	current   *Gateway
}

func (m *simGateway) process() *Gateway {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// streamSim is gateways before engines.
type streamSim struct {
	t        *testing.T
	seed     uint64
	scenario simScenario
	engines  []*simEngine
	members  []*simGateway
	started  time.Time

	mu             sync.Mutex
	gatewayRuns    []*Gateway
	random         *rand.Rand
	versionNamedAt map[uint64]time.Time
	requests       map[string]*simRequest
	result         simResult
}

// simResult is what became of the streams of a world.
type simResult struct {
	sent, complete, late, refused int
	// lost ended without the rest of their answer before their caller's deadline, and no stop
	// had to cut them.
	lost []string
	// byDeadline had begun when a deadline that was not their caller's ended them.
	byDeadline []string
	// interrupted had begun at an engine that has not stood still of late when their gateway left it.
	interrupted []string
	// interruptions are the interruptions that the gateways count.
	interruptions map[interruption]int
	// startedLate began on a version whose time was over.
	startedLate []string
}

// newStreamSim makes the gateways; they begin in play.
func newStreamSim(t *testing.T, seed uint64, s simScenario) *streamSim {
	w := &streamSim{
		t: t, seed: seed, scenario: s, random: rand.New(rand.NewPCG(seed, 1)),
		versionNamedAt: map[uint64]time.Time{}, requests: map[string]*simRequest{},
	}
	for i := range s.gateways {
		m := &simGateway{domain: fmt.Sprintf("hall-%c", 'a'+i%3)}
		for range w.maxStarts() {
			log := &bytes.Buffer{}
			m.logs = append(m.logs, log)
			m.processes = append(m.processes, w.newProcess(log, i, m.domain))
		}
		w.members = append(w.members, m)
	}
	return w
}

// maxStarts is how often a gateway may start.
func (w *streamSim) maxStarts() int {
	if !w.scenario.stops {
		return 1
	}
	return 4
}

func (w *streamSim) newProcess(log *bytes.Buffer, i int, domain string) *Gateway {
	g := newLoggedGateway(w.t, log, fmt.Sprintf(`
vm: {name: gateway-%d, region: north, failure_domain: %q}
peers: {listen: "127.7.%d.%d:7700"}
callers: {listen: "127.0.0.1:2"}
ready: {listen: "127.0.0.1:3"}
control: {seeds: ["127.0.0.1:4"]}
drain: {limit: 8s, notice: 3s}
retries: {reserve: %d, window: 10s}
weights: {within: %s}
`, i, domain, i/200, i%200+1, 25*fewestGateways, weightsDeadline))
	g.protocol.Patience = func(objective, gap time.Duration) time.Duration {
		return max(2*time.Second, 4*objective, 8*gap)
	}
	g.protocol.ReadCall = func(h http.Header) Call {
		c := readOwnCall(h)
		_, _ = fmt.Sscanf(h.Get(headerTokens), "%d,%d", &c.PromptTokens, &c.AnswerTokens)
		return c
	}
	g.askStager = w.askStager
	g.heardDemands = func() map[string]float64 {
		all := map[string]float64{}
		for _, m := range w.members {
			all[m.domain] += m.process().demand.rate(time.Now())
		}
		return all
	}
	g.owners.listed = w.listed
	g.askLender = w.askLender
	return g
}

func (w *streamSim) listed() map[string]feed.Peer {
	all := map[string]feed.Peer{}
	for i, m := range w.members {
		address := fmt.Sprintf("127.7.%d.%d:7700", i/200, i%200+1)
		all[address] = feed.NewPeer(address, m.domain, "", "", false, true)
	}
	return all
}

func (w *streamSim) askLender(_ context.Context, address string, a contract.RepeatAsk) (contract.RepeatAnswer, error) {
	w.networkDelay()
	for _, m := range w.members {
		if g := m.process(); g.process.Identity.Address() == address {
			return contract.NewRepeatAnswer(g.lend(a.Service())), nil
		}
	}
	return contract.RepeatAnswer{}, errCut
}

func (w *streamSim) askStager(_ context.Context, address string, a reservation.Ask) (reservation.Answer, error) {
	host, _, _ := strings.Cut(address, ":")
	i := slices.IndexFunc(w.engines, func(e *simEngine) bool { return strings.HasPrefix(e.address, host+":") })
	w.networkDelay()
	answer := w.engines[i].answerReservation(a)
	w.networkDelay()
	return answer, nil
}

// randomFloat draws by the seed.
func (w *streamSim) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

// randomDuration draws a time.
func (w *streamSim) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(w.randomFloat()*float64(most-least))
}

func (w *streamSim) networkDelay() { time.Sleep(w.randomDuration(0, wayBetween)) }

// run plays the world in a bubble and returns what became of the streams.
func (w *streamSim) run() *simResult {
	w.started = time.Now()
	for i := range w.scenario.engines {
		w.engines = append(w.engines, newSimEngine(w, i))
	}
	for _, m := range w.members {
		w.start(m, true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.scenario.duration)
	defer cancel()
	engines, endEngines := context.WithCancel(context.Background())
	var working, under sync.WaitGroup
	for _, e := range w.engines {
		working.Go(func() { e.run(engines) })
	}
	working.Go(func() { w.reportAllLoads(engines) })
	under.Go(func() { w.publishVersions(ctx, &under) })
	if w.scenario.slowFactor > 1 {
		under.Go(func() { w.slowPeriods(ctx) })
	}
	if w.scenario.stalls {
		under.Go(func() { w.stallEngines(ctx) })
	}
	callers := int(w.scenario.load*float64(w.scenario.engines*simEngineConfig.Slots()))/w.scenario.gateways + 1
	for i, m := range w.members {
		if w.scenario.stops {
			under.Go(func() { w.restartGateway(ctx, m) })
		}
		for j := range callers {
			under.Go(func() { w.caller(ctx, m, fmt.Sprintf("%d.%d", i, j)) })
		}
	}
	under.Wait()
	endEngines()
	working.Wait()
	for _, g := range w.gatewayRuns {
		g.backends.each(func(b *backend, _ string) { b.pool.Close() })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.result.interruptions = map[interruption]int{}
	for _, r := range interruptRules {
		for _, g := range w.gatewayRuns {
			w.result.interruptions[r.reason] += int(countOf(w.t, g.metrics.interrupted.WithLabelValues(string(r.reason))))
		}
	}
	return &w.result
}

// start begins the next process of a gateway.
func (w *streamSim) start(m *simGateway, first bool) {
	g := m.processes[0]
	m.processes = m.processes[1:]
	g.budget = newBudget(g.settings.RetryRatio(), g.settings.RetryReserve(), g.settings.RetryWindow())
	if first {
		g.budget.started = g.budget.started.Add(-g.settings.RetryWindow())
	}
	g.index.Raise(documentOf(w.t, simEngineConfig, true))
	for i, e := range w.engines {
		id := fmt.Sprintf("e-%d", i+1)
		g.backends.hear(registry.NewRegistration(id, "menu", e.address, e.domain, "v1", simEngineConfig.Slots(), registry.Ready, 0,
			[]registry.Holding{registry.NewHolding("menu", 1, 0, 1)}, 1, 0))
		for _, b := range g.backends.of("menu") {
			if b.word().Incarnation() == id {
				b.pool = upstream.NewPoolOver(e.address, e.dial)
			}
		}
		g.backends.hearLoad(e.load())
	}
	w.mu.Lock()
	for version, at := range w.versionNamedAt {
		g.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", version, time.Since(at))}, time.Now())
	}
	w.gatewayRuns = append(w.gatewayRuns, g)
	w.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = g
}

// reportAllLoads has all gateways get the engines' loads again and again.
func (w *streamSim) reportAllLoads(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range w.engines {
			w.reportLoads(e)
		}
		time.Sleep(loadReportInterval)
	}
}

// reportLoads has all gateways get the load of an engine.
func (w *streamSim) reportLoads(e *simEngine) {
	l := e.load()
	time.AfterFunc(loadReportDelay, func() {
		for _, m := range w.members {
			m.process().backends.hearLoad(l)
		}
	})
}

// publishVersions names one version after the other, and has the engines ordered to take them.
func (w *streamSim) publishVersions(ctx context.Context, under *sync.WaitGroup) {
	orders := make([]chan bool, len(w.engines)) // one order at a time
	for i := range orders {
		orders[i] = make(chan bool, 1)
	}
	for version := uint64(2); ; version++ {
		time.Sleep(w.randomDuration(meanVersionInterval/4, 7*meanVersionInterval/4))
		if ctx.Err() != nil {
			return
		}
		w.mu.Lock()
		w.versionNamedAt[version] = time.Now()
		w.mu.Unlock()
		for _, m := range w.members {
			time.AfterFunc(w.randomDuration(0, loadReportDelay), func() {
				g := m.process()
				g.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", version, loadReportDelay/2)}, time.Now())
				g.waiting.lookNow()
			})
		}
		for i, e := range w.engines {
			// One in eight is late.
			soonest, latest := weightsDeadline/20, weightsDeadline*8/10
			if w.randomFloat() < 0.125 {
				soonest, latest = latest, weightsDeadline*11/10
			}
			at := w.randomDuration(soonest, latest)
			under.Go(func() { w.delayLink(ctx, e, at) })
			under.Go(func() {
				time.Sleep(at)
				orders[i] <- true
				defer func() { <-orders[i] }()
				if e.load().Version() < version && ctx.Err() == nil {
					e.loadVersion(version)
				}
			})
		}
	}
}

// delayLink has chunks on an engine's link until its order.
func (w *streamSim) delayLink(ctx context.Context, e *simEngine, lasts time.Duration) {
	if w.scenario.chunkDelay == 0 {
		return
	}
	for until := time.Now().Add(lasts); time.Now().Before(until) && ctx.Err() == nil; {
		delay := w.randomDuration(0, w.scenario.chunkDelay)
		e.set(func() { e.linkDelay = delay })
		time.Sleep(loadReportInterval)
	}
	e.set(func() { e.linkDelay = 0 })
}

// slowPeriods has all engines become slow for a time.
func (w *streamSim) slowPeriods(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(w.randomDuration(3*time.Second, 7*time.Second))
		for _, e := range w.engines {
			e.set(func() { e.slowdown = w.scenario.slowFactor })
		}
		time.Sleep(w.randomDuration(time.Second, 4*time.Second))
		for _, e := range w.engines {
			e.set(func() { e.slowdown = 1 })
		}
	}
}

// stallEngines has one engine or all of them stand still for a moment.
func (w *streamSim) stallEngines(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(w.randomDuration(0, 3*time.Second))
		lasts, first, all := w.randomDuration(100*time.Millisecond, 1500*time.Millisecond), int(w.randomFloat()*float64(len(w.engines))), w.randomFloat() < 0.5
		for i, e := range w.engines {
			if all || i == first {
				until := time.Now().Add(lasts)
				e.set(func() { e.stalledUntil, e.lastStall = until, until })
			}
		}
	}
}

// restartGateway stops a gateway in order and starts it again, now and then.
func (w *streamSim) restartGateway(ctx context.Context, m *simGateway) {
	for len(m.processes) > 0 {
		time.Sleep(w.randomDuration(0, 2*meanVersionInterval))
		if ctx.Err() != nil {
			return
		}
		w.stopGateway(m.process())
		time.Sleep(w.randomDuration(0, time.Second))
		w.start(m, false)
	}
}

// stopGateway stops a gateway in order.
func (w *streamSim) stopGateway(g *Gateway) {
	limit := g.stop.begin(time.Now(), stopLimit)
	defer time.AfterFunc(time.Until(limit.Add(-lastAnswers)), g.stop.answerAll).Stop()
	time.Sleep(stopNotice)
	for g.serving.Load() > 0 && time.Now().Before(limit) {
		time.Sleep(lookAtStop)
	}
	g.cutRunning()
}

// runStarted notes that a request begins on a version.
func (w *streamSim) runStarted(r *simRun, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if next, named := w.versionNamedAt[version+1]; named && time.Since(next) > weightsDeadline {
		w.result.startedLate = append(w.result.startedLate, w.describe(r.request))
	}
}

// runHitDeadline notes that an engine ended a run at its deadline.
func (w *streamSim) runHitDeadline(r *simRun) {
	if r.deadline.After(r.request.deadline().Add(-deadlineTolerance)) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.result.byDeadline = append(w.result.byDeadline, w.describe(r.request))
}

// runInterrupted notes that a gateway left a run while its caller still waits, at an engine that
// has not stood still of late.
func (w *streamSim) runInterrupted(r *simRun, stoodStill time.Time) {
	if !r.request.isWaiting() || r.request.gateway.stop.isOver() || time.Since(stoodStill) < maxAttemptSilence {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.result.interrupted = append(w.result.interrupted, w.describe(r.request))
}
