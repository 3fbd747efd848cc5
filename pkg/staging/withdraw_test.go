package staging

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// testStager returns a stager, without loops, beside an engine that answers
// one report after the other, the last one again and again.
func testStager(reports ...Report) *Stager {
	asked := 0
	read := func(context.Context, string) (Report, error) {
		r := reports[min(asked, len(reports)-1)]
		asked++
		return r, nil
	}
	m := &Member{protocol: Protocol{ReadReport: read}, process: &daemon.Process{Logger: log.NewNopLogger()}}
	return &Stager{Member: m, loadChanged: make(chan struct{}, 1)}
}

// An order that waited for the longest stream kept an engine nearly empty for
// 2 s, and half of all engines at one time.
func TestDrainEndsWhenFewRequestsRun(t *testing.T) {
	s := testStager(Report{Running: 15, Queued: 1}, Report{Running: 9}, Report{Running: 4}, Report{Running: 3}, Report{Running: 1})
	running, end := s.drain(t.Context(), 16)
	if running != 3 {
		t.Errorf("withdrew until %d requests ran", running)
	}
	if !s.draining.Load() {
		t.Error("gateways send on to an engine that withdraws")
	}
	select {
	case <-s.loadChanged:
	default:
		t.Error("the gateways are not told at once")
	}
	end()
	if s.draining.Load() {
		t.Error("the engine is withdrawn for good")
	}
}

// Seen: while versions of the weights went out and gateways were stopped beside it, 13 to 20
// streams of a run ended midway within stops, cut by two orders in a row or with the budget
// of repeats spent. How: engines got their orders after 1 s with up to 13 of 12 places and
// their queue taken. Cause: the wait for what runs fitted answers of the usual length only.
// Proved by the orders' lines, and by a pair in which engines wait for longer.
func TestDrainWaitsForLongAnswers(t *testing.T) {
	const slots, few, many = 12, 2, 9
	for _, c := range []struct {
		running int
		waited  time.Duration
		want    bool
	}{{few, 0, true}, {many, 1100 * time.Millisecond, false}, {many, drainTimeout + 1, true}} {
		if got := isDrained(c.running, slots, c.waited); got != c.want {
			t.Errorf("%d of %d run after %s: order %t", c.running, slots, c.waited, got)
		}
	}
}

func TestDrainEndsWhenTheEngineDoesNotAnswer(t *testing.T) {
	s := testStager(Report{})
	s.protocol.ReadReport = func(context.Context, string) (Report, error) {
		return Report{}, failure.New(failure.Unreachable, "no answer")
	}
	_, end := s.drain(t.Context(), 16)
	end()
	if s.draining.Load() {
		t.Error("the engine is withdrawn for good")
	}
}

// A token that was refused for a higher one is not used again, until the engine
// has started anew and forgotten both.
func TestRefusedFencingTokenIsNotReused(t *testing.T) {
	s := testStager(Report{})
	var given []Order
	s.protocol.SendOrder = func(_ context.Context, _ string, o Order) error {
		given = append(given, o)
		return failure.New(failure.StaleOrder, "a token of 5 was seen")
	}
	c, _ := testCopy(1)
	report := Report{Sequence: 3}
	s.sendOrder(t.Context(), c, report, feed.VersionInfo{}, true)
	if len(given) != 1 || given[0].Fence != c.manifest.version {
		t.Fatalf("orders %+v", given)
	}
	if !s.refusedFence.blocks(given[0].Fence, report) || s.refusedFence.blocks(given[0].Fence+1, report) {
		t.Error("the refused token is used again, or a higher one is not")
	}
	if s.refusedFence.blocks(given[0].Fence, Report{}) || s.refusedFence.blocks(given[0].Fence, Report{Sequence: 9, Started: 1}) {
		t.Error("an engine that started anew gets no order")
	}
}

// Answers that cannot go on elsewhere are not cut for an order.
func TestOrderInterruptsOnlyRepeatableRequests(t *testing.T) {
	report := Report{Running: 1}
	s := testStager(report)
	s.protocol.Get = func(context.Context, string, string, int) ([]byte, error) { return []byte("chunk 0"), nil }
	var given []Order
	s.protocol.SendOrder = func(_ context.Context, _ string, o Order) error {
		given = append(given, o)
		return failure.New(failure.Conflict, "an order is under way")
	}
	c, _ := testCopy(1)
	s.staged = c
	engine := serviceconfig.NewEngine(16, []string{"menu"}, 1, 1, 8, time.Millisecond, 0, 0, 0, 0, 0, 0)
	for _, interruptible := range []bool{false, true} {
		service := serviceconfig.NewService("menu", "", 0, "", engine, interruptible)
		s.activate(t.Context(), c, report, feed.VersionInfo{}, &service)
		if last := given[len(given)-1]; last.Interrupts != interruptible {
			t.Errorf("requests may go on elsewhere: %t; the order cuts: %t", interruptible, last.Interrupts)
		}
	}
}
