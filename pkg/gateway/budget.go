// ================================================================
// The budget of repeats: what a service gets beyond the first sending of each
// request stays below a share of its requests, over all gateways together.
//
// The share is local: each gateway stays below it for its own requests, and so
// does the sum. The reserve that a quiet service may use is divided by the
// number of gateways that the control nodes count.
//
// A gateway that starts may follow one that has just spent its whole share, which counts
// for a window yet. For so long it spends what safety leaves: its part for requests, and of
// the reserve a part that grows with its age, so that several starts in a row sum up to no
// more. One that follows a gateway that ended in order is told what that one had spent, and
// goes on with it (inherit.go). Rejected: nothing for a window. Streams that break off just
// after a start would be lost.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

const (
	// slotsInWindow divide the window; a count is dropped a slot at a time. Repeats count
	// for one slot more, and so never for less than a window, and requests for no more.
	slotsInWindow = 10
	budgetSlots   = slotsInWindow + 1
	// safety keeps the sum below the bound although windows slide and the number of
	// gateways is known late.
	safety = 0.75
	// youngest is the least age, as a share of the window, that counts for the reserve:
	// without it there is no repeat at all just after a start.
	youngest = 0.25
	// notBegunShare is the share of the budget that requests may use of which their callers
	// have nothing yet: refused, they come back. The rest is for streams under way, which
	// would end without it.
	notBegunShare = 0.75
)

// spending is what one service got in the window.
type spending struct {
	requests, repeats [budgetSlots]int
}

// budget counts requests and repeats by service.
type budget struct {
	ratio   float64
	reserve float64
	slot    time.Duration
	now     func() time.Time
	started time.Time

	mu       sync.Mutex
	services map[string]*spending
	current  int64
	// inherits says that what the gateway before this one had spent is counted here, and over
	// that what was spent here has been told for good.
	inherits, over bool
}

func newBudget(ratioPercent int, reserve float64, window time.Duration) *budget {
	return &budget{
		ratio: float64(ratioPercent) / 100, reserve: reserve, slot: window / slotsInWindow,
		now: time.Now, started: time.Now(), services: map[string]*spending{},
	}
}

// request counts a request for a service.
func (b *budget) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.of(service).requests[b.current%budgetSlots]++
}

// repeat takes a repeat out of the budget; false when there is none left.
// gateways is how many share the reserve.
func (b *budget) repeat(service string, gateways int) bool {
	return b.repeatWithin(service, gateways, 1)
}

// repeatWithin is repeat where only a share of the budget may be used.
func (b *budget) repeatWithin(service string, gateways int, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	s := b.of(service)
	if !b.hasRepeat(s, gateways, share) {
		return false
	}
	s.repeats[b.current%budgetSlots]++
	return true
}

// hasRepeat tells whether one more repeat stays within a share of what is allowed, for
// whoever holds the lock.
func (b *budget) hasRepeat(s *spending, gateways int, share float64) bool {
	requests, repeats := 0, 0
	oldest := (b.current + 1) % budgetSlots
	for i := range int64(budgetSlots) {
		repeats += s.repeats[i]
		if i != oldest {
			requests += s.requests[i]
		}
	}
	return !b.over && float64(repeats+1) <= share*b.allowed(requests, gateways)
}

// allowed is how many repeats so many requests of a window allow.
func (b *budget) allowed(requests, gateways int) float64 {
	forRequests := b.ratio * float64(requests)
	share := b.reserve / float64(max(gateways, 1))
	age := float64(b.now().Sub(b.started)) / float64(slotsInWindow*b.slot)
	if age < 1 && !b.inherits {
		return (1 - safety) * (forRequests + max(age, youngest)*share)
	}
	return safety * (forRequests + share)
}

// uncount has an attempt that never came to its backend server count for nothing: the one after it
// is no repeat of it. It is for connections found silent while dials to the same server were answered,
// which would have brought an acknowledgement.
func (g *Gateway) uncount(q *request) {
	if q.retryTaken.Swap(true) && !q.borrowed {
		g.budget.unspent(q.service.Name())
	}
	q.borrowed = true
	g.metrics.uncounted.Inc()
}

// returnRepeat puts back a repeat that was taken for an attempt that does not come.
func (g *Gateway) returnRepeat(q *request) {
	if q.retryTaken.Swap(false) && !q.borrowed {
		g.budget.unspent(q.service.Name())
	}
}

// unspent puts back a repeat that was taken and not sent. One that was taken in a part of
// the window that is over stays taken.
func (b *budget) unspent(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	repeats := &b.of(service).repeats[b.current%budgetSlots]
	*repeats = max(*repeats-1, 0)
}

func (b *budget) of(service string) *spending {
	s := b.services[service]
	if s == nil {
		s = &spending{}
		b.services[service] = s
	}
	return s
}

// advance empties the slots that time has gone past.
func (b *budget) advance() {
	now := int64(b.now().Sub(b.started) / b.slot)
	for steps := 0; b.current < now && steps < budgetSlots; steps++ {
		b.current++
		for _, s := range b.services {
			s.requests[b.current%budgetSlots], s.repeats[b.current%budgetSlots] = 0, 0
		}
	}
	b.current = now
}
