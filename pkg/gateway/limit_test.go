// ================================================================
// Rate limits of backend servers at one gateway with fake servers: which limits the gateway takes
// from valid and invalid header values, that it stays within them, and what callers receive.
// ================================================================

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serverlimit"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// ownsAll makes the gateway of a fixture the owner of all limits: it is the only one listed.
func (f *fixture) ownsAll() *fixture {
	self := f.gateway.process.Identity
	f.gateway.limitOwners.listed = func() map[string]feed.Peer {
		return map[string]feed.Peer{self.Address(): feed.NewPeer(self.Address(), self.Domain(), "", "", false, true)}
	}
	return f
}

// limitScript answers with a status and the given limit header; without the header while its text
// is empty.
func limitScript(limit *atomic.Value, status string) responseScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		header := ""
		if text := limit.Load().(string); text != "" {
			header = headerLimit + ": " + text + "\r\n"
		}
		if status != "200 OK" {
			header += headerNotRun + ": 1\r\n"
		}
		writeResponse(w, r, status, header, "done")
		return true
	}
}

// headerText returns a text that may change while servers read it.
func headerText(text string) *atomic.Value {
	var v atomic.Value
	v.Store(text)
	return &v
}

// get sends a request and returns the status and the Retry-After time.
func (f *fixture) get(t *testing.T, id string) (status int, retryAfter time.Duration) {
	t.Helper()
	status, header, _, _ := f.do(t, f.request(t, http.MethodGet, id, ""))
	seconds, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
	return status, time.Duration(seconds * float64(time.Second))
}

// maxRequests returns the most requests that may reach a server with a limit since a given time:
// the one whose answer advertised the limit, those granted since, and one saved token.
func maxRequests(perSecond float64, since time.Time) int {
	return 2 + int(perSecond*time.Since(since).Seconds())
}

// A server with a limit gets no more requests than that, and other servers get the rest.
func TestLimitedServerGetsItsLimitAndOthersGetTheRest(t *testing.T) {
	limited := newFakeBackend(t, "s-1", limitScript(headerText("2"), "200 OK"))
	other := newFakeBackend(t, "s-2", respondWith("200 OK", "done"))
	f := newFixture(t, serviceconfig.Repeatable, false, limited, other).ownsAll()
	start := time.Now()
	for i := range 300 {
		if status, _ := f.get(t, fmt.Sprint("r", i)); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	if got := len(limited.requests()); got > maxRequests(2, start) {
		t.Errorf("%d requests in %s with a limit of 2 per second", got, time.Since(start))
	}
}

// A request that no server may get because of its limit is refused immediately, with the time of
// the next permit.
func TestExhaustedLimitsAreRefusedImmediately(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Service Unavailable", "421 Misdirected Request"} {
		limited := newFakeBackend(t, "s-1", limitScript(headerText("0.5"), status))
		f := newFixture(t, serviceconfig.Repeatable, false, limited).ownsAll()
		start := time.Now()
		f.get(t, "first")
		for i := range 20 {
			status, retryAfter := f.get(t, fmt.Sprint("r", i))
			if time.Since(start) > time.Second {
				// The machine paused this process, and a permit may be due.
				break
			}
			if status != http.StatusServiceUnavailable || retryAfter <= 0 || retryAfter > 3*time.Second {
				t.Errorf("status %d, Retry-After %s", status, retryAfter)
			}
		}
		if got := len(limited.requests()); got > maxRequests(0.5, start) {
			t.Errorf("%s: %d requests in %s with a limit of 0.5 per second", status, got, time.Since(start))
		}
	}
}

// An invalid value neither keeps requests from a server nor lifts the limit that it advertised
// before.
func TestInvalidLimitsChangeNothing(t *testing.T) {
	for _, text := range []string{"many", "-1", "NaN", "1e400", "0x1", "2, 3", "99999999"} {
		limit := headerText(text)
		server := newFakeBackend(t, "s-1", limitScript(limit, "200 OK"))
		f := newFixture(t, serviceconfig.Repeatable, false, server).ownsAll()
		for i := range 5 {
			if status, _ := f.get(t, fmt.Sprint("r", i)); status != http.StatusOK {
				t.Errorf("%q: status %d", text, status)
			}
		}
		b := f.gateway.backends.forService("menu")[0]
		b.limit.update(serverlimit.ParseHeader([]string{"1"}), time.Now())
		if b.limit.update(serverlimit.ParseHeader([]string{text}), time.Now()) || !b.hasAdvertisedLimit() || b.limit.perSecond != 1 {
			t.Errorf("%q changed a limit", text)
		}
	}
}

// Once its answers advertise no limit any more, a server gets all requests again.
func TestLimitEndsWithAnswerWithoutLimit(t *testing.T) {
	limit := headerText("50")
	server := newFakeBackend(t, "s-1", limitScript(limit, "200 OK"))
	f := newFixture(t, serviceconfig.Repeatable, false, server).ownsAll()
	f.get(t, "first")
	b := f.gateway.backends.forService("menu")[0]
	if !b.hasAdvertisedLimit() {
		t.Fatal("the gateway has no limit for the server")
	}
	limit.Store("")
	for i := 0; b.hasAdvertisedLimit(); i++ {
		f.get(t, fmt.Sprint("r", i))
		time.Sleep(time.Millisecond)
	}
	for i := range 100 {
		if status, _ := f.get(t, fmt.Sprint("s", i)); status != http.StatusOK {
			t.Fatalf("status %d after the limit ended", status)
		}
	}
}

// A late answer to a request sent before the limit ended does not restore it.
func TestOlderAnswerDoesNotRestoreLimit(t *testing.T) {
	now := time.Now()
	l := limitState{endedAt: now}
	if l.update(serverlimit.ParseHeader([]string{"1"}), now.Add(-time.Millisecond)) {
		t.Error("an older answer restored the limit")
	}
	if !l.update(serverlimit.ParseHeader([]string{"1"}), now.Add(time.Millisecond)) {
		t.Error("a newer answer did not set the limit")
	}
}

// Retries and resumed streams need permits too.
func TestRetriesNeedPermits(t *testing.T) {
	broken := newFakeBackend(t, "s-1", func(w *bufio.Writer, r *http.Request) bool { return false })
	limited := newFakeBackend(t, "s-2", limitScript(headerText("1"), "200 OK"))
	f := newFixture(t, serviceconfig.Repeatable, false, broken, limited).ownsAll()
	start := time.Now()
	for i := range 30 {
		f.get(t, fmt.Sprint("r", i))
	}
	if got := len(limited.requests()); got > maxRequests(1, start) {
		t.Errorf("%d requests in %s with a limit of 1 per second", got, time.Since(start))
	}
}

// A request asks for the permits of few servers, since its caller waits for each.
func TestPermitRequestsPerRequestAreBounded(t *testing.T) {
	var servers []*fakeBackend
	for i := range 2 * maxPermitsRequested {
		servers = append(servers, newFakeBackend(t, fmt.Sprint("s-", i), respondWith("200 OK", "done")))
	}
	f := newFixture(t, serviceconfig.Repeatable, false, servers...).ownsAll()
	for _, b := range f.gateway.backends.forService("menu") {
		b.limit.update(serverlimit.ParseHeader([]string{"0"}), time.Now())
	}
	if status, _ := f.get(t, "first"); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
	asked := 0
	for _, b := range f.gateway.backends.forService("menu") {
		if b.load(time.Now()).isHeldBack(time.Now()) {
			asked++
		}
	}
	if asked != maxPermitsRequested {
		t.Errorf("permits of %d servers were requested", asked)
	}
}

// A caller that cancels while a permit is requested does not keep other requests from the server.
func TestCanceledCallerDoesNotHoldServerBack(t *testing.T) {
	f := newFixture(t, serviceconfig.Repeatable, false, newFakeBackend(t, "s-1", respondWith("200 OK", "done")))
	g := f.gateway
	g.limitOwners.listed = func() map[string]feed.Peer {
		return map[string]feed.Peer{"127.0.0.2:1": feed.NewPeer("127.0.0.2:1", "hall-a", "", "", false, true)}
	}
	ctx, cancel := context.WithCancel(t.Context())
	g.limitOwners.ask = func(ctx context.Context, _ string, _ serverlimit.PermitRequest) (serverlimit.PermitResponse, error) {
		cancel()
		return serverlimit.PermitResponse{}, ctx.Err()
	}
	b := g.backends.forService("menu")[0]
	b.limit.update(serverlimit.ParseHeader([]string{"1"}), time.Now())
	if chosen, _ := g.choosePermitted(&request{ctx: ctx, service: &serviceconfig.Service{}}, requirements{service: "menu"}); chosen != nil {
		t.Error("chosen without a permit")
	}
	if b.load(time.Now()).isHeldBack(time.Now()) {
		t.Error("the server is held back from others")
	}
}

// A request that holds a permit and goes to another server returns it.
func TestUnusedPermitIsReturned(t *testing.T) {
	limited := newFakeBackend(t, "s-1", limitScript(headerText("1"), "200 OK"))
	f := newFixture(t, serviceconfig.Repeatable, false, limited).ownsAll()
	g := f.gateway
	b := g.backends.forService("menu")[0]
	b.limit.update(serverlimit.ParseHeader([]string{"1"}), time.Now())
	q := &request{ctx: t.Context(), service: &serviceconfig.Service{}}
	for !g.acquirePermit(q, b) {
		time.Sleep(time.Millisecond)
	}
	g.returnPermit(q)
	if q.permit != nil || !g.acquirePermit(q, b) {
		t.Error("the permit is lost")
	}
}

// The capacity of an engine with a limit is that limit, where it is below what the engine could
// serve.
func TestCapacityOfLimitedEngines(t *testing.T) {
	w := requirements{engine: serviceconfig.NewEngine(16, []string{"menu"}, 1, 96, 24576, 9*time.Millisecond, 0, 20000, 979, 92, 0, 5)}
	unlimited := 1 / w.engine.SlotInterval().Seconds()
	for _, c := range []struct {
		load load
		want float64
	}{
		{load{}, unlimited}, {load{limited: true, perSecond: 1}, 1}, {load{limited: true}, 0}, {load{limited: true, perSecond: 1000}, unlimited},
	} {
		if got := w.capacity([]candidate{{load: c.load}})[""]; got != c.want {
			t.Errorf("limited %t, %g per second: capacity %g, want %g", c.load.limited, c.load.perSecond, got, c.want)
		}
	}
}
