// ================================================================
// The retry budget: retries are paid for by requests. When everything fails,
// retries stay a fixed part of the traffic and cannot become most of it.
// ================================================================

package route

import "sync"

// maxBalance is how many retries may be saved up.
const maxBalance = 10

// Budget allows a number of retries for every hundred requests; safe for use
// by several goroutines.
type Budget struct {
	mu         sync.Mutex
	balance    float64
	perRequest float64
}

// NewBudget returns a budget of retries for each hundred requests, with a full
// reserve.
func NewBudget(perHundred int) *Budget {
	return &Budget{balance: maxBalance, perRequest: float64(perHundred) / 100}
}

// RecordRequest notes a first attempt.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.perRequest, maxBalance)
}

// TryRetry takes one retry out, or returns false.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
