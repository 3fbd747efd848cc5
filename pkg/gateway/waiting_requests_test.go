package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

func TestWaitingRequestsTrackOldestAndSlowest(t *testing.T) {
	now := time.Now()
	var w waitingRequests
	first := w.add(now, nil)
	second := w.add(now.Add(100*time.Millisecond), nil)
	if oldest := w.oldestWait(now.Add(300 * time.Millisecond)); oldest != 300*time.Millisecond {
		t.Fatalf("oldest wait %s", oldest)
	}
	w.remove(first, now.Add(400*time.Millisecond), true)
	w.remove(first, now.Add(900*time.Millisecond), true)
	w.remove(second, now.Add(450*time.Millisecond), false)
	if slowest := w.slowestWait(now.Add(500 * time.Millisecond)); slowest != 400*time.Millisecond {
		t.Fatalf("slowest wait %s", slowest)
	}
	if w.slowestWait(now.Add(time.Minute)) != 0 || w.oldestWait(now) != 0 {
		t.Fatal("an old wait still counts")
	}
}

// An engine where requests of this gateway wait counts as full, whatever its load report says.
func TestObservedWaitsOverrideReportedLoad(t *testing.T) {
	w := requirements{engine: serviceconfig.NewEngine(16, []string{"menu"}, 1, 96, 24576, 9*time.Millisecond, 0, 20000, 979, 92, 0, 5)}
	l := load{fresh: true, reported: reportedLoad{load: feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, 2, 0, 1, false, false)}, state: registry.Ready}
	if wait := w.waitAt(l); wait != 0 {
		t.Fatalf("predicted wait %s at an idle engine", wait)
	}
	l.oldestWait = time.Second
	if wait := w.waitAt(l); wait < time.Second {
		t.Fatalf("predicted wait %s although a request has waited for a second", wait)
	}
}

// Guards against idle engines while no control node is available. Load reports then come only
// with reservation answers, and an engine that was full in such an answer counted as full for
// reportTTL (2.5 s), although its next slot is free within 0.1 s. In a run with more callers than
// slots, 975 streams ended in 16 s where 1,420 fit.
func TestFullEngineIsAvailableAtNextFreeSlot(t *testing.T) {
	e := serviceconfig.NewEngine(16, []string{"menu"}, 1, 96, 24576, 9*time.Millisecond, 0, 20000, 979, 92, 0, 5)
	w := requirements{engine: e, maxWait: 200 * time.Millisecond}
	b := newBackend(registry.NewRegistration("e-1", "menu", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, 1, 0))
	b.recordCurrentLoad(feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, 16, 4, 1, false, false))
	now := time.Now()
	if !w.exceedsWait(b.load(now)) {
		t.Fatal("an engine with four queued requests has a free slot")
	}
	later := b.load(now.Add(5 * e.SlotInterval()))
	if !later.fresh || w.exceedsWait(later) {
		t.Fatalf("still full %s after its load report: predicted wait %s", 5*e.SlotInterval(), w.waitAt(later))
	}
}

// Each version expires one period after the next version was named.
func TestVersionExpiryTimes(t *testing.T) {
	table := feed.NewVersionTable()
	now := time.Now()
	table.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 5*time.Second)}, now)
	table.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 3, time.Second)}, now)
	if at := table.Next("menu", 1).NamedAt().Add(8 * time.Second); at.Sub(now).Round(time.Second) != 3*time.Second {
		t.Fatalf("version 1 expires in %s", at.Sub(now))
	}
	if at := table.Next("menu", 2).NamedAt().Add(8 * time.Second); at.Sub(now).Round(time.Second) != 7*time.Second {
		t.Fatalf("version 2 expires in %s", at.Sub(now))
	}
	if !table.Next("menu", 3).NamedAt().IsZero() {
		t.Fatal("the newest version expires")
	}
}
