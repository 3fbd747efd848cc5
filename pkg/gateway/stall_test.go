package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// newStalled is a stream under way at the first of two engines, without an event for a time.
func newStalled(t *testing.T, silent time.Duration) (f *fixture, x *exchange) {
	t.Helper()
	f = newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Raise(engineDocument(t))
	own, other := newStandIn(t, "i-own", breakOff), newStandIn(t, "i-other", breakOff)
	f.hearVersion(own, 1)
	f.hearVersion(other, 1)
	route, _ := f.gateway.index.Load().Route("menus.example", "/draft/x")
	b := f.backend("i-own")
	q := &request{ctx: t.Context(), route: route, service: f.service(t), model: "menu", sent: 1, begun: true, tried: map[*backend]bool{b: true}}
	now := time.Now()
	x = &exchange{gateway: f.gateway, request: q, backend: b, elsewhere: f.gateway.wantedFor(q), started: now.Add(-silent)}
	x.watch = &watchdog{exchange: x}
	x.listening = &listening{silences: &f.gateway.silences, exchange: x, made: x.started, sent: x.started, heard: x.started, due: leastSilence, spoke: true, flows: true}
	return f, x
}

// A stream without progress is left where it would begin elsewhere after its caller has given it
// up, and where no other server has a free place: on such a move it was refused, and lost.
func TestStalledStreamMovesOnlyWhereItsCallerGetsMore(t *testing.T) {
	const stalled = gapPatience + lookAfter/2
	for name, c := range map[string]struct {
		silent, begins time.Duration
		full           bool
		moves          bool
	}{
		"a free place":                {stalled, 50 * time.Millisecond, false, true},
		"others are full":             {stalled, 50 * time.Millisecond, true, false},
		"begins after its caller":     {stalled, 1500 * time.Millisecond, false, false},
		"its caller should have left": {stalled + time.Second, 1500 * time.Millisecond, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f, x := newStalled(t, c.silent)
			for range fewestValues {
				f.gateway.silences.learn(usualKey{"menu", usualWait}, time.Now(), c.begins)
			}
			if c.full {
				other := f.backend("i-other")
				f.gateway.backends.hearLoad(feed.NewLoad("menu", other.address, "menu", 1, 16, 1, 1, false, false))
			}
			if moves := x.mayInterrupt(interruptStall, stageStreaming, time.Now()); moves != c.moves {
				t.Errorf("it is moved: %t", moves)
			}
		})
	}
}

// A stream without progress stays until a server has granted a place, and takes that one: moved by a
// report alone it found all places taken.
func TestStalledStreamMovesToTheGrantedPlace(t *testing.T) {
	for name, granted := range map[string]bool{"granted": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			f, x := newStalled(t, gapPatience+lookAfter/2)
			asked := 0
			f.gateway.askStager = func(context.Context, string, reservation.Ask) (reservation.Answer, error) {
				asked++
				return reservation.NewAnswer(granted, idleBegin, feed.NewLoad("menu", "", "menu", 1, 1, 0, 1, false, false)), nil
			}
			if moves := x.mayInterrupt(interruptStall, stageStreaming, time.Now()); moves != granted || asked != 1 {
				t.Fatalf("it is moved: %t, after %d questions", moves, asked)
			}
			if !granted {
				return
			}
			if b, refused := f.gateway.pick(x.request); b != f.backend("i-other") || asked != 1 {
				t.Errorf("it goes to %v, refused with %v, after %d questions", b, refused, asked)
			}
		})
	}
}

// Servers that become slow together look like connections that are silent everywhere. A stream
// leaves its connection when a newer one to the same server is answered on, or after as long as one
// that stalls: streams of slow servers were all sent anew at one moment, and found them full.
func TestStreamLeavesSilenceEverywhereOnlyWhenProved(t *testing.T) {
	const slow = 400 * time.Millisecond
	for name, c := range map[string]struct {
		silent  time.Duration
		newer   bool // connections are there
		answers bool // they are answered on
		leaves  bool
	}{
		"not proved":              {slow, false, false, false},
		"proved by a newer one":   {slow, true, true, true},
		"as long as one stalls":   {gapPatience + 3*leastSilence, false, false, true},
		"newer ones wait as well": {gapPatience + 3*leastSilence, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, x := newStalled(t, c.silent)
			f.gateway.protocol.Patience = func(time.Duration, time.Duration) time.Duration { return 2 * gapPatience }
			f.gateway.silences.learn(usualKey{"menu", usualWait}, time.Now(), leastSilence)
			h := x.listening.hearing()
			all := []hearing{h}
			if c.newer {
				newer := h
				newer.made, newer.since = h.since.Add(leastSilence/2), h.since.Add(2*leastSilence)
				newer.spoke, newer.flows = c.answers, c.answers
				all = append(all, newer)
			}
			why := reasonOf(time.Now(), evidenceMany, h, all)
			if leaves := x.mayInterrupt(why, stageStreaming, time.Now()); leaves != c.leaves {
				t.Errorf("it leaves as %q: %t", why, leaves)
			}
		})
	}
}
