package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/tidepost/tidepost/pkg/faultproxy"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// These tests guard against connections that fall silent without being closed while new ones work.
// If the gateway attributes the silence to the backend server, active requests wait a second or
// two, each further request takes the next idle connection, which is silent as well, and an
// accepted dial after 450 ms changes nothing. For seconds a third of the usual number of requests
// was answered. The fake servers below work all the time; only the open connections to them are
// silenced.

const (
	// silencedServerCount is enough for silence at several addresses at once.
	silencedServerCount = 4
	// streamEvents and eventPause make streams that take one second.
	streamEvents = 100
	eventPause   = 10 * time.Millisecond
)

// silencedFixture is a gateway in front of fake servers whose connections can be silenced.
type silencedFixture struct {
	*fixture
	servers []*fakeBackend
	proxies []*faultproxy.Proxy
}

// redirectedListener is a listener that is reached through another address.
type redirectedListener struct {
	net.Listener
	addr net.Addr
}

// address is a TCP address as text.
type address string

// Network returns the network of the address.
func (address) Network() string { return "tcp" }

// String returns the address.
func (a address) String() string { return string(a) }

// Addr returns the address through which the listener is reached.
func (r redirectedListener) Addr() net.Addr { return r.addr }

func newSilencedFixture(t *testing.T, kind serviceconfig.Kind, scripts ...responseScript) *silencedFixture {
	t.Helper()
	f := &silencedFixture{}
	var reached []*fakeBackend
	for i, script := range scripts {
		server := newFakeBackend(t, fmt.Sprintf("i-%d", i+1), script)
		p, err := faultproxy.Listen(faultproxy.Config{Listen: "127.0.0.1:0", Target: server.listener.Addr().String()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		f.servers, f.proxies = append(f.servers, server), append(f.proxies, p)
		reached = append(reached, &fakeBackend{incarnation: server.incarnation, listener: redirectedListener{server.listener, address(p.Address())}})
	}
	f.fixture = newFixture(t, kind, true, reached...)
	// Distinct ends make the gateway spread requests over the servers.
	for i, server := range reached {
		f.backend(server.incarnation).finishRequest(time.Duration(i) * time.Second)
	}
	return f
}

func (f *silencedFixture) backend(incarnation string) *backend {
	for _, b := range f.gateway.backends.forService("menu") {
		if b.latestRegistration().Incarnation() == incarnation {
			return b
		}
	}
	return nil
}

func (f *silencedFixture) silence() {
	for _, p := range f.proxies {
		p.Silence(faultproxy.AllLabels, faultproxy.SilenceOptions{Acknowledged: true})
	}
}

// countEnds returns how many attempts ended in a way.
func (f *silencedFixture) countEnds(t *testing.T, end attemptEnd) int {
	t.Helper()
	var m dto.Metric
	if err := f.gateway.metrics.attempts.WithLabelValues(string(end)).Write(&m); err != nil {
		t.Fatal(err)
	}
	return int(m.GetCounter().GetValue())
}

// repeatScript returns one script for each of n servers.
func repeatScript(n int, script responseScript) []responseScript {
	scripts := make([]responseScript, n)
	for i := range scripts {
		scripts[i] = script
	}
	return scripts
}

// splitEventStream writes each event in two halves, starting after the last one that the caller
// has.
func splitEventStream(w *bufio.Writer, r *http.Request) bool {
	last, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	writeEvents(w, r, last+1, last)
	for i := last + 1; i <= streamEvents; i++ {
		text := event(i)
		half := len(text) / 2
		writeChunk(w, text[:half])
		<-time.After(eventPause / 2)
		writeChunk(w, text[half:])
		<-time.After(eventPause / 2)
	}
	_, err := w.WriteString("0\r\n\r\n")
	return err == nil
}

// streamResult is what a caller received of a stream.
type streamResult struct {
	body string
	err  error
}

// streams runs callers that read streams at the same time, and calls onStarted once each has some
// events.
func (f *silencedFixture) streams(t *testing.T, callers int, onStarted func()) []streamResult {
	t.Helper()
	const beginAfter = 10
	var began, ended sync.WaitGroup
	began.Add(callers)
	ended.Add(callers)
	got := make([]streamResult, callers)
	for i := range callers {
		r := f.request(t, http.MethodPost, fmt.Sprintf("s-%d", i), "draft")
		go func() {
			defer ended.Done()
			events := 0
			started := sync.OnceFunc(began.Done)
			defer started()
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				got[i].err = err
				return
			}
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			for {
				line, err := reader.ReadString('\n')
				got[i].body += line
				if line == "\n" {
					events++
				}
				if events >= beginAfter {
					started()
				}
				if err != nil {
					if err != io.EOF {
						got[i].err = err
					}
					return
				}
			}
		}()
	}
	began.Wait()
	onStarted()
	ended.Wait()
	return got
}

// Streams whose connections fall silent in the middle of an event resume over new connections,
// complete and in order, also when those fall silent in turn.
func TestStreamsResumeAfterConnectionsFallSilent(t *testing.T) {
	const callers = 12
	f := newSilencedFixture(t, serviceconfig.Stream, repeatScript(silencedServerCount, splitEventStream)...)
	f.streams(t, callers, func() {})
	for times := 1; times <= 2; times++ {
		for i, got := range f.streams(t, callers, f.silence) {
			if got.err != nil || got.body != events(1, streamEvents) {
				t.Errorf("stream %d: %d lines, %v", i, strings.Count(got.body, "\n"), got.err)
			}
		}
		if silent, broken := f.countEnds(t, attemptSilentConn), f.countEnds(t, attemptBroken); silent != times*callers || broken != 0 {
			t.Errorf("%d attempts ended as silent and %d as broken, after %d times %d streams", silent, broken, times, callers)
		}
	}
}

// fillPool sends that many requests at the same time, so that idle connections to each server
// remain.
func (f *silencedFixture) fillPool(t *testing.T, requests int) {
	t.Helper()
	var all sync.WaitGroup
	for i := range requests {
		r := f.request(t, http.MethodPost, fmt.Sprintf("f-%d", i), "")
		all.Go(func() {
			response, err := http.DefaultTransport.RoundTrip(r)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	all.Wait()
}

// respondTogether is a script that answers once a number of requests have arrived.
func respondTogether(requests int) responseScript {
	var all sync.WaitGroup
	all.Add(requests)
	var mu sync.Mutex
	waiting := requests
	return func(w *bufio.Writer, r *http.Request) bool {
		mu.Lock()
		counted := waiting > 0
		if counted {
			waiting--
		}
		mu.Unlock()
		if counted {
			all.Done()
			all.Wait()
		}
		writeResponse(w, r, "200 OK", "", "answer to "+r.Header.Get(headerID))
		return true
	}
}

// Requests that take silent idle connections are retried over new ones, and the remaining silent
// idle connections are never used.
func TestSilentIdleConnectionsAreNotReused(t *testing.T) {
	const requests = 16
	f := newSilencedFixture(t, serviceconfig.Repeatable, repeatScript(silencedServerCount, respondTogether(requests))...)
	f.fillPool(t, requests)
	f.silence()
	var all sync.WaitGroup
	for i := range 2 * silencedServerCount {
		r := f.request(t, http.MethodPost, fmt.Sprintf("a-%d", i), "")
		all.Go(func() {
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			if want := fmt.Sprintf("answer to a-%d", i); response.StatusCode != 200 || string(body) != want {
				t.Errorf("request %d: %d %q", i, response.StatusCode, body)
			}
		})
	}
	all.Wait()
	before := f.countEnds(t, attemptSilentConn)
	for i := range 2 * silencedServerCount {
		id := fmt.Sprintf("b-%d", i)
		if status, _, body, err := f.do(t, f.request(t, http.MethodPost, id, "")); status != 200 || body != "answer to "+id || err != nil {
			t.Errorf("%s: %d %q %v", id, status, body, err)
		}
	}
	if silent, broken := f.countEnds(t, attemptSilentConn), f.countEnds(t, attemptBroken); before == 0 || silent != before || broken != 0 {
		t.Errorf("%d attempts ended as silent, then %d, and %d as broken", before, silent, broken)
	}
}

// A request that may run only once stays on its silent connection and is not sent again; later
// requests use new connections.
func TestNonIdempotentRequestIsNotResentAfterSilence(t *testing.T) {
	const requests = 4
	f := newSilencedFixture(t, serviceconfig.Once, respondTogether(requests))
	f.fillPool(t, requests)
	f.silence()
	first := f.request(t, http.MethodPost, "first", "")
	first.Header.Set(headerDeadline, "1000")
	if status, _, _, _ := f.do(t, first); status == http.StatusOK {
		t.Fatalf("the first request was answered: %d", status)
	}
	for _, id := range []string{"second", "third"} {
		if status, _, body, err := f.do(t, f.request(t, http.MethodPost, id, "")); status != 200 || body != "answer to "+id || err != nil {
			t.Errorf("%s: %d %q %v", id, status, body, err)
		}
	}
	for _, id := range f.servers[0].requests() {
		if id == "first" {
			t.Error("the first request arrived although its connection was silent: it was sent again")
		}
	}
}

// A backend server that stalls while others work is not treated as having silent connections: its
// requests stay until the watchdog's normal limits.
func TestStalledServerKeepsItsRequests(t *testing.T) {
	const callers = 12
	stall, resume := make(chan struct{}), make(chan struct{})
	defer close(resume)
	stallingStream := func(w *bufio.Writer, r *http.Request) bool {
		if r.Header.Get(headerLastEvent) != "" {
			return splitEventStream(w, r)
		}
		writeEvents(w, r, 1, 10)
		for i := 11; i <= streamEvents; i++ {
			select {
			case <-stall:
				<-resume
				return false
			case <-time.After(eventPause):
				writeChunk(w, event(i))
			}
		}
		_, err := w.WriteString("0\r\n\r\n")
		return err == nil
	}
	f := newSilencedFixture(t, serviceconfig.Stream, append(repeatScript(silencedServerCount-1, splitEventStream), stallingStream)...)
	f.streams(t, callers, func() {})
	for i, got := range f.streams(t, callers, func() { close(stall) }) {
		if got.err != nil || got.body != events(1, streamEvents) {
			t.Errorf("stream %d: %d lines, %v", i, strings.Count(got.body, "\n"), got.err)
		}
	}
	if silent, broken := f.countEnds(t, attemptSilentConn), f.countEnds(t, attemptBroken); silent != 0 || broken == 0 {
		t.Errorf("%d attempts ended as silent and %d as broken", silent, broken)
	}
}

// Guards against moving a stream to engines that can't begin it in time. On a busy machine,
// connections with 385 ms between events were considered silent, while the version expired at all
// engines sooner than streams began there. Four streams of one gateway were lost within one planned
// stop: the first attempt ended as silent with evidence "many", the next as lapsed without a
// response, and then there was no other backend server.
func TestSilentStreamMovesOnlyIfResumedInTime(t *testing.T) {
	const left = 1500 * time.Millisecond
	for name, c := range map[string]struct {
		wait             time.Duration
		newVersionServed bool // an engine serves the next version
		moves            bool
	}{
		"requests begin immediately":                {50 * time.Millisecond, false, true},
		"they begin too late":                       {left, false, false},
		"too late, and one serves the next version": {left, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, serviceconfig.Stream, true)
			f.gateway.index.Advance(engineDocument(t))
			own := newFakeBackend(t, "i-own", closeWithoutResponse)
			f.registerVersion(own, 1)
			f.registerVersion(newFakeBackend(t, "i-other", closeWithoutResponse), 1)
			if c.newVersionServed {
				f.registerVersion(newFakeBackend(t, "i-newest", closeWithoutResponse), 2)
			}
			f.setNamedVersion(left)
			now := time.Now()
			for range minSamples {
				f.gateway.silenceDetector.record(timingKey{"menu", timingWait}, now, c.wait)
			}
			route, _ := f.gateway.index.Load().Route("menus.example", "/draft/x")
			service, _ := f.gateway.index.Load().Service("menu")
			b := f.backend("i-own")
			q := &request{route: route, service: service, model: "menu", sent: 1, tried: map[*backend]bool{b: true}, maxRun: left}
			x := &exchange{gateway: f.gateway, request: q, backend: b, failoverRequirements: f.gateway.requirementsFor(q)}
			if x.mayInterrupt(interruptSilence, stageStreaming, now) != c.moves {
				t.Errorf("interrupted: %t", !c.moves)
			}
			if !q.tried[b] {
				t.Error("the check changed the request's set of tried servers")
			}
		})
	}
}

// An active stream waits for a retry in the budget as long as its caller waits.
func TestActiveStreamWaitsForARetry(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	route, _ := f.gateway.index.Load().Route("menus.example", "/draft/x")
	service, _ := f.gateway.index.Load().Service("menu")
	f.gateway.budget = fullWindowBudget(0, 1.5*float64(f.gateway.countGateways()), time.Hour)
	if !f.gateway.budget.takeRetry("menu", f.gateway.countGateways()) {
		t.Fatal("the budget has no retry")
	}
	now := time.Now()
	q := &request{ctx: t.Context(), route: route, service: service, headWritten: true, lastEventAt: now.Add(time.Hour), deadline: now.Add(2 * time.Hour)}
	go func() {
		<-time.After(yieldRetryInterval)
		f.gateway.budget.refund("menu")
	}()
	if !f.gateway.awaitRetry(q) {
		t.Error("it did not wait for the retry that was refunded")
	}
	q.lastEventAt = now.Add(-maxYield)
	if f.gateway.awaitRetry(q) {
		t.Error("it got a retry that is not in the budget")
	}
}

// An active stream whose connection seems silent is interrupted only where it can resume
// elsewhere, and the retry for that is taken once.
func TestStreamIsInterruptedOnlyIfItCanResume(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	route, _ := f.gateway.index.Load().Route("menus.example", "/draft/x")
	service, _ := f.gateway.index.Load().Service("menu")
	// One retry for this gateway, after the safety reserve.
	f.gateway.budget = fullWindowBudget(0, 1.5*float64(f.gateway.countGateways()), time.Hour)
	q := &request{route: route, service: service, sent: 1, ranAt: map[*backend]bool{{}: true}}
	last := &exchange{gateway: f.gateway, request: q, isLastServer: true}
	if last.mayInterrupt(interruptUnreachable, stageResuming, time.Now()) {
		t.Error("the last attempt is interrupted")
	}
	x := &exchange{gateway: f.gateway, request: q}
	if !x.takeRetryToResume() || !q.retryTaken.Load() {
		t.Fatal("no retry was taken")
	}
	if !x.takeRetryToResume() {
		t.Error("a retry that was taken is taken again")
	}
	if refused := f.gateway.checkMayAttempt(q, 1); refused != nil {
		t.Errorf("the attempt needs another retry although one was taken: %v", refused)
	}
	q.retryTaken.Store(false) // the retry was sent
	if x.takeRetryToResume() {
		t.Error("it is interrupted without a retry")
	}
}
