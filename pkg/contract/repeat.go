// ================================================================
// What gateways tell each other of the repeats that they may send.
// ================================================================

package contract

// RepeatAsk asks another gateway for one repeat out of its budget.
//
//wire:generate
type RepeatAsk struct {
	// service is whose requests are repeated.
	service string
}

// RepeatAnswer says whether the repeat may be sent: it counts at the lender.
//
//wire:generate
type RepeatAnswer struct {
	// lent says that it may.
	lent bool
}
