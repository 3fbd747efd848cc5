// ================================================================
// Restricted regions and evacuated failure domains, over every way in which a request reaches a backend
// server. Guards against requests in regions where they may not be served: only the choice of a server
// for the first attempt knew about regions, or none.
// ================================================================

package gateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// regionFixture is a gateway in the region north, before one server there and one in the south, which
// the gateway prefers.
type regionFixture struct {
	*fixture
	north, south *fakeBackend
}

// newRegionFixture returns a fixture whose route and organisation allow some regions.
func newRegionFixture(t *testing.T, kind serviceconfig.Kind, route, organisation []string, north, south responseScript) *regionFixture {
	t.Helper()
	f := &regionFixture{north: newFakeBackend(t, "n-1", north), south: newFakeBackend(t, "s-1", south)}
	f.fixture = newFixture(t, kind, true, f.north, f.south)
	g := f.gateway
	g.placement.Regions = func() map[string]string { return map[string]string{"hall-a": "north", "hall-b": "south"} }
	g.backends.applyRegistration(registry.NewRegistration("s-1", "menu", f.south.listener.Addr().String(), "hall-b", "v1", 4, registry.Ready, 0, nil, 2, 0))
	f.restrict(t, 2, route, organisation)
	for range 2 { // newFixture made it prefer the other one
		f.prefer(f.south, f.north)
	}
	return f
}

// restrict puts a configuration in force with other allowed regions.
func (f *regionFixture) restrict(t *testing.T, number uint64, route, organisation []string) {
	t.Helper()
	old := f.gateway.index.Load().Document()
	r := old.Routes()[0]
	restricted := serviceconfig.NewRoute("r", "menus.example", "/draft/", r.Kind(), r.Timeout(), r.ResponseObjective(), r.GapObjective(), 1, r.Targets(), 2, false, true, route)
	d := serviceconfig.NewDocument(number, []serviceconfig.Route{restricted}, old.Services(),
		[]serviceconfig.Organisation{serviceconfig.NewOrganisation("larder", []string{"k1"}, 0, false, organisation)}, serviceconfig.Limits{})
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	f.gateway.index.Advance(d)
}

// evacuate applies the states of failure domains as a control node sends them.
func (f *regionFixture) evacuate(states ...placement.DomainState) {
	f.gateway.applyUpdate("10.0.0.9:7700", feed.NewUpdate(0, nil, nil, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil, states))
}

// cutAfter returns a script that begins a stream with some events and closes the connection.
func cutAfter(count int) responseScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, count)
		return false
	}
}

// closeUnanswered is a script that closes the connection without an answer.
func closeUnanswered(*bufio.Writer, *http.Request) bool { return false }

// Requests are served in a region that route and organisation allow, though a server elsewhere has less work.
func TestRequestsAreServedInAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		name                string
		route, organisation []string
		atNorth, atSouth    int
	}{
		{"no restriction", nil, nil, 0, 1},
		{"the route's", []string{"north"}, nil, 1, 0},
		{"the organisation's", nil, []string{"north"}, 1, 0},
		{"both", []string{"north", "south"}, []string{"north"}, 1, 0},
		{"no region in both", []string{"north"}, []string{"south"}, 0, 0},
		{"an unknown region", []string{"elsewhere"}, nil, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRegionFixture(t, serviceconfig.Repeatable, c.route, c.organisation, respondWith("200 OK", "n"), respondWith("200 OK", "s"))
			status, header, body, _ := f.do(t, f.request(t, http.MethodPost, "id", "body"))
			if len(f.north.requests()) != c.atNorth || len(f.south.requests()) != c.atSouth {
				t.Errorf("%d requests in the north and %d in the south", len(f.north.requests()), len(f.south.requests()))
			}
			if c.atNorth+c.atSouth > 0 {
				return
			}
			if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || !strings.Contains(body, "not run") {
				t.Errorf("status %d, Retry-After %q, %s", status, header.Get("Retry-After"), body)
			}
		})
	}
}

// A request that failed in the only allowed region is not repeated in another one, whether it is a plain
// request, a stream that has not begun or one that is resumed.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	for name, c := range map[string]struct {
		kind  serviceconfig.Kind
		north responseScript
	}{
		"plain request":      {serviceconfig.Repeatable, closeUnanswered},
		"stream not begun":   {serviceconfig.Stream, closeUnanswered},
		"stream with events": {serviceconfig.Stream, cutAfter(2)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegionFixture(t, c.kind, []string{"north"}, nil, c.north, streamAfter(0))
			response, err := http.DefaultTransport.RoundTrip(f.request(t, http.MethodPost, "id", "body"))
			if err == nil {
				response.Body.Close()
			}
			if len(f.north.requests()) == 0 || len(f.south.requests()) > 0 {
				t.Errorf("%d requests in the north and %d in the south", len(f.north.requests()), len(f.south.requests()))
			}
		})
	}
}

// An attempt at a server that may not receive the request is not made, whatever chose the server: a slot
// that is reserved for the next attempt, a standby, or a choice made before an evacuation or a
// configuration came into force.
func TestForcedChoiceIsRefused(t *testing.T) {
	f := newRegionFixture(t, serviceconfig.Stream, []string{"north"}, nil, streamAfter(0), streamAfter(0))
	g := f.gateway
	route, _ := g.index.Load().Route("menus.example", "/draft/x")
	for _, b := range g.backends.forService("menu") {
		allowed := b.latestRegistration().Domain() == "hall-a"
		q := &request{
			ctx: t.Context(), incoming: f.request(t, http.MethodPost, "id", ""), header: http.Header{}, route: route, service: f.service(t),
			stop: g.stop, started: time.Now(), deadline: time.Now().Add(time.Minute), constraint: constraintOf(route, nil),
			tried: map[*backend]bool{}, ranAt: map[*backend]bool{},
		}
		for name, forked := range map[string]*request{"request": q, "fork": q.fork(t.Context())} {
			x := g.startAttempt(forked, b)
			if (x != nil) != allowed {
				t.Errorf("%s: an attempt in %s: %t", name, b.latestRegistration().Domain(), x != nil)
			}
			if x != nil {
				x.close()
			}
		}
	}
	if len(f.south.requests()) > 0 {
		t.Error("the server in the south received a request")
	}
}

// The servers of an evacuated failure domain receive no new request until the evacuation is taken back,
// and with all domains evacuated requests are rejected at once. A state that arrives late changes nothing.
func TestEvacuatedDomainReceivesNoNewRequests(t *testing.T) {
	f := newRegionFixture(t, serviceconfig.Repeatable, nil, nil, respondWith("200 OK", "n"), respondWith("200 OK", "s"))
	for _, step := range []struct {
		states []placement.DomainState
		body   string
		status int
	}{
		{nil, "s", http.StatusOK},
		{[]placement.DomainState{placement.NewDomainState("hall-b", true, 1)}, "n", http.StatusOK},
		{[]placement.DomainState{placement.NewDomainState("hall-a", true, 1)}, "may receive the request", http.StatusServiceUnavailable},
		{[]placement.DomainState{placement.NewDomainState("hall-b", false, 2)}, "s", http.StatusOK},
		{[]placement.DomainState{placement.NewDomainState("hall-b", true, 1)}, "s", http.StatusOK},
	} {
		f.evacuate(step.states...)
		if status, _, body, _ := f.do(t, f.request(t, http.MethodPost, "id", "body")); status != step.status || !strings.Contains(body, step.body) {
			t.Errorf("after %+v: status %d, %s", step.states, status, body)
		}
	}
}

// A stream that runs when its failure domain is evacuated continues to its end there.
func TestStreamsContinueDuringEvacuation(t *testing.T) {
	begun, evacuated := make(chan bool), make(chan bool)
	f := newRegionFixture(t, serviceconfig.Stream, []string{"south"}, nil, streamAfter(0), func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		begun <- true
		<-evacuated
		writeChunk(w, event(2))
		writeChunk(w, "")
		return false
	})
	response, err := http.DefaultTransport.RoundTrip(f.request(t, http.MethodPost, "id", "body"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	<-begun
	f.evacuate(placement.NewDomainState("hall-b", true, 1))
	close(evacuated)
	reader := bufio.NewReader(response.Body)
	var got strings.Builder
	if _, err := reader.WriteTo(&got); err != nil || got.String() != events(1, 2) {
		t.Fatalf("the stream ended with %v after %q", err, got.String())
	}
}
