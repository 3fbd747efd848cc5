// ================================================================
// These tests guard against streams that end with "the budget of repeats is used up" just after a
// rolling restart, while the fleet has spent a tenth of its budget. If a new gateway assumes that
// its predecessor spent its whole share, most gateways have too little during the restart. A
// gateway that shuts down cleanly reports its usage, and its successor continues from there; the
// bound must hold as before.
// ================================================================

package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// replaceGateway shuts one gateway down cleanly and starts its successor after a time. If that time
// is negative, the successor inherits nothing.
func (f *budgetFleet) replaceGateway(i int, after time.Duration) {
	usage := f.gateways[i].usage(fleetSize)
	f.restart(i)
	if after >= 0 {
		f.gateways[i].inherit(feed.NewRetryUsage(usage.Gateways(), usage.Slot(), after, usage.Services()))
	}
}

func TestBudgetHoldsAcrossHandovers(t *testing.T) {
	const steps = 400
	always := func(int) bool { return true }
	for _, c := range []struct {
		name    string
		every   int // steps between two restarts
		all     bool
		retries func(step int) bool
	}{
		{"rolling restart while retries are spent", 10, false, always},
		{"fast rolling restart", 3, false, always},
		{"all at once, repeatedly", 25, true, always},
		{"all at once, right after bursts", 50, true, func(step int) bool { return step%50 > 46 }},
		{"rolling restart, bursts a window apart", 7, false, func(step int) bool { return step%100 == 9 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newBudgetFleet()
			for step := range steps {
				if step%c.every == c.every-1 {
					for i := range f.gateways {
						if c.all || i == step/c.every%fleetSize {
							f.replaceGateway(i, 0)
						}
					}
				}
				f.step(step, 3, c.retries(step))
			}
			f.check(t, steps)
		})
	}
}

// The successor of a gateway that spent nothing has its whole share immediately.
func TestSuccessorHasItsShareImmediately(t *testing.T) {
	f := newBudgetFleet()
	for step := range 150 {
		f.step(step, 3, false)
	}
	f.replaceGateway(0, 300*time.Millisecond)
	got, want := 0, int(math.Floor(budgetSafetyFactor*fleetReserve/fleetSize))
	for f.gateways[0].takeRetry("menu", fleetSize) {
		got++
	}
	if got < want {
		t.Errorf("%d retries just after a start; its share of the reserve is %d", got, want)
	}
	f.restart(1)
	uninherited := 0
	for f.gateways[1].takeRetry("menu", fleetSize) {
		uninherited++
	}
	if uninherited >= want {
		t.Errorf("%d retries without inherited usage", uninherited)
	}
}

// Inherited usage counts for a window, whatever the offset between the buckets of the two
// gateways, and is counted only once.
func TestInheritedUsageCountsForOneWindow(t *testing.T) {
	const slot = fleetWindow / bucketsPerWindow
	for shift := time.Duration(0); shift < slot; shift += slot / 7 {
		now := time.Now()
		at := func() time.Time { return now }
		before := newRetryBudget(0, 40, fleetWindow)
		before.now, before.started = at, now.Add(-2*fleetWindow)
		now = now.Add(shift)
		spentAt := now
		if !before.takeRetry("menu", 1) {
			t.Fatal("no retry is left")
		}
		now = now.Add(shift / 2)
		after := newRetryBudget(0, 40, fleetWindow)
		after.now, after.started = at, now
		usage := before.usage(1)
		if !after.inherit(usage) || after.inherit(usage) {
			t.Fatal("usage was not counted exactly once")
		}
		full := int(budgetSafetyFactor * 40)
		for now.Sub(spentAt) < fleetWindow {
			counted := 0
			for _, n := range after.usage(1).Services()[0].Retries() {
				counted += n
			}
			if counted != 1 {
				t.Fatalf("%d retries counted %s after one was spent, shift %s", counted, now.Sub(spentAt), shift)
			}
			now = now.Add(slot / 5)
		}
		now = spentAt.Add(fleetWindow + 2*slot)
		for range full {
			if !after.takeRetry("menu", 1) {
				t.Fatal("the retry still counts two buckets after the window")
			}
		}
	}
}

// Counts in buckets of another duration can't be compared.
func TestUsageOfOtherWindowIsRejected(t *testing.T) {
	usage := newRetryBudget(10, 40, fleetWindow).usage(1)
	if newRetryBudget(10, 40, 2*fleetWindow).inherit(usage) {
		t.Error("usage with another bucket duration was inherited")
	}
}

// Old usage is not inherited: another gateway may have run in between.
func TestStaleUsageIsRejected(t *testing.T) {
	usage := newRetryBudget(10, 40, fleetWindow).usage(1)
	old := feed.NewRetryUsage(usage.Gateways(), usage.Slot(), maxHandoverGap+time.Second, usage.Services())
	if newRetryBudget(10, 40, fleetWindow).inherit(old) {
		t.Error("usage from long before the start was inherited")
	}
	late := newRetryBudget(10, 40, fleetWindow)
	late.started = late.started.Add(-3 * time.Second)
	if !late.inherit(old) {
		t.Error("usage that arrived late was not inherited")
	}
}
