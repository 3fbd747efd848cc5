package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// A repeat for which no place was found is not spent: others may have it.
func TestRepeatThatWasNotSentIsPutBack(t *testing.T) {
	b := settledBudget(0, 4, time.Hour)
	const service = "menu"
	taken := 0
	for b.repeat(service, 1) {
		taken++
	}
	if taken == 0 {
		t.Fatal("the budget is empty from the start")
	}
	b.unspent(service)
	if !b.repeat(service, 1) || b.repeat(service, 1) {
		t.Error("one repeat put back is not one repeat")
	}
}

// settledBudget is the budget of a gateway that has run for a window.
func settledBudget(ratioPercent int, reserve float64, window time.Duration) *budget {
	b := newBudget(ratioPercent, reserve, window)
	b.started = b.started.Add(-window)
	return b
}

// Requests of which their callers have nothing yet leave some of the budget to streams.
func TestStreamsUnderWayHaveTheLastRepeats(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.budget = settledBudget(0, 100*fewestGateways, 10*time.Second)
	service, _ := f.gateway.index.Load().Service("menu")
	ask := func(begun bool) (got int) {
		for q := (&request{service: service, ctx: t.Context(), begun: begun}); f.gateway.budget.repeatWithin("menu", f.gateway.gateways(), q.repeatShare()); {
			got++
		}
		return got
	}
	if first, streams := ask(false), ask(true); first == 0 || streams == 0 || ask(false) > 0 {
		t.Errorf("%d repeats for first events and %d for streams under way", first, streams)
	}
}
