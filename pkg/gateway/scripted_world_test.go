// ================================================================
// Gateways in front of scripted engines in virtual time, and what callers see. The checks use only
// what callers and engines observe, so they hold for any way in which gateways decide.
// ================================================================

package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/upstream"
)

// scriptedWorld is the gateways, engines and callers of one test.
type scriptedWorld struct {
	t        *testing.T
	started  time.Time
	gateways []*Gateway
	logs     []*bytes.Buffer
	engines  []*scriptedEngine
	serving  sync.WaitGroup // connections of the engines
	mu       sync.Mutex
	callers  map[string]*streamCaller
}

// streamCaller is one request of a caller, and its http.ResponseWriter.
type streamCaller struct {
	id        string
	lastEvent int
	deadline  time.Time
	leave     context.CancelFunc
	done      chan struct{}

	mu     sync.Mutex
	header http.Header
	body   bytes.Buffer
	status int
	events int
	ended  time.Time
	onBody func(events int) // called after each write
}

func (c *streamCaller) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *streamCaller) WriteHeader(status int) { c.status = status }

// Flush implements http.Flusher, which streams require.
func (c *streamCaller) Flush() {}

func (c *streamCaller) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.body.Write(b)
	c.events = strings.Count(c.body.String(), "\n\n")
	n, call := c.events, c.onBody
	c.mu.Unlock()
	if call != nil {
		call(n)
	}
	return len(b), nil
}

// runScripted runs a test in virtual time, with gateways and engines in failure domains of these
// letters.
func runScripted(t *testing.T, gatewayDomains, engineDomains string, script func(w *scriptedWorld)) {
	t.Helper()
	w := &scriptedWorld{t: t, callers: map[string]*streamCaller{}}
	for i, domain := range gatewayDomains {
		log := &bytes.Buffer{}
		w.logs = append(w.logs, log)
		w.gateways = append(w.gateways, newLoggedGateway(t, log, fmt.Sprintf(`
vm: {name: gateway-%d, region: north, failure_domain: hall-%c}
peers: {listen: "127.7.0.%d:7700"}
callers: {listen: "127.0.0.1:2"}
ready: {listen: "127.0.0.1:3"}
control: {seeds: ["127.0.0.1:4"]}
retries: {reserve: 1000}
weights: {within: %s}
`, i, domain, i+1, weightsDeadline)))
	}
	synctest.Test(t, func(*testing.T) {
		w.start(engineDomains)
		ctx, end := context.WithCancel(context.Background())
		var reports sync.WaitGroup
		reports.Go(func() { w.reportLoads(ctx) })
		script(w)
		for _, c := range w.callers {
			<-c.done
		}
		time.Sleep(500 * time.Millisecond)
		w.checkNoRunIsLeft()
		end()
		reports.Wait()
		for _, e := range w.engines {
			e.end()
		}
		for _, g := range w.gateways {
			g.backends.each(func(b *backend, _ string) { b.pool.Close() })
		}
		w.serving.Wait()
	})
	if t.Failed() {
		for i, log := range w.logs {
			t.Logf("log of gateway %d:\n%s", i, log.String())
		}
	}
}

func (w *scriptedWorld) start(engineDomains string) {
	w.started = time.Now()
	for i, domain := range engineDomains {
		w.engines = append(w.engines, &scriptedEngine{
			world: w, name: fmt.Sprintf("e-%d", i), address: fmt.Sprintf("127.9.0.%d:9000", i+1), domain: fmt.Sprintf("hall-%c", domain),
			phase: w.started.Add(time.Duration(i) * 43 * time.Millisecond), gap: 200 * time.Millisecond, firstEvent: 60 * time.Millisecond,
			version: 1, reports: true, breakRuns: make(chan struct{}),
		})
	}
	for _, g := range w.gateways {
		g.budget = fullWindowBudget(g.settings.RetryRatio(), g.settings.RetryReserve(), g.settings.RetryWindow())
		g.protocol.StreamIdleTimeout = func(objective, gap time.Duration) time.Duration { return max(2*time.Second, 4*objective, 8*gap) }
		g.askStager = w.askStager
		g.index.Advance(documentOf(w.t, simEngineConfig, true))
		for _, e := range w.engines {
			w.register(g, e, registry.Ready)
			for _, b := range g.backends.forService("menu") {
				if b.address == e.address {
					b.pool = upstream.NewPoolWithDial(e.address, e.dial)
				}
			}
			g.backends.applyLoadReport(e.load())
		}
	}
}

func (w *scriptedWorld) register(g *Gateway, e *scriptedEngine, state registry.State) {
	sequence := uint64(time.Since(w.started)) + 1
	g.backends.applyRegistration(registry.NewRegistration(e.name, "menu", e.address, e.domain, "v1", simEngineConfig.Slots(), state, 0,
		[]registry.Holding{registry.NewHolding("menu", e.version, 0, 1)}, sequence, 0))
}

func (w *scriptedWorld) askStager(ctx context.Context, address string, _ reservation.Request) (reservation.Response, error) {
	host, _, _ := strings.Cut(address, ":")
	i := slices.IndexFunc(w.engines, func(e *scriptedEngine) bool { return strings.HasPrefix(e.address, host+":") })
	return w.engines[i].answerReservation(ctx)
}

// reportLoads reports the engines' loads to all gateways periodically.
func (w *scriptedWorld) reportLoads(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range w.engines {
			e.mu.Lock()
			reports := e.reports
			e.mu.Unlock()
			if reports {
				w.reportLoad(e)
			}
		}
		time.Sleep(loadReportInterval)
	}
}

func (w *scriptedWorld) reportLoad(e *scriptedEngine) {
	for _, g := range w.gateways {
		g.backends.applyLoadReport(e.load())
	}
}

// nameVersion names version 2 to all gateways, so that version 1 expires after left.
func (w *scriptedWorld) nameVersion(left time.Duration) {
	for _, g := range w.gateways {
		g.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, weightsDeadline-left)}, time.Now())
		g.watchdogs.checkNow()
	}
}

func (w *scriptedWorld) lastEventOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callers[id].lastEvent
}

// ask sends a request for a stream to a gateway.
func (w *scriptedWorld) ask(gateway int, id string, lastEvent int, timeout time.Duration) *streamCaller {
	c := &streamCaller{id: id, lastEvent: lastEvent, deadline: time.Now().Add(timeout), done: make(chan struct{}), header: http.Header{}}
	w.mu.Lock()
	w.callers[id] = c
	w.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	c.leave = cancel
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://menus.example/draft/x", strings.NewReader("draft "+id))
	r.Header.Set(headerID, id)
	r.Header.Set(headerKey, "k1")
	r.Header.Set(headerModel, "menu")
	r.Header.Set(headerDeadline, fmt.Sprint(timeout.Milliseconds()))
	go func() {
		defer close(c.done)
		defer cancel()
		defer func() {
			c.mu.Lock()
			c.ended = time.Now()
			c.mu.Unlock()
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
		}()
		w.gateways[gateway].ServeHTTP(c, r)
	}()
	return c
}
