// ================================================================
// Seen: streams that an order for weights cut just after their gateway had started ended
// midway: `attempt cut: the stream broke off: unexpected EOF`, then `the budget of repeats is
// used up`, while the fleet had spent a tenth of what is allowed. How: gateways were stopped
// in order one after the other, so most of them were young at any moment. Cause: one that has
// just started takes it that the one before it had spent its whole share. It can know: that
// one ended in order, and control nodes keep its last word. Proved by the soak's lines, and by
// these histories, in which the bound holds as it did.
// ================================================================

package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// replaceGateway has a gateway end in order and another one start in its place after a time.
func (f *budgetFleet) replaceGateway(i int, after time.Duration) {
	told := f.gateways[i].usage(fleetSize)
	f.restart(i)
	if after >= 0 {
		f.gateways[i].inherit(feed.NewRetryUsage(told.Gateways(), told.Slot(), after, told.Services()))
	}
}

func TestBudgetHoldsAcrossHandovers(t *testing.T) {
	const steps = 400
	always := func(int) bool { return true }
	for _, c := range []struct {
		name    string
		every   int // steps between two restarts of one gateway after the other
		all     bool
		repeats func(step int) bool
	}{
		{"a roll while repeats are spent", 10, false, always},
		{"a quick roll", 3, false, always},
		{"all at once, again and again", 25, true, always},
		{"all at once, right after bursts", 50, true, func(step int) bool { return step%50 > 46 }},
		{"a roll, bursts a window apart", 7, false, func(step int) bool { return step%100 == 9 }},
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
				f.step(step, 3, c.repeats(step))
			}
			f.check(t, steps)
		})
	}
}

// A gateway that follows one which had spent nothing has its whole share at once.
func TestSuccessorHasItsShareAtOnce(t *testing.T) {
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
		t.Errorf("%d repeats just after a start, %d are its share of the reserve", got, want)
	}
	f.restart(1)
	alone := 0
	for f.gateways[1].takeRetry("menu", fleetSize) {
		alone++
	}
	if alone >= want {
		t.Errorf("%d repeats for one of which nothing is known", alone)
	}
}

// What was spent counts for a window, whatever the ages of the two gateways' slots, and is
// counted once.
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
			t.Fatal("no repeat")
		}
		now = now.Add(shift / 2)
		after := newRetryBudget(0, 40, fleetWindow)
		after.now, after.started = at, now
		told := before.usage(1)
		if !after.inherit(told) || after.inherit(told) {
			t.Fatal("counted not once")
		}
		full := int(budgetSafetyFactor * 40)
		for now.Sub(spentAt) < fleetWindow {
			counted := 0
			for _, n := range after.usage(1).Services()[0].Retries() {
				counted += n
			}
			if counted != 1 {
				t.Fatalf("%d counted %s after it was spent, shift %s", counted, now.Sub(spentAt), shift)
			}
			now = now.Add(slot / 5)
		}
		now = spentAt.Add(fleetWindow + 2*slot)
		for range full {
			if !after.takeRetry("menu", 1) {
				t.Fatal("it still counts two slots after the window")
			}
		}
	}
}

// Counts by other slots can't be compared.
func TestUsageOfOtherWindowIsRejected(t *testing.T) {
	told := newRetryBudget(10, 40, fleetWindow).usage(1)
	if newRetryBudget(10, 40, 2*fleetWindow).inherit(told) {
		t.Error("counts of other slots were taken")
	}
}

// A word of long ago is not followed: another gateway may have been there since.
func TestStaleUsageIsRejected(t *testing.T) {
	told := newRetryBudget(10, 40, fleetWindow).usage(1)
	old := feed.NewRetryUsage(told.Gateways(), told.Slot(), maxHandoverGap+time.Second, told.Services())
	if newRetryBudget(10, 40, fleetWindow).inherit(old) {
		t.Error("a word of long before the start was taken")
	}
	late := newRetryBudget(10, 40, fleetWindow)
	late.started = late.started.Add(-3 * time.Second)
	if !late.inherit(old) {
		t.Error("a word that came late was not taken")
	}
}
