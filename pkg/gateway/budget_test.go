package gateway

import (
	"testing"
	"time"
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
