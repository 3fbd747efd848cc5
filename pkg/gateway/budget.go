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
	// bucketsPerWindow divide the window; a count is dropped a slot at a time. Repeats count
	// for one slot more, and so never for less than a window, and requests for no more.
	bucketsPerWindow = 10
	budgetBuckets    = bucketsPerWindow + 1
	// budgetSafetyFactor keeps the sum below the bound although windows slide and the number of
	// gateways is known late.
	budgetSafetyFactor = 0.75
	// minReserveAge is the least age, as a share of the window, that counts for the reserve:
	// without it there is no repeat at all just after a start.
	minReserveAge = 0.25
	// unstartedRetryShare is the share of the budget that requests may use of which their callers
	// have nothing yet: refused, they come back. The rest is for streams under way, which
	// would end without it.
	unstartedRetryShare = 0.75
)

// serviceUsage is what one service got in the window.
type serviceUsage struct {
	requests, retries [budgetBuckets]int
}

// retryBudget counts requests and repeats by service.
type retryBudget struct {
	ratio          float64
	reserve        float64
	bucketDuration time.Duration
	now            func() time.Time
	started        time.Time

	mu            sync.Mutex
	services      map[string]*serviceUsage
	currentBucket int64
	// inherited says that what the gateway before this one had spent is counted here, and over
	// that what was spent here has been told for good.
	inherited, closed bool
}

func newRetryBudget(ratioPercent int, reserve float64, window time.Duration) *retryBudget {
	return &retryBudget{
		ratio: float64(ratioPercent) / 100, reserve: reserve, bucketDuration: window / bucketsPerWindow,
		now: time.Now, started: time.Now(), services: map[string]*serviceUsage{},
	}
}

// countRequest counts a request for a service.
func (b *retryBudget) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.usageOf(service).requests[b.currentBucket%budgetBuckets]++
}

// takeRetry takes a repeat out of the budget; false when there is none left.
// gateways is how many share the reserve.
func (b *retryBudget) takeRetry(service string, gateways int) bool {
	return b.takeRetryWithin(service, gateways, 1)
}

// takeRetryWithin is repeat where only a share of the budget may be used.
func (b *retryBudget) takeRetryWithin(service string, gateways int, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	s := b.usageOf(service)
	if !b.hasRetry(s, gateways, share) {
		return false
	}
	s.retries[b.currentBucket%budgetBuckets]++
	return true
}

// hasRetry tells whether one more repeat stays within a share of what is allowed, for
// whoever holds the lock.
func (b *retryBudget) hasRetry(s *serviceUsage, gateways int, share float64) bool {
	requests, repeats := 0, 0
	oldest := (b.currentBucket + 1) % budgetBuckets
	for i := range int64(budgetBuckets) {
		repeats += s.retries[i]
		if i != oldest {
			requests += s.requests[i]
		}
	}
	return !b.closed && float64(repeats+1) <= share*b.allowedRetries(requests, gateways)
}

// allowedRetries is how many repeats so many requests of a window allow.
func (b *retryBudget) allowedRetries(requests, gateways int) float64 {
	forRequests := b.ratio * float64(requests)
	share := b.reserve / float64(max(gateways, 1))
	age := float64(b.now().Sub(b.started)) / float64(bucketsPerWindow*b.bucketDuration)
	if age < 1 && !b.inherited {
		return (1 - budgetSafetyFactor) * (forRequests + max(age, minReserveAge)*share)
	}
	return budgetSafetyFactor * (forRequests + share)
}

// uncountAttempt has an attempt that never came to its backend server count for nothing: the one after it
// is no repeat of it. It is for connections found silent while dials to the same server were answered,
// which would have brought an acknowledgement.
func (g *Gateway) uncountAttempt(q *request) {
	if q.retryTaken.Swap(true) && !q.borrowed {
		g.budget.refund(q.service.Name())
	}
	q.borrowed = true
	g.metrics.uncounted.Inc()
}

// returnRetry puts back a repeat that was taken for an attempt that does not come.
func (g *Gateway) returnRetry(q *request) {
	if q.retryTaken.Swap(false) && !q.borrowed {
		g.budget.refund(q.service.Name())
	}
}

// refund puts back a repeat that was taken and not sent. One that was taken in a part of
// the window that is over stays taken.
func (b *retryBudget) refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	repeats := &b.usageOf(service).retries[b.currentBucket%budgetBuckets]
	*repeats = max(*repeats-1, 0)
}

func (b *retryBudget) usageOf(service string) *serviceUsage {
	s := b.services[service]
	if s == nil {
		s = &serviceUsage{}
		b.services[service] = s
	}
	return s
}

// advance empties the slots that time has gone past.
func (b *retryBudget) advance() {
	now := int64(b.now().Sub(b.started) / b.bucketDuration)
	for steps := 0; b.currentBucket < now && steps < budgetBuckets; steps++ {
		b.currentBucket++
		for _, s := range b.services {
			s.requests[b.currentBucket%budgetBuckets], s.retries[b.currentBucket%budgetBuckets] = 0, 0
		}
	}
	b.currentBucket = now
}
