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

// fakeStager answers reservation requests from its fields.
type fakeStager struct {
	delays        map[string]time.Duration // until a request starts, by link address; a missing entry means no response
	idleDelay     time.Duration            // up to this delay a slot counts as idle
	requestedFrom []string
	startBounds   []time.Duration
}

func (s *fakeStager) ask(_ context.Context, address string, a reservation.Request) (reservation.Response, error) {
	s.requestedFrom = append(s.requestedFrom, address)
	s.startBounds = append(s.startBounds, a.MaxTimeToFirstEvent())
	delay, found := s.delays[address]
	if !found {
		return reservation.Response{}, errors.New("no answer")
	}
	granted := delay <= max(a.MaxTimeToFirstEvent(), s.idleDelay)
	return reservation.NewResponse(granted, delay, feed.NewLoad("menu", "", "menu", 1, 3, 0, 1, false, false)), nil
}

// newReservingGateway returns a gateway with three engines in its failure domain, and a request
// for them.
func newReservingGateway(t *testing.T, s *fakeStager) (*Gateway, *request) {
	t.Helper()
	f := newFixture(t, serviceconfig.Stream, true)
	g := f.gateway
	g.askStager = s.ask
	// All demand comes here, so the share is all slots.
	g.demand.add(time.Now())
	g.demandByDomain = func() map[string]float64 { return map[string]float64{"hall-a": 1} }
	for _, host := range []string{"127.0.0.11", "127.0.0.12", "127.0.0.13"} {
		f.addEngineAt(host+":9", "hall-a", 3)
	}
	route := serviceconfig.NewRoute("r", "h", "/", serviceconfig.Stream, time.Minute, 400*time.Millisecond, 400*time.Millisecond, 1, nil, 2, false, true, nil)
	service := serviceconfig.NewService("menu", "", 0, "", testEngine(), false, 0)
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
		t.Fatalf("picked %v, refused with %v, asked %v", b, refused, s.requestedFrom)
	}
}

// If requests wait at every engine, the engine with the earliest start gets the request. A request
// that would start late everywhere is refused.
func TestEngineWithEarliestStartGetsRequest(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 350 * time.Millisecond, "127.0.0.12:1": 200 * time.Millisecond, "127.0.0.13:1": 300 * time.Millisecond}}
	g, q := newReservingGateway(t, s)
	b, refused := g.pick(q)
	if b == nil || b.address != "127.0.0.12:9" {
		t.Fatalf("picked %v, refused with %v, asked %v", b, refused, s.requestedFrom)
	}
	for address := range s.delays {
		s.delays[address] = 500 * time.Millisecond
	}
	if b, refused = g.pick(q); b != nil || refused == nil {
		t.Fatalf("picked %v although every engine would start late", b)
	}
	q.sent, q.mayHaveRun = 1, true
	if b, _ = g.pick(q); b == nil {
		t.Fatal("a retried request was refused while engines accept it")
	}
}

// A returning caller is late already and gets only the slots that first attempts leave.
func TestReturningCallerTakesOnlyIdleSlots(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 200 * time.Millisecond, "127.0.0.12:1": 200 * time.Millisecond, "127.0.0.13:1": 200 * time.Millisecond}}
	g, q := newReservingGateway(t, s)
	q.refusedBefore = true
	if b, _ := g.pick(q); b != nil {
		t.Fatalf("a returning caller waits at %s", b.address)
	}
	s.delays["127.0.0.12:1"] = idleStartDelay
	if b, refused := g.pick(q); b == nil {
		t.Fatalf("a returning caller was refused with %v while an engine has an idle slot", refused)
	}
}

// A stager may be killed or have a saturated link while its engine keeps working. The gateway must
// not ask it again immediately, and uses its own share of the slots of the engine.
func TestEngineWithUnresponsiveStagerIsShared(t *testing.T) {
	s := &fakeStager{delays: map[string]time.Duration{}}
	g, q := newReservingGateway(t, s)
	for range 3 {
		if b, refused := g.pick(q); b == nil {
			t.Fatalf("refused with %v while engines have free slots", refused)
		}
	}
	for i, address := range s.requestedFrom {
		for _, other := range s.requestedFrom[:i] {
			if address == other {
				t.Fatalf("%s was asked again immediately", address)
			}
		}
	}
}

// A stream from another failure domain breaks when the link to it is cut, so a local engine that
// starts in time is preferred to an idle remote one.
func TestLocalEngineInTimePrecedesIdleRemoteEngine(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.21:1": idleStartDelay}}
	for _, local := range []string{"127.0.0.11:1", "127.0.0.12:1", "127.0.0.13:1"} {
		s.delays[local] = 250 * time.Millisecond
	}
	g, q := newReservingGateway(t, s)
	f := fixture{gateway: g}
	f.addEngineAt("127.0.0.21:9", "hall-b", 0)
	if b, refused := g.pick(q); b == nil || !g.isSameDomain(b) {
		t.Fatalf("picked %v, refused with %v, asked %v", b, refused, s.requestedFrom)
	}
	for address := range s.delays {
		if address != "127.0.0.21:1" {
			s.delays[address] = 500 * time.Millisecond
		}
	}
	if b, refused := g.pick(q); b == nil || b.address != "127.0.0.21:9" {
		t.Fatalf("picked %v, refused with %v, although the local engines would start late", b, refused)
	}
}

// A reservation response that queues behind chunks on the link comes too late to be useful.
func TestReservationTimeoutIsShorterDuringTransfers(t *testing.T) {
	now := time.Now()
	b := newBackend(registry.NewRegistration("i", "menu", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, 1, 0))
	b.recordLoadReport(feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, 3, 0, 1, false, true))
	if got := b.reservationTimeout(now); got != transferReserveTimeout {
		t.Errorf("the timeout is %s", got)
	}
	b.recordStagerTimeout(now)
	if l := b.load(now); l.reservable || l.stagerUnresponsive {
		t.Errorf("reservable %t, counted as unresponsive %t", l.reservable, l.stagerUnresponsive)
	}
	b.recordLoadReport(feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, 3, 0, 1, false, false))
	if l := b.load(now); !l.stagerUnresponsive {
		t.Error("a stager without chunks on its link did not answer and does not count as unresponsive")
	}
}

// A caller that no engine can serve must be refused early, also if stagers don't answer.
func TestReservationsEndAfterShareOfObjective(t *testing.T) {
	s := &fakeStager{delays: map[string]time.Duration{}}
	g, q := newReservingGateway(t, s)
	slow := func(ctx context.Context, address string, a reservation.Request) (reservation.Response, error) {
		<-ctx.Done()
		return s.ask(ctx, address, a)
	}
	g.askStager = slow
	// Nearly all demand comes to others, and rounding adds no slot.
	g.demandByDomain = func() map[string]float64 { return map[string]float64{"hall-a": 1e9} }
	for _, b := range g.backends.forService("menu") {
		b.reported.rounding = 0
	}
	route := serviceconfig.NewRoute("r", "h", "/", serviceconfig.Stream, time.Minute, reserveTimeout, 0, 1, nil, 2, false, true, nil)
	q.route = &route
	if b, refused := g.pick(q); b != nil || refused == nil || len(s.requestedFrom) != 1 {
		t.Fatalf("picked %v, refused with %v, asked %v", b, refused, s.requestedFrom)
	}
}

// A started stream queues at an engine whose forecast is in time, although recent starts were later than
// their forecasts by more than its caller still waits: it ended while engines had slots.
func TestStartedStreamQueuesWhereForecastsAreLate(t *testing.T) {
	const callerWaits, forecast = time.Second, 200 * time.Millisecond
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": forecast, "127.0.0.12:1": 2 * forecast, "127.0.0.13:1": 2 * forecast}}
	g, q := newReservingGateway(t, s)
	g.protocol.StreamIdleTimeout = func(time.Duration, time.Duration) time.Duration { return callerWaits }
	q.sent, q.headWritten, q.lastEventAt = 1, true, time.Now()
	for _, lateness := range []time.Duration{callerWaits / 4, callerWaits + forecast} {
		for range minSamples {
			g.silenceDetector.record(timingKey{"menu", timingForecastError}, time.Now(), lateness)
		}
		if b, _ := g.chooseWithReservation(q, g.requirementsFor(q)); b == nil || b.address != "127.0.0.11:9" {
			t.Errorf("forecasts late by %s: it queues at %v", lateness, b)
		}
	}
}
