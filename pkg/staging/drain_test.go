package staging

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/suspension"
)

// testStager returns a stager, without its loops, whose engine answers with the given reports in
// order and then repeats the last one.
func testStager(reports ...Report) *Stager {
	reads := 0
	readReport := func(context.Context, string) (Report, error) {
		r := reports[min(reads, len(reports)-1)]
		reads++
		return r, nil
	}
	m := &Member{
		protocol: Protocol{ReadReport: readReport}, process: &daemon.Process{Logger: log.NewNopLogger()},
		metrics: newMetrics(prometheus.NewRegistry()),
	}
	return &Stager{Member: m, loadChanged: make(chan struct{}, 1), now: suspension.New().Elapsed}
}

// Guards against this failure: an order that waited for the longest stream kept an engine nearly
// idle for 2 s, and half of all engines at the same time.
func TestDrainEndsWhenFewRequestsRun(t *testing.T) {
	s := testStager(Report{Running: 15, Queued: 1}, Report{Running: 9}, Report{Running: 4}, Report{Running: 3}, Report{Running: 1})
	running, endDrain := s.drain(t.Context(), 16)
	if running != 3 {
		t.Errorf("drain ended with %d running requests", running)
	}
	if !s.draining.Load() {
		t.Error("draining is not set during a drain")
	}
	select {
	case <-s.loadChanged:
	default:
		t.Error("the load is not reported at once")
	}
	endDrain()
	if s.draining.Load() {
		t.Error("draining is still set after the drain")
	}
}

// Guards against this failure: while new versions were rolled out and gateways were stopped, 13 to
// 20 streams of a run were lost, interrupted by two orders in a row or with the retry budget
// exhausted. Engines got their orders after 1 s with up to 13 requests for 12 slots, since the wait
// fitted answers of the usual length only.
func TestDrainWaitsForLongAnswers(t *testing.T) {
	const slots, few, many = 12, 2, 9
	for _, c := range []struct {
		running int
		waited  time.Duration
		want    bool
	}{{few, 0, true}, {many, 1100 * time.Millisecond, false}, {many, drainTimeout + 1, true}} {
		if got := isDrained(c.running, slots, c.waited); got != c.want {
			t.Errorf("%d of %d slots in use after %s: drained %t", c.running, slots, c.waited, got)
		}
	}
}

func TestDrainEndsWhenTheEngineDoesNotAnswer(t *testing.T) {
	s := testStager(Report{})
	s.protocol.ReadReport = func(context.Context, string) (Report, error) {
		return Report{}, failure.New(failure.Unreachable, "no answer")
	}
	_, endDrain := s.drain(t.Context(), 16)
	endDrain()
	if s.draining.Load() {
		t.Error("draining is still set after the drain")
	}
}

// A fencing token that was refused because of a higher one is not used again until the engine has
// restarted and lost both.
func TestRefusedFencingTokenIsNotReused(t *testing.T) {
	report := Report{Sequence: 3}
	s := testStager(report)
	var orders []Order
	s.protocol.SendOrder = func(_ context.Context, _ string, o Order) error {
		orders = append(orders, o)
		return failure.New(failure.StaleOrder, "fencing token 5 was seen")
	}
	c, _ := testCopy(1)
	staged := newStagedCopy(c, 1)
	staged.addVerification(0, s.now())
	s.sendOrder(t.Context(), staged, verifiedLayers{layers: layerRange{0, 1}}, report, feed.VersionInfo{}, true)
	if len(orders) != 1 || orders[0].Fence != c.manifest.version {
		t.Fatalf("orders: %+v", orders)
	}
	if !s.refusedFence.blocks(orders[0].Fence, report) || s.refusedFence.blocks(orders[0].Fence+1, report) {
		t.Error("the refused token is not blocked, or a higher one is")
	}
	if s.refusedFence.blocks(orders[0].Fence, Report{}) || s.refusedFence.blocks(orders[0].Fence, Report{Sequence: 9, StartedAt: 1}) {
		t.Error("orders to a restarted engine are blocked")
	}
}

// Requests that cannot resume on another engine are not interrupted by an order.
func TestOrderInterruptsOnlyRepeatableRequests(t *testing.T) {
	report := Report{Running: 1}
	s := testStager(report)
	s.protocol.GetChunk = func(context.Context, string, string, int) ([]byte, error) { return []byte("chunk 0"), nil }
	var orders []Order
	s.protocol.SendOrder = func(_ context.Context, _ string, o Order) error {
		orders = append(orders, o)
		return failure.New(failure.Conflict, "an order is being carried out")
	}
	c, _ := testCopy(1)
	s.staged = newStagedCopy(c, 1)
	s.staged.isComplete = true
	s.sound.Store(&engineLoad{})
	engine := serviceconfig.NewEngine(16, []string{"menu"}, 1, 1, 8, time.Millisecond, 0, 0, 0, 0, 0, 0)
	for _, interruptible := range []bool{false, true} {
		service := serviceconfig.NewService("menu", "", 0, "", engine, interruptible, 0)
		s.activate(t.Context(), c, report, feed.VersionInfo{}, &service)
		if last := orders[len(orders)-1]; last.Interrupts != interruptible {
			t.Errorf("requests may resume elsewhere: %t; the order interrupts them: %t", interruptible, last.Interrupts)
		}
	}
}
