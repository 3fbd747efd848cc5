// ================================================================
// Retry loans: a gateway whose retry budget is used up borrows a retry from the
// budget of another gateway.
// ================================================================

package contract

// RetryLoanRequest asks another gateway for one retry from its budget.
//
//wire:generate
type RetryLoanRequest struct {
	// service is the service whose request is retried.
	service string
}

// RetryLoanResponse is the response to a RetryLoanRequest.
//
//wire:generate
type RetryLoanResponse struct {
	// granted is true if the retry may be sent; it counts against the lender's budget.
	granted bool
}
