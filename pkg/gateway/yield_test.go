package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Guards against refused first attempts after many connections fall silent. The lost runs continue
// at the engines; if each is retried immediately, all engines are full for more than a second.
func TestLostRequestYieldsToFirstAttempts(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 300 * time.Millisecond, "127.0.0.12:1": 300 * time.Millisecond, "127.0.0.13:1": 300 * time.Millisecond}}
	g, q := newReservingGateway(t, s)
	q.sent, q.mayHaveRun, q.headWritten, q.maxRun = 1, true, true, 30*time.Second
	q.runLostAt = time.Now()
	if b, _ := g.chooseWithReservation(q, requirements{service: "menu", engine: testEngine(), tried: q.tried}); b != nil || len(s.requestedFrom) > yieldReservationAttempts {
		t.Fatalf("a lost stream took a slot that others wait for at %v, asked %v", b, s.requestedFrom)
	}
	s.delays["127.0.0.11:1"], s.delays["127.0.0.12:1"], s.delays["127.0.0.13:1"] = idleStartDelay, idleStartDelay, idleStartDelay
	if b, _ := g.pick(q); b == nil {
		t.Fatal("a lost stream was refused while engines have idle slots")
	}
	// A request whose lost run is over does not yield.
	for i := range s.delays {
		s.delays[i] = 300 * time.Millisecond
	}
	q.maxRun = 0
	if b, _ := g.pick(q); b == nil {
		t.Fatal("a stream whose lost run is over was refused")
	}
}

// A request must not yield past its deadline, nor if no backend server is available.
func TestLostRequestYieldsOnlyWhileUseful(t *testing.T) {
	s := &fakeStager{idleDelay: idleStartDelay, delays: map[string]time.Duration{"127.0.0.11:1": 300 * time.Millisecond, "127.0.0.12:1": 300 * time.Millisecond, "127.0.0.13:1": 300 * time.Millisecond}}
	g, q := newReservingGateway(t, s)
	now := time.Now()
	q.sent, q.mayHaveRun, q.headWritten, q.maxRun, q.runLostAt = 1, true, true, time.Second, now
	if !q.yields(now) || q.yields(now.Add(time.Second)) {
		t.Fatal("it must yield for exactly its run time")
	}
	q.deadline = now.Add(900 * time.Millisecond)
	if q.yields(now) {
		t.Fatal("it yields although it could not end in time afterwards")
	}
	q.deadline, q.maxRun = now.Add(time.Hour), time.Minute
	if q.yields(now.Add(maxYield)) {
		t.Fatal("it yields for longer than maxYield")
	}
	for _, b := range g.backends.forService("menu") {
		b.setUnreachable(true)
	}
	q.headWritten = false // a started stream is not refused while its caller stays
	if b, refused := g.pick(q); b != nil || refused == nil || !q.yields(time.Now()) {
		t.Fatalf("picked %v, refused with %v; without an available server it must be refused immediately", b, refused)
	}
}

// Guards against streams that their gateway ends although their callers still wait. One bound of 1.5 s
// since the last event applied to all routes, while the caller of the lost streams waited 3.2 s; then the
// expected time, while callers stayed until their deadlines. Where no server is left it still ends them.
func TestStreamWaitsForSlotWhileCallerDoes(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true, newFakeBackend(t, "i-1", streamAfter(0)))
	f.gateway.protocol.StreamIdleTimeout = func(objective, gap time.Duration) time.Duration { return 8 * gap }
	route, _ := f.gateway.index.Load().Route("menus.example", "/draft/x")
	service, _ := f.gateway.index.Load().Service("menu")
	now := time.Now()
	gone, leave := context.WithCancel(t.Context())
	leave()
	for _, c := range []struct {
		silent, deadline time.Duration
		ctx              context.Context
		noServerLeft     bool
		want             bool
	}{
		{2500 * time.Millisecond, time.Minute, t.Context(), true, true},
		{2800 * time.Millisecond, time.Minute, t.Context(), true, false},
		{2800 * time.Millisecond, time.Minute, t.Context(), false, true},
		{10 * time.Second, time.Minute, t.Context(), false, true},
		{10 * time.Second, minAttemptTime, t.Context(), false, false},
		{2500 * time.Millisecond, time.Minute, gone, false, false},
	} {
		q := &request{ctx: c.ctx, route: route, service: service, headWritten: true, lastEventAt: now.Add(-c.silent), deadline: now.Add(c.deadline), tried: map[*backend]bool{}}
		for _, b := range f.gateway.backends.forService("menu") {
			q.tried[b] = c.noServerLeft
		}
		if f.gateway.mayKeepWaiting(q, now) != c.want {
			t.Errorf("%s after its last event, %s before its deadline, no server left %t, caller gone %t: waits %t", c.silent, c.deadline, c.noServerLeft, c.ctx.Err() != nil, !c.want)
		}
	}
}

// A stream whose connection fell silent must wait for a backend server to become available.
// Otherwise it ends immediately with "no other backend server" if none is available at that
// moment, while a stream that broke for another reason waits as long as its caller.
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
		t.Errorf("the stream was refused: %v", refused)
	}
}
