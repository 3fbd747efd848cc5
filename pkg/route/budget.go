// ================================================================
// Retry budget: every request allows a fraction of a retry. When everything fails, retries
// stay a fixed part of the traffic instead of multiplying it.
// ================================================================

package route

import "sync"

// maxBalance bounds the retries that accumulate.
const maxBalance = 10

// Budget allows a number of retries per hundred requests. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	balance    float64 // retries available now
	perRequest float64 // retries added per request
}

// NewBudget returns a budget of perHundred retries per hundred requests, with a balance of
// maxBalance.
func NewBudget(perHundred int) *Budget {
	return &Budget{balance: maxBalance, perRequest: float64(perHundred) / 100}
}

// RecordRequest adds the retries allowed by one first attempt.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.perRequest, maxBalance)
}

// TryRetry takes one retry from the budget, and reports whether there was one.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
