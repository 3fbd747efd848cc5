// ================================================================
// What gateways tell each other of the repeats that they may send.
// ================================================================

package contract

// RetryLoanRequest asks another gateway for one repeat out of its budget.
//
//wire:generate
type RetryLoanRequest struct {
	// service is whose requests are repeated.
	service string
}

// RetryLoanResponse says whether the repeat may be sent: it counts at the lender.
//
//wire:generate
type RetryLoanResponse struct {
	// granted says that it may.
	granted bool
}
