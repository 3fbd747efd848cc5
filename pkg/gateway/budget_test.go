package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// A repeat for which no place was found is not spent: others may have it.
func TestUnsentRetryIsRefunded(t *testing.T) {
	b := fullWindowBudget(0, 4, time.Hour)
	const service = "menu"
	taken := 0
	for b.takeRetry(service, 1) {
		taken++
	}
	if taken == 0 {
		t.Fatal("the budget is empty from the start")
	}
	b.refund(service)
	if !b.takeRetry(service, 1) || b.takeRetry(service, 1) {
		t.Error("one repeat put back is not one repeat")
	}
}

// fullWindowBudget is the budget of a gateway that has run for a window.
func fullWindowBudget(ratioPercent int, reserve float64, window time.Duration) *retryBudget {
	b := newRetryBudget(ratioPercent, reserve, window)
	b.started = b.started.Add(-window)
	return b
}

// Requests of which their callers have nothing yet leave some of the budget to streams.
func TestStartedStreamsHaveReservedRetries(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.budget = fullWindowBudget(0, 100*assumedGateways, 10*time.Second)
	service, _ := f.gateway.index.Load().Service("menu")
	ask := func(begun bool) (got int) {
		for q := (&request{service: service, ctx: t.Context(), headWritten: begun}); f.gateway.budget.takeRetryWithin("menu", f.gateway.countGateways(), q.retryShare()); {
			got++
		}
		return got
	}
	if first, streams := ask(false), ask(true); first == 0 || streams == 0 || ask(false) > 0 {
		t.Errorf("%d repeats for first events and %d for streams under way", first, streams)
	}
}

// An attempt that never came to its server is no arrival, so the next one costs no repeat; nor is
// one put back that was never taken.
func TestUndeliveredAttemptCostsNoRetry(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.budget = fullWindowBudget(0, 1.5*float64(f.gateway.countGateways()), time.Hour)
	service, _ := f.gateway.index.Load().Service("menu")
	has := func() bool {
		if !f.gateway.budget.takeRetry("menu", f.gateway.countGateways()) {
			return false
		}
		f.gateway.budget.refund("menu")
		return true
	}
	for name, taken := range map[string]bool{"with a repeat in hand": true, "without": false} {
		q := &request{ctx: t.Context(), service: service, sent: 1, headWritten: true}
		if taken && !f.gateway.ensureRetry(q) {
			t.Fatal("there is no repeat")
		}
		f.gateway.uncountAttempt(q)
		if !has() {
			t.Errorf("%s: the budget's repeat is gone", name)
		}
		if !f.gateway.ensureRetry(q) || !has() {
			t.Errorf("%s: the next attempt took one", name)
		}
		f.gateway.returnRetry(q)
		if f.gateway.budget.takeRetry("menu", f.gateway.countGateways()); has() {
			t.Errorf("%s: a repeat was put back that was not taken", name)
		}
		f.gateway.budget.refund("menu")
	}
}
