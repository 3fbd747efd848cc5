package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Seen: after all connections had fallen silent, every engine was full for a second and
// more, and first tries were refused. The runs that were lost went on at the engines, and
// each of them was sent again at once. Proved by who gets the one place here.
func TestLostRequestYieldsToFirstAttempts(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 300 * time.Millisecond, "127.0.0.12:1": 300 * time.Millisecond, "127.0.0.13:1": 300 * time.Millisecond}}
	g, q := newReservingGateway(t, s)
	q.sent, q.mayHaveRun, q.headWritten, q.maxRun = 1, true, true, 30*time.Second
	q.runLostAt = time.Now()
	if b, _ := g.chooseWithReservation(q, requirements{service: "menu", engine: testEngine(), tried: q.tried}); b != nil || len(s.asked) > yieldReservationAttempts {
		t.Fatalf("a stream that was lost took a place that others wait for at %v, asked %v", b, s.asked)
	}
	s.delays["127.0.0.11:1"], s.delays["127.0.0.12:1"], s.delays["127.0.0.13:1"] = idleStartDelay, idleStartDelay, idleStartDelay
	if b, _ := g.pick(q); b == nil {
		t.Fatal("a stream that was lost was given up while engines have places")
	}
	// One whose lost run is over does not yield.
	for i := range s.delays {
		s.delays[i] = 300 * time.Millisecond
	}
	q.maxRun = 0
	if b, _ := g.pick(q); b == nil {
		t.Fatal("a stream whose lost run is over was given up")
	}
}

// Found in a review: a request that yielded did so past its deadline, and where nobody
// served at all.
func TestLostRequestYieldsOnlyWhileUseful(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 300 * time.Millisecond, "127.0.0.12:1": 300 * time.Millisecond, "127.0.0.13:1": 300 * time.Millisecond}}
	g, q := newReservingGateway(t, s)
	now := time.Now()
	q.sent, q.mayHaveRun, q.headWritten, q.maxRun, q.runLostAt = 1, true, true, time.Second, now
	if !q.yields(now) || q.yields(now.Add(time.Second)) {
		t.Fatal("it is to yield for as long as it runs")
	}
	q.deadline = now.Add(900 * time.Millisecond)
	if q.yields(now) {
		t.Fatal("it yields although it would not be over in time then")
	}
	q.deadline, q.maxRun = now.Add(time.Hour), time.Minute
	if q.yields(now.Add(maxYield)) {
		t.Fatal("it yields for longer than its caller waits")
	}
	for _, b := range g.backends.forService("menu") {
		b.setUnreachable(true)
	}
	if b, refused := g.pick(q); b != nil || refused == nil || !q.yields(time.Now()) {
		t.Fatalf("picked %v, refused with %v; where nobody serves it is told at once", b, refused)
	}
}

// Seen: a stream that stood still for 1.2 s was broken off and ended 0.3 s later with "no
// other backend server", and streams that an order cut just after their gateway had started
// met a spent budget. How: each waits for a place and a repeat for 1.5 s from its last event
// on, though its caller would wait for 3.2 s. Cause: one bound for all routes.
func TestStreamWaitsForSlotUntilCallerTimeout(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.protocol.StreamIdleTimeout = func(objective, gap time.Duration) time.Duration { return 8 * gap }
	route, _ := f.gateway.index.Load().Route("menus.example", "/draft/x")
	now := time.Now()
	for _, c := range []struct {
		silent time.Duration
		want   bool
	}{{2500 * time.Millisecond, true}, {2800 * time.Millisecond, false}} {
		q := &request{ctx: t.Context(), route: route, headWritten: true, lastEventAt: now.Add(-c.silent), deadline: now.Add(time.Minute)}
		if f.gateway.mayKeepWaiting(q, now) != c.want {
			t.Errorf("%s after its last event it waits: %t", c.silent, !c.want)
		}
	}
}

// Seen: four streams of one gateway ended 0.1 ms after their connections had been found silent on
// a busy machine: `attempt silent ... evidence: many`, then `no other backend server`. How: for
// that moment no engine was known where they might go on. Cause: a stream that yields to first
// tries was given up at once where nobody serves, and one that was broken off otherwise waits as
// long as its caller does. Proved by the stamps of the two lines, and here.
func TestLostStreamWaitsForAvailableBackend(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay}
	g, q := newReservingGateway(t, s)
	now := time.Now()
	q.sent, q.mayHaveRun, q.headWritten, q.maxRun, q.runLostAt, q.lastEventAt = 1, true, true, time.Second, now, now
	all := g.backends.forService("menu")
	for _, b := range all {
		b.setUnreachable(true)
	}
	go func() {
		<-time.After(2 * yieldRetryInterval)
		for _, b := range all {
			b.setUnreachable(false)
		}
	}()
	if b, refused := g.pick(q); b == nil {
		t.Errorf("it was given up: %v", refused)
	}
}
