package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// fakeStager answers for places as its fields say.
type fakeStager struct {
	delays    map[string]time.Duration // until a request begins, by link address; absent: no answer
	idleDelay time.Duration            // a place that begins as soon is one that nobody waits for
	asked     []string
	within    []time.Duration
}

func (s *fakeStager) ask(_ context.Context, address string, a reservation.Ask) (reservation.Answer, error) {
	s.asked = append(s.asked, address)
	s.within = append(s.within, a.Within())
	begins, answers := s.delays[address]
	if !answers {
		return reservation.Answer{}, errors.New("no answer")
	}
	granted := begins <= max(a.Within(), s.idleDelay)
	return reservation.NewAnswer(granted, begins, feed.NewLoad("menu", "", "menu", 1, 3, 0, 1, false, false)), nil
}

// newReservingGateway returns a gateway that knows three engines of its failure domain, and a
// request for them.
func newReservingGateway(t *testing.T, s *fakeStager) (*Gateway, *request) {
	t.Helper()
	f := newFixture(t, serviceconfig.Stream, true)
	g := f.gateway
	g.askStager = s.ask
	// All demand comes here, so a share is all places.
	g.demand.add(time.Now())
	g.demandByDomain = func() map[string]float64 { return map[string]float64{"hall-a": 1} }
	for _, host := range []string{"127.0.0.11", "127.0.0.12", "127.0.0.13"} {
		f.addEngineAt(host+":9", "hall-a", 3)
	}
	route := serviceconfig.NewRoute("r", "h", "/", serviceconfig.Stream, time.Minute, 400*time.Millisecond, 400*time.Millisecond, 1, nil, 2, false, true)
	service := serviceconfig.NewService("menu", "", 0, "", testEngine(), false)
	q := &request{ctx: t.Context(), route: &route, service: &service, started: time.Now(), deadline: time.Now().Add(time.Minute), tried: map[*backend]bool{}}
	q.head.Model, q.model = "menu", "menu"
	return g, q
}

const idleStartDelay = 100 * time.Millisecond

func TestIdleEngineGetsRequest(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 300 * time.Millisecond, "127.0.0.12:1": 300 * time.Millisecond, "127.0.0.13:1": idleStartDelay}}
	g, q := newReservingGateway(t, s)
	b, refused := g.pick(q)
	if b == nil || b.address != "127.0.0.13:9" {
		t.Fatalf("picked %v, refused with %v, asked %v", b, refused, s.asked)
	}
}

// Where somebody waits at every engine, the one that begins first gets the request,
// and nobody is sent where he would be late.
func TestEngineWithEarliestStartGetsRequest(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 350 * time.Millisecond, "127.0.0.12:1": 200 * time.Millisecond, "127.0.0.13:1": 300 * time.Millisecond}}
	g, q := newReservingGateway(t, s)
	b, refused := g.pick(q)
	if b == nil || b.address != "127.0.0.12:9" {
		t.Fatalf("picked %v, refused with %v, asked %v", b, refused, s.asked)
	}
	for address := range s.delays {
		s.delays[address] = 500 * time.Millisecond
	}
	if b, refused = g.pick(q); b != nil || refused == nil {
		t.Fatalf("picked %v where every engine would begin late", b)
	}
	q.sent, q.mayHaveRun = 1, true
	if b, _ = g.pick(q); b == nil {
		t.Fatal("a request that ran elsewhere was given up while engines have places")
	}
}

// Whoever came back is late already, and gets what first tries leave.
func TestReturningCallerTakesOnlyIdleSlots(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 200 * time.Millisecond, "127.0.0.12:1": 200 * time.Millisecond, "127.0.0.13:1": 200 * time.Millisecond}}
	g, q := newReservingGateway(t, s)
	q.refusedBefore = true
	if b, _ := g.pick(q); b != nil {
		t.Fatalf("a caller who came back waits at %s", b.address)
	}
	s.delays["127.0.0.12:1"] = idleStartDelay
	if b, refused := g.pick(q); b == nil {
		t.Fatalf("a caller who came back was refused with %v while an engine has a place", refused)
	}
}

// A stager may be killed, or its link full, while its engine works on: it is not
// asked again at once, and the gateway takes its share of the places.
func TestEngineWithUnresponsiveStagerIsShared(t *testing.T) {
	s := &fakeStager{delays: map[string]time.Duration{}}
	g, q := newReservingGateway(t, s)
	for range 3 {
		if b, refused := g.pick(q); b == nil {
			t.Fatalf("refused with %v while engines have places", refused)
		}
	}
	for i, address := range s.asked {
		for _, other := range s.asked[:i] {
			if address == other {
				t.Fatalf("%s was asked again at once", address)
			}
		}
	}
}

// A stream from another failure domain breaks when the way there is cut, and one that
// begins in time nearby is as good.
func TestLocalEngineInTimePrecedesIdleRemoteEngine(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.21:1": idleStartDelay}}
	for _, near := range []string{"127.0.0.11:1", "127.0.0.12:1", "127.0.0.13:1"} {
		s.delays[near] = 250 * time.Millisecond
	}
	g, q := newReservingGateway(t, s)
	f := fixture{gateway: g}
	f.addEngineAt("127.0.0.21:9", "hall-b", 0)
	if b, refused := g.pick(q); b == nil || !g.isSameDomain(b) {
		t.Fatalf("picked %v, refused with %v, asked %v", b, refused, s.asked)
	}
	for address := range s.delays {
		if address != "127.0.0.21:1" {
			s.delays[address] = 500 * time.Millisecond
		}
	}
	if b, refused := g.pick(q); b == nil || b.address != "127.0.0.21:9" {
		t.Fatalf("picked %v, refused with %v, where those nearby would begin late", b, refused)
	}
}

// Behind the chunks on a link an answer takes longer than it is worth.
func TestReservationTimeoutIsShorterDuringTransfers(t *testing.T) {
	now := time.Now()
	b := newBackend(registry.NewRegistration("i", "menu", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, 1, 0))
	b.recordLoadReport(feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, 3, 0, 1, false, true))
	if got := b.reservationTimeout(now); got != transferReserveTimeout {
		t.Errorf("awaited for %s", got)
	}
	b.recordStagerTimeout(now)
	if l := b.load(now); l.reservable || l.stagerUnresponsive {
		t.Errorf("asked %t, held against the engine %t", l.reservable, l.stagerUnresponsive)
	}
	b.recordLoadReport(feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, 3, 0, 1, false, false))
	if l := b.load(now); !l.stagerUnresponsive {
		t.Error("a stager without chunks on its link did not answer, and it is not held against the engine")
	}
}

// A caller whom nobody can serve hears it at once, also where stagers are silent.
func TestReservationsEndAfterShareOfObjective(t *testing.T) {
	s := &fakeStager{delays: map[string]time.Duration{}}
	g, q := newReservingGateway(t, s)
	slow := func(ctx context.Context, address string, a reservation.Ask) (reservation.Answer, error) {
		<-ctx.Done()
		return s.ask(ctx, address, a)
	}
	g.askStager = slow
	// Nearly all demand comes to others, and no lot rounds the share up.
	g.demandByDomain = func() map[string]float64 { return map[string]float64{"hall-a": 1e9} }
	for _, b := range g.backends.forService("menu") {
		b.reported.rounding = 0
	}
	route := serviceconfig.NewRoute("r", "h", "/", serviceconfig.Stream, time.Minute, reserveTimeout, 0, 1, nil, 2, false, true)
	q.route = &route
	if b, refused := g.pick(q); b != nil || refused == nil || len(s.asked) != 1 {
		t.Fatalf("picked %v, refused with %v, asked %v", b, refused, s.asked)
	}
}
