package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// newStalledStream returns an active stream at the first of two engines, without an event for a time.
func newStalledStream(t *testing.T, silent time.Duration) (f *fixture, x *exchange) {
	t.Helper()
	f = newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Advance(engineDocument(t))
	own, other := newFakeBackend(t, "i-own", closeWithoutResponse), newFakeBackend(t, "i-other", closeWithoutResponse)
	f.registerVersion(own, 1)
	f.registerVersion(other, 1)
	route, _ := f.gateway.index.Load().Route("menus.example", "/draft/x")
	b := f.backend("i-own")
	q := &request{ctx: t.Context(), route: route, service: f.service(t), model: "menu", sent: 1, headWritten: true, tried: map[*backend]bool{b: true}}
	now := time.Now()
	x = &exchange{gateway: f.gateway, request: q, backend: b, failoverRequirements: f.gateway.requirementsFor(q), started: now.Add(-silent)}
	x.watch = &watchdog{exchange: x}
	x.silenceMonitor = &attemptMonitor{detector: &f.gateway.silenceDetector, exchange: x, connectedAt: x.started, sentAt: x.started, lastReceived: x.started, silenceLimit: minSilence, received: true, streaming: true}
	return f, x
}

// A stream without progress stays at its server if it would begin elsewhere only after its caller
// leaves, or if no other server has a free slot: a stream that was moved to a full server was
// rejected and lost.
func TestStalledStreamMovesOnlyIfCallerBenefits(t *testing.T) {
	const stalled = maxEventGap + watchdogInterval/2
	for name, c := range map[string]struct {
		silent, firstEvent time.Duration
		othersFull         bool
		moves              bool
	}{
		"a free slot":                         {stalled, 50 * time.Millisecond, false, true},
		"others are full":                     {stalled, 50 * time.Millisecond, true, false},
		"begins after its caller leaves":      {stalled, 1500 * time.Millisecond, false, false},
		"its caller is expected to have left": {stalled + time.Second, 1500 * time.Millisecond, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f, x := newStalledStream(t, c.silent)
			for range minSamples {
				f.gateway.silenceDetector.record(timingKey{"menu", timingWait}, time.Now(), c.firstEvent)
			}
			if c.othersFull {
				other := f.backend("i-other")
				f.gateway.backends.applyLoadReport(feed.NewLoad("menu", other.address, "menu", 1, 16, 1, 1, false, false))
			}
			if moves := x.mayInterrupt(interruptStall, stageStreaming, time.Now()); moves != c.moves {
				t.Errorf("moved: %t", moves)
			}
		})
	}
}

// A stream without progress stays until a server has granted a slot, and then uses that slot: a
// stream that was moved by load reports alone found all slots taken.
func TestStalledStreamMovesToTheReservedSlot(t *testing.T) {
	for name, granted := range map[string]bool{"granted": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			f, x := newStalledStream(t, maxEventGap+watchdogInterval/2)
			asked := 0
			f.gateway.askStager = func(context.Context, string, reservation.Request) (reservation.Response, error) {
				asked++
				return reservation.NewResponse(granted, idleStartDelay, feed.NewLoad("menu", "", "menu", 1, 1, 0, 1, false, false)), nil
			}
			if moves := x.mayInterrupt(interruptStall, stageStreaming, time.Now()); moves != granted || asked != 1 {
				t.Fatalf("moved: %t, after %d reservation requests", moves, asked)
			}
			if !granted {
				return
			}
			if b, refused := f.gateway.pick(x.request); b != f.backend("i-other") || asked != 1 {
				t.Errorf("it goes to %v, refused with %v, after %d reservation requests", b, refused, asked)
			}
		})
	}
}

// Servers that become slow together look like global silence. A stream leaves its connection when
// a newer one to the same server receives events, or after the time of a stall. Guards against
// moving all streams of slow servers at the same moment, which find the servers full.
func TestStreamLeavesGlobalSilenceOnlyWithEvidence(t *testing.T) {
	const slowEvent = 400 * time.Millisecond
	for name, c := range map[string]struct {
		silent      time.Duration
		newer       bool // there are newer connections
		answers     bool // they receive events
		interrupted bool
	}{
		"no evidence":                        {slowEvent, false, false, false},
		"a newer connection receives events": {slowEvent, true, true, true},
		"silent as long as a stall":          {maxEventGap + 3*minSilence, false, false, true},
		"newer connections wait as well":     {maxEventGap + 3*minSilence, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, x := newStalledStream(t, c.silent)
			f.gateway.protocol.StreamIdleTimeout = func(time.Duration, time.Duration) time.Duration { return 2 * maxEventGap }
			f.gateway.silenceDetector.record(timingKey{"menu", timingWait}, time.Now(), minSilence)
			snapshot := x.silenceMonitor.snapshot()
			all := []attemptSnapshot{snapshot}
			if c.newer {
				newer := snapshot
				newer.connectedAt, newer.silentSince = snapshot.silentSince.Add(minSilence/2), snapshot.silentSince.Add(2*minSilence)
				newer.received, newer.streaming = c.answers, c.answers
				all = append(all, newer)
			}
			reason := silenceReason(time.Now(), evidenceManyAddresses, snapshot, all)
			if interrupted := x.mayInterrupt(reason, stageStreaming, time.Now()); interrupted != c.interrupted {
				t.Errorf("interrupted as %q: %t", reason, interrupted)
			}
		})
	}
}

// A server counts as stalled only if all its streams are silent: others it still serves.
func TestServerWithAnActiveStreamIsNotStalled(t *testing.T) {
	f, x := newStalledStream(t, maxEventGap+watchdogInterval/2)
	other, now := f.backend("i-other"), time.Now()
	s := &f.gateway.silenceDetector
	s.active = map[*attemptMonitor]bool{}
	for _, silent := range []time.Duration{minSilence / 10, maxEventGap} {
		y := &exchange{gateway: f.gateway, request: x.request, backend: other}
		s.active[&attemptMonitor{detector: s, exchange: y, lastReceived: now.Add(-silent), received: true, streaming: true}] = true
	}
	if found, silent := s.progressElsewhere(x.silenceMonitor, now); found != progressSeen || silent[other] {
		t.Errorf("progress %d, counts as stalled: %t", found, silent[other])
	}
}
