// ================================================================
// A simulation of gateways in front of engines, in virtual time and over connections in memory:
// callers, versions of the weights, orders, slow engines, stalls, links full of chunks and
// planned stops, drawn from a seed. The outcome of a stream is what callers and engines observe.
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
	// weightsDeadline is the agreed time within which engines serve new weights.
	weightsDeadline = 10 * time.Second
	// meanVersionInterval is the mean time between two versions.
	meanVersionInterval = 8 * time.Second
	// stopLimit is how long a planned stop may take, and stopNotice how long callers still send
	// requests.
	stopLimit, stopNotice = 7700 * time.Millisecond, 2700 * time.Millisecond
	// loadReportInterval is the time between two load reports, and loadReportDelay their delay.
	loadReportInterval, loadReportDelay = 300 * time.Millisecond, 100 * time.Millisecond
)

// simScenario is the size of a simulation and the events in it.
type simScenario struct {
	gateways, engines int
	load              float64       // callers per slot of the engines
	slowFactor        float64       // how many times as long engines take in slow periods
	stalls            bool          // engines stall
	chunkDelay        time.Duration // the longest delay of links while weights spread
	stops             bool
	duration          time.Duration
}

// simGateway is one gateway of the simulation: its processes, which run one after the other.
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

// streamSim is one simulation.
type streamSim struct {
	t        *testing.T
	seed     uint64
	scenario simScenario
	engines  []*simEngine
	gateways []*simGateway
	started  time.Time

	mu              sync.Mutex
	startedGateways []*Gateway
	random          *rand.Rand
	versionNamedAt  map[uint64]time.Time
	requests        map[string]*simRequest
	result          simResult
}

// simResult counts how the streams of a simulation ended.
type simResult struct {
	sent, complete, late, refused int
	// lost streams ended without the rest of their answer before their caller's deadline, and no
	// planned stop had to end them.
	lost []string
	// byDeadline streams had begun when a deadline other than their caller's ended them.
	byDeadline []string
	// interrupted streams had begun at an engine without a recent stall when their gateway closed
	// the connection.
	interrupted []string
	// interruptions are those that the gateways count, by reason.
	interruptions map[interruptReason]int
	// startedLate streams began on an expired version.
	startedLate []string
}

// newStreamSim creates the gateways; run starts them.
func newStreamSim(t *testing.T, seed uint64, scenario simScenario) *streamSim {
	s := &streamSim{
		t: t, seed: seed, scenario: scenario, random: rand.New(rand.NewPCG(seed, 1)),
		versionNamedAt: map[uint64]time.Time{}, requests: map[string]*simRequest{},
	}
	for i := range scenario.gateways {
		m := &simGateway{domain: fmt.Sprintf("hall-%c", 'a'+i%3)}
		for range s.maxStarts() {
			log := &bytes.Buffer{}
			m.logs = append(m.logs, log)
			m.processes = append(m.processes, s.newProcess(log, i, m.domain))
		}
		s.gateways = append(s.gateways, m)
	}
	return s
}

// maxStarts returns how often a gateway may start.
func (s *streamSim) maxStarts() int {
	if !s.scenario.stops {
		return 1
	}
	return 4
}

func (s *streamSim) newProcess(log *bytes.Buffer, i int, domain string) *Gateway {
	g := newLoggedGateway(s.t, log, fmt.Sprintf(`
vm: {name: gateway-%d, region: north, failure_domain: %q}
peers: {listen: "127.7.%d.%d:7700"}
callers: {listen: "127.0.0.1:2"}
ready: {listen: "127.0.0.1:3"}
control: {seeds: ["127.0.0.1:4"]}
drain: {limit: 8s, notice: 3s}
retries: {reserve: %d, window: 10s}
weights: {within: %s}
`, i, domain, i/200, i%200+1, 25*assumedGateways, weightsDeadline))
	g.protocol.StreamIdleTimeout = func(objective, gap time.Duration) time.Duration {
		return max(2*time.Second, 4*objective, 8*gap)
	}
	g.protocol.ReadRequest = func(h http.Header) RequestHead {
		c := readNativeRequest(h)
		_, _ = fmt.Sscanf(h.Get(headerTokens), "%d,%d", &c.PromptTokens, &c.AnswerTokens)
		return c
	}
	g.askStager = s.askStager
	g.demandByDomain = func() map[string]float64 {
		all := map[string]float64{}
		for _, m := range s.gateways {
			all[m.domain] += m.process().demand.rate(time.Now())
		}
		return all
	}
	g.limitOwners.listed = s.listed
	g.askLender = s.askLender
	return g
}

func (s *streamSim) listed() map[string]feed.Peer {
	all := map[string]feed.Peer{}
	for i, m := range s.gateways {
		address := fmt.Sprintf("127.7.%d.%d:7700", i/200, i%200+1)
		all[address] = feed.NewPeer(address, m.domain, "", "", false, true)
	}
	return all
}

func (s *streamSim) askLender(_ context.Context, address string, a contract.RetryLoanRequest) (contract.RetryLoanResponse, error) {
	s.networkDelay()
	for _, m := range s.gateways {
		if g := m.process(); g.process.Identity.Address() == address {
			return contract.NewRetryLoanResponse(g.lendRetry(a.Service())), nil
		}
	}
	return contract.RetryLoanResponse{}, errUnreachable
}

func (s *streamSim) askStager(_ context.Context, address string, a reservation.Request) (reservation.Response, error) {
	host, _, _ := strings.Cut(address, ":")
	i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return strings.HasPrefix(e.address, host+":") })
	s.networkDelay()
	answer := s.engines[i].answerReservation(a)
	s.networkDelay()
	return answer, nil
}

// randomFloat returns a number in [0, 1) from the seeded generator.
func (s *streamSim) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// randomDuration returns a duration from the seeded generator.
func (s *streamSim) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(s.randomFloat()*float64(most-least))
}

func (s *streamSim) networkDelay() { time.Sleep(s.randomDuration(0, maxLinkDelay)) }

// run runs the simulation in a synctest bubble and returns how the streams ended.
func (s *streamSim) run() *simResult {
	s.started = time.Now()
	for i := range s.scenario.engines {
		s.engines = append(s.engines, newSimEngine(s, i))
	}
	for _, m := range s.gateways {
		s.start(m, true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.scenario.duration)
	defer cancel()
	engines, endEngines := context.WithCancel(context.Background())
	var engineWork, scenarioWork sync.WaitGroup
	for _, e := range s.engines {
		engineWork.Go(func() { e.run(engines) })
	}
	engineWork.Go(func() { s.reportAllLoads(engines) })
	scenarioWork.Go(func() { s.publishVersions(ctx, &scenarioWork) })
	if s.scenario.slowFactor > 1 {
		scenarioWork.Go(func() { s.slowPeriods(ctx) })
	}
	if s.scenario.stalls {
		scenarioWork.Go(func() { s.stallEngines(ctx) })
	}
	callers := int(s.scenario.load*float64(s.scenario.engines*simEngineConfig.Slots()))/s.scenario.gateways + 1
	for i, m := range s.gateways {
		if s.scenario.stops {
			scenarioWork.Go(func() { s.restartGateway(ctx, m) })
		}
		for j := range callers {
			scenarioWork.Go(func() { s.caller(ctx, m, fmt.Sprintf("%d.%d", i, j)) })
		}
	}
	scenarioWork.Wait()
	endEngines()
	engineWork.Wait()
	for _, g := range s.startedGateways {
		g.backends.each(func(b *backend, _ string) { b.pool.Close() })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.interruptions = map[interruptReason]int{}
	for _, r := range interruptRules {
		for _, g := range s.startedGateways {
			s.result.interruptions[r.reason] += int(counterValue(s.t, g.metrics.interrupted.WithLabelValues(string(r.reason))))
		}
	}
	return &s.result
}

// start starts the next process of a gateway.
func (s *streamSim) start(m *simGateway, first bool) {
	g := m.processes[0]
	m.processes = m.processes[1:]
	g.budget = newRetryBudget(g.settings.RetryRatio(), g.settings.RetryReserve(), g.settings.RetryWindow())
	if first {
		g.budget.started = g.budget.started.Add(-g.settings.RetryWindow())
	}
	g.index.Advance(documentOf(s.t, simEngineConfig, true))
	for i, e := range s.engines {
		id := fmt.Sprintf("e-%d", i+1)
		g.backends.applyRegistration(registry.NewRegistration(id, "menu", e.address, e.domain, "v1", simEngineConfig.Slots(), registry.Ready, 0,
			[]registry.Holding{registry.NewHolding("menu", 1, 0, 1)}, 1, 0))
		for _, b := range g.backends.forService("menu") {
			if b.latestRegistration().Incarnation() == id {
				b.pool = upstream.NewPoolWithDial(e.address, e.dial)
			}
		}
		g.backends.applyLoadReport(e.load())
	}
	s.mu.Lock()
	for version, at := range s.versionNamedAt {
		g.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", version, time.Since(at))}, time.Now())
	}
	s.startedGateways = append(s.startedGateways, g)
	s.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = g
}

// reportAllLoads reports the engines' loads to all gateways periodically.
func (s *streamSim) reportAllLoads(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range s.engines {
			s.reportLoads(e)
		}
		time.Sleep(loadReportInterval)
	}
}

// reportLoads reports the load of one engine to all gateways.
func (s *streamSim) reportLoads(e *simEngine) {
	l := e.load()
	time.AfterFunc(loadReportDelay, func() {
		for _, m := range s.gateways {
			m.process().backends.applyLoadReport(l)
		}
	})
}

// publishVersions publishes versions one after the other, and gives each engine an order to load
// each of them.
func (s *streamSim) publishVersions(ctx context.Context, scenarioWork *sync.WaitGroup) {
	orders := make([]chan bool, len(s.engines)) // a lock for each engine: one order at a time
	for i := range orders {
		orders[i] = make(chan bool, 1)
	}
	for version := uint64(2); ; version++ {
		time.Sleep(s.randomDuration(meanVersionInterval/4, 7*meanVersionInterval/4))
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		s.versionNamedAt[version] = time.Now()
		s.mu.Unlock()
		for _, m := range s.gateways {
			time.AfterFunc(s.randomDuration(0, loadReportDelay), func() {
				g := m.process()
				g.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", version, loadReportDelay/2)}, time.Now())
				g.watchdogs.checkNow()
			})
		}
		for i, e := range s.engines {
			// One order in eight is late.
			earliest, latest := weightsDeadline/20, weightsDeadline*8/10
			if s.randomFloat() < 0.125 {
				earliest, latest = latest, weightsDeadline*11/10
			}
			at := s.randomDuration(earliest, latest)
			scenarioWork.Go(func() { s.delayLink(ctx, e, at) })
			scenarioWork.Go(func() {
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

// delayLink delays an engine's link, as weight chunks on it do, until its order comes.
func (s *streamSim) delayLink(ctx context.Context, e *simEngine, length time.Duration) {
	if s.scenario.chunkDelay == 0 {
		return
	}
	for until := time.Now().Add(length); time.Now().Before(until) && ctx.Err() == nil; {
		delay := s.randomDuration(0, s.scenario.chunkDelay)
		e.set(func() { e.linkDelay = delay })
		time.Sleep(loadReportInterval)
	}
	e.set(func() { e.linkDelay = 0 })
}

// slowPeriods makes all engines slow from time to time.
func (s *streamSim) slowPeriods(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(s.randomDuration(3*time.Second, 7*time.Second))
		for _, e := range s.engines {
			e.set(func() { e.slowdown = s.scenario.slowFactor })
		}
		time.Sleep(s.randomDuration(time.Second, 4*time.Second))
		for _, e := range s.engines {
			e.set(func() { e.slowdown = 1 })
		}
	}
}

// stallEngines stalls one engine or all of them from time to time.
func (s *streamSim) stallEngines(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(s.randomDuration(0, 3*time.Second))
		length, first, all := s.randomDuration(100*time.Millisecond, 1500*time.Millisecond), int(s.randomFloat()*float64(len(s.engines))), s.randomFloat() < 0.5
		for i, e := range s.engines {
			if all || i == first {
				until := time.Now().Add(length)
				e.set(func() { e.stalledUntil, e.lastStall = until, until })
			}
		}
	}
}

// restartGateway stops a gateway by a planned stop and starts it again, from time to time.
func (s *streamSim) restartGateway(ctx context.Context, m *simGateway) {
	for len(m.processes) > 0 {
		time.Sleep(s.randomDuration(0, 2*meanVersionInterval))
		if ctx.Err() != nil {
			return
		}
		s.stopGateway(m.process())
		time.Sleep(s.randomDuration(0, time.Second))
		s.start(m, false)
	}
}

// stopGateway runs the planned stop of a gateway.
func (s *streamSim) stopGateway(g *Gateway) {
	limit := g.stop.begin(time.Now(), stopLimit)
	defer time.AfterFunc(time.Until(limit.Add(-finalAnswerMargin)), g.stop.endAnswerCtx).Stop()
	time.Sleep(stopNotice)
	for g.activeRequests.Load() > 0 && time.Now().Before(limit) {
		time.Sleep(stopPollInterval)
	}
	g.abortRunning()
}

// runStarted records that a request begins on a version.
func (s *streamSim) runStarted(r *simRun, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next, named := s.versionNamedAt[version+1]; named && time.Since(next) > weightsDeadline {
		s.result.startedLate = append(s.result.startedLate, s.describe(r.request))
	}
}

// runHitDeadline records that an engine ended a run at its deadline.
func (s *streamSim) runHitDeadline(r *simRun) {
	if r.deadline.After(r.request.deadline().Add(-deadlineTolerance)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.byDeadline = append(s.result.byDeadline, s.describe(r.request))
}

// runInterrupted records that a gateway closed the connection of a run while the caller still
// waits, at an engine that has not stalled recently.
func (s *streamSim) runInterrupted(r *simRun, lastStall time.Time) {
	if !r.request.isWaiting() || r.request.gateway.stop.isOver() || time.Since(lastStall) < maxAttemptSilence {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.interrupted = append(s.result.interrupted, s.describe(r.request))
}
