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
	// versionWithin is the agreed time for new weights.
	versionWithin = 10 * time.Second
	// versionGap is the mean time between two versions.
	versionGap = 8 * time.Second
	// stopTime is how long a planned stop may take, and stopNotice how long callers still come.
	stopTime, stopNotice = 7700 * time.Millisecond, 2700 * time.Millisecond
	// loadsEvery is the time between two reports of a load, and loadLag how old they are.
	loadsEvery, loadLag = 300 * time.Millisecond, 100 * time.Millisecond
)

// streamScenario is the size of a world and what happens in it.
type streamScenario struct {
	gateways, engines int
	load              float64       // of the engines' places, in callers
	slow              float64       // how many times as long engines take in spells
	stalls            bool          // engines stand still
	chunks            time.Duration // the delay of links while weights spread
	stops             bool
	lasts             time.Duration
}

// streamGateway is a gateway of the world, and those that start after it.
type streamGateway struct {
	domain    string
	processes []*Gateway
	logs      []*bytes.Buffer
	mu        sync.Mutex
	current   *Gateway
}

func (m *streamGateway) process() *Gateway {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// streamWorld is gateways before engines.
type streamWorld struct {
	t        *testing.T
	seed     uint64
	scenario streamScenario
	engines  []*virtualEngine
	members  []*streamGateway
	started  time.Time

	mu      sync.Mutex
	begun   []*Gateway
	random  *rand.Rand
	named   map[uint64]time.Time
	asks    map[string]*virtualAsk
	verdict streamVerdict
}

// streamVerdict is what became of the streams of a world.
type streamVerdict struct {
	asked, whole, late, refused int
	// lost ended without the rest of their answer before their caller's deadline, and no stop
	// had to cut them.
	lost []string
	// byDeadline had begun when a deadline that was not their caller's ended them.
	byDeadline []string
	// interrupted had begun at an engine that has not stood still of late when their gateway left it.
	interrupted []string
	// byReason are the interruptions that the gateways count.
	byReason map[interruption]int
	// begunLate began on a version whose time was over.
	begunLate []string
}

// newStreamWorld makes the gateways; they begin in play.
func newStreamWorld(t *testing.T, seed uint64, s streamScenario) *streamWorld {
	w := &streamWorld{
		t: t, seed: seed, scenario: s, random: rand.New(rand.NewPCG(seed, 1)),
		named: map[uint64]time.Time{}, asks: map[string]*virtualAsk{},
	}
	for i := range s.gateways {
		m := &streamGateway{domain: fmt.Sprintf("hall-%c", 'a'+i%3)}
		for range w.startsOf() {
			log := &bytes.Buffer{}
			m.logs = append(m.logs, log)
			m.processes = append(m.processes, w.newProcess(log, i, m.domain))
		}
		w.members = append(w.members, m)
	}
	return w
}

// startsOf is how often a gateway may start.
func (w *streamWorld) startsOf() int {
	if !w.scenario.stops {
		return 1
	}
	return 4
}

func (w *streamWorld) newProcess(log *bytes.Buffer, i int, domain string) *Gateway {
	g := newLoggedGateway(w.t, log, fmt.Sprintf(`
vm: {name: gateway-%d, region: north, failure_domain: %q}
peers: {listen: "127.7.%d.%d:7700"}
callers: {listen: "127.0.0.1:2"}
ready: {listen: "127.0.0.1:3"}
control: {seeds: ["127.0.0.1:4"]}
drain: {limit: 8s, notice: 3s}
retries: {reserve: %d, window: 10s}
weights: {within: %s}
`, i, domain, i/200, i%200+1, 25*fewestGateways, versionWithin))
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

func (w *streamWorld) listed() map[string]feed.Peer {
	all := map[string]feed.Peer{}
	for i, m := range w.members {
		address := fmt.Sprintf("127.7.%d.%d:7700", i/200, i%200+1)
		all[address] = feed.NewPeer(address, m.domain, "", "", false, true)
	}
	return all
}

func (w *streamWorld) askLender(_ context.Context, address string, a contract.RepeatAsk) (contract.RepeatAnswer, error) {
	w.travel()
	for _, m := range w.members {
		if g := m.process(); g.process.Identity.Address() == address {
			return contract.NewRepeatAnswer(g.lend(a.Service())), nil
		}
	}
	return contract.RepeatAnswer{}, errCut
}

func (w *streamWorld) askStager(_ context.Context, address string, a reservation.Ask) (reservation.Answer, error) {
	host, _, _ := strings.Cut(address, ":")
	i := slices.IndexFunc(w.engines, func(e *virtualEngine) bool { return strings.HasPrefix(e.address, host+":") })
	w.travel()
	answer := w.engines[i].answerPlace(a)
	w.travel()
	return answer, nil
}

// draw draws by the seed.
func (w *streamWorld) draw() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

// between draws a time.
func (w *streamWorld) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.draw()*float64(most-least))
}

func (w *streamWorld) travel() { time.Sleep(w.between(0, wayBetween)) }

// play plays the world in a bubble and returns what became of the streams.
func (w *streamWorld) play() *streamVerdict {
	w.started = time.Now()
	for i := range w.scenario.engines {
		w.engines = append(w.engines, newVirtualEngine(w, i))
	}
	for _, m := range w.members {
		w.begin(m, true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.scenario.lasts)
	defer cancel()
	engines, endEngines := context.WithCancel(context.Background())
	var working, under sync.WaitGroup
	for _, e := range w.engines {
		working.Go(func() { e.run(engines) })
	}
	working.Go(func() { w.loads(engines) })
	under.Go(func() { w.versions(ctx, &under) })
	if w.scenario.slow > 1 {
		under.Go(func() { w.spells(ctx) })
	}
	if w.scenario.stalls {
		under.Go(func() { w.stalls(ctx) })
	}
	callers := int(w.scenario.load*float64(w.scenario.engines*fleetEngine.Slots()))/w.scenario.gateways + 1
	for i, m := range w.members {
		if w.scenario.stops {
			under.Go(func() { w.rolls(ctx, m) })
		}
		for j := range callers {
			under.Go(func() { w.caller(ctx, m, fmt.Sprintf("%d.%d", i, j)) })
		}
	}
	under.Wait()
	endEngines()
	working.Wait()
	for _, g := range w.begun {
		g.backends.each(func(b *backend, _ string) { b.pool.Close() })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdict.byReason = map[interruption]int{}
	for _, r := range interruptRules {
		for _, g := range w.begun {
			w.verdict.byReason[r.reason] += int(countOf(w.t, g.metrics.interrupted.WithLabelValues(string(r.reason))))
		}
	}
	return &w.verdict
}

// begin begins the next process of a gateway.
func (w *streamWorld) begin(m *streamGateway, first bool) {
	g := m.processes[0]
	m.processes = m.processes[1:]
	g.budget = newBudget(g.settings.RetryRatio(), g.settings.RetryReserve(), g.settings.RetryWindow())
	if first {
		g.budget.started = g.budget.started.Add(-g.settings.RetryWindow())
	}
	g.index.Raise(documentOf(w.t, fleetEngine, true))
	for i, e := range w.engines {
		id := fmt.Sprintf("e-%d", i+1)
		g.backends.hear(registry.NewRegistration(id, "menu", e.address, e.domain, "v1", fleetEngine.Slots(), registry.Ready, 0,
			[]registry.Holding{registry.NewHolding("menu", 1, 0, 1)}, 1, 0))
		for _, b := range g.backends.of("menu") {
			if b.word().Incarnation() == id {
				b.pool = upstream.NewPoolOver(e.address, e.dial)
			}
		}
		g.backends.hearLoad(e.load())
	}
	w.mu.Lock()
	for version, at := range w.named {
		g.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", version, time.Since(at))}, time.Now())
	}
	w.begun = append(w.begun, g)
	w.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = g
}

// loads has all gateways get the engines' loads again and again.
func (w *streamWorld) loads(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range w.engines {
			w.reportLoads(e)
		}
		time.Sleep(loadsEvery)
	}
}

// reportLoads has all gateways get the load of an engine.
func (w *streamWorld) reportLoads(e *virtualEngine) {
	l := e.load()
	time.AfterFunc(loadLag, func() {
		for _, m := range w.members {
			m.process().backends.hearLoad(l)
		}
	})
}

// versions names one version after the other, and has the engines ordered to take them.
func (w *streamWorld) versions(ctx context.Context, under *sync.WaitGroup) {
	orders := make([]chan bool, len(w.engines)) // one order at a time
	for i := range orders {
		orders[i] = make(chan bool, 1)
	}
	for version := uint64(2); ; version++ {
		time.Sleep(w.between(versionGap/4, 7*versionGap/4))
		if ctx.Err() != nil {
			return
		}
		w.mu.Lock()
		w.named[version] = time.Now()
		w.mu.Unlock()
		for _, m := range w.members {
			time.AfterFunc(w.between(0, loadLag), func() {
				g := m.process()
				g.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", version, loadLag/2)}, time.Now())
				g.waiting.lookNow()
			})
		}
		for i, e := range w.engines {
			// One in eight is late.
			soonest, latest := versionWithin/20, versionWithin*8/10
			if w.draw() < 0.125 {
				soonest, latest = latest, versionWithin*11/10
			}
			at := w.between(soonest, latest)
			under.Go(func() { w.spread(ctx, e, at) })
			under.Go(func() {
				time.Sleep(at)
				orders[i] <- true
				defer func() { <-orders[i] }()
				if e.load().Version() < version && ctx.Err() == nil {
					e.order(version)
				}
			})
		}
	}
}

// spread has chunks on an engine's link until its order.
func (w *streamWorld) spread(ctx context.Context, e *virtualEngine, lasts time.Duration) {
	if w.scenario.chunks == 0 {
		return
	}
	for until := time.Now().Add(lasts); time.Now().Before(until) && ctx.Err() == nil; {
		delay := w.between(0, w.scenario.chunks)
		e.set(func() { e.linkDelay = delay })
		time.Sleep(loadsEvery)
	}
	e.set(func() { e.linkDelay = 0 })
}

// spells has all engines become slow for a time.
func (w *streamWorld) spells(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(w.between(3*time.Second, 7*time.Second))
		for _, e := range w.engines {
			e.set(func() { e.pace = w.scenario.slow })
		}
		time.Sleep(w.between(time.Second, 4*time.Second))
		for _, e := range w.engines {
			e.set(func() { e.pace = 1 })
		}
	}
}

// stalls has one engine or all of them stand still for a moment.
func (w *streamWorld) stalls(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(w.between(0, 3*time.Second))
		lasts, first, all := w.between(100*time.Millisecond, 1500*time.Millisecond), int(w.draw()*float64(len(w.engines))), w.draw() < 0.5
		for i, e := range w.engines {
			if all || i == first {
				until := time.Now().Add(lasts)
				e.set(func() { e.stillUntil, e.stoodStill = until, until })
			}
		}
	}
}

// rolls stops a gateway in order and starts it again, now and then.
func (w *streamWorld) rolls(ctx context.Context, m *streamGateway) {
	for len(m.processes) > 0 {
		time.Sleep(w.between(0, 2*versionGap))
		if ctx.Err() != nil {
			return
		}
		w.stop(m.process())
		time.Sleep(w.between(0, time.Second))
		w.begin(m, false)
	}
}

// stop stops a gateway in order.
func (w *streamWorld) stop(g *Gateway) {
	limit := g.stop.begin(time.Now(), stopTime)
	defer time.AfterFunc(time.Until(limit.Add(-lastAnswers)), g.stop.answerAll).Stop()
	time.Sleep(stopNotice)
	for g.serving.Load() > 0 && time.Now().Before(limit) {
		time.Sleep(lookAtStop)
	}
	g.cutRunning()
}

// begins notes that a request begins on a version.
func (w *streamWorld) begins(r *virtualRun, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if next, named := w.named[version+1]; named && time.Since(next) > versionWithin {
		w.verdict.begunLate = append(w.verdict.begunLate, w.line(r.ask))
	}
}

// endsByDeadline notes that an engine ended a run at its deadline.
func (w *streamWorld) endsByDeadline(r *virtualRun) {
	if r.until.After(r.ask.deadline().Add(-endNear)) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdict.byDeadline = append(w.verdict.byDeadline, w.line(r.ask))
}

// interrupted notes that a gateway left a run while its caller still waits, at an engine that
// has not stood still of late.
func (w *streamWorld) interrupted(r *virtualRun, stoodStill time.Time) {
	if !r.ask.waits() || r.ask.gateway.stop.isOver() || time.Since(stoodStill) < patience {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.verdict.interrupted = append(w.verdict.interrupted, w.line(r.ask))
}
