package gateway

import (
	"testing"
	"time"
)

// A repeat for which no place was found is not spent: others may have it.
func TestRepeatThatWasNotSentIsPutBack(t *testing.T) {
	b := newBudget(0, 4, time.Hour)
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
