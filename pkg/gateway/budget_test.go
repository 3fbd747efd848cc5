package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// A retry for which no slot was found is not spent; other requests may use it.
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
		t.Error("one refund is not one retry")
	}
}

// fullWindowBudget is the budget of a gateway that has run for a whole window.
func fullWindowBudget(ratioPercent int, reserve float64, window time.Duration) *retryBudget {
	b := newRetryBudget(ratioPercent, reserve, window)
	b.started = b.started.Add(-window)
	return b
}

// Requests whose callers have received nothing leave a part of the budget to started streams.
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
		t.Errorf("%d retries for unstarted requests and %d for started streams", first, streams)
	}
}

// An attempt that never reached its server is not counted, so the next one costs no retry. A
// retry that was never taken must not be refunded.
func TestUndeliveredAttemptCostsNoRetry(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.budget = fullWindowBudget(0, 1.5*float64(f.gateway.countGateways()), time.Hour)
	service, _ := f.gateway.index.Load().Service("menu")
	hasRetry := func() bool {
		if !f.gateway.budget.takeRetry("menu", f.gateway.countGateways()) {
			return false
		}
		f.gateway.budget.refund("menu")
		return true
	}
	for name, taken := range map[string]bool{"with a retry taken": true, "without": false} {
		q := &request{ctx: t.Context(), service: service, sent: 1, headWritten: true}
		if taken && !f.gateway.ensureRetry(q) {
			t.Fatal("no retry is left")
		}
		f.gateway.uncountAttempt(q)
		if !hasRetry() {
			t.Errorf("%s: the budget has no retry left", name)
		}
		if !f.gateway.ensureRetry(q) || !hasRetry() {
			t.Errorf("%s: the next attempt took a retry", name)
		}
		f.gateway.returnRetry(q)
		if f.gateway.budget.takeRetry("menu", f.gateway.countGateways()); hasRetry() {
			t.Errorf("%s: a retry was refunded that was not taken", name)
		}
		f.gateway.budget.refund("menu")
	}
}
