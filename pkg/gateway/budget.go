// ================================================================
// The retry budget: the attempts beyond the first of each request stay below a share of the
// requests of the service, over all gateways together.
//
// Each gateway stays below the share for its own requests, so the sum stays below it too. A service
// with few requests may use a reserve, which is divided by the number of gateways that the control
// nodes count.
//
// A gateway that starts may replace one that has just spent its whole share, which still counts
// for one window. For that time it uses what budgetSafetyFactor leaves: that part of the share
// for requests, and a part of the reserve that grows with its age, so that several starts in a
// row stay within the bound together. A gateway that replaces one after a clean shutdown gets its
// usage and continues from there (budget_handover.go).
//
// Retries are allowed in the first window too: without them streams that break just after a start
// would be lost.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets that divide the window; counts expire one bucket
	// at a time. Retries count for one bucket longer, so never for less than a window, and
	// requests never for more.
	bucketsPerWindow = 10
	budgetBuckets    = bucketsPerWindow + 1
	// budgetSafetyFactor keeps the sum below the bound although windows slide and the number of
	// gateways is known late.
	budgetSafetyFactor = 0.75
	// minReserveAge is the least age, as a share of the window, that counts for the reserve.
	// Without it there is no retry at all just after a start.
	minReserveAge = 0.25
	// unstartedRetryShare is the share of the budget for requests whose callers have received
	// nothing; if refused, they can try again. The rest is for started streams, which would end
	// without a retry.
	unstartedRetryShare = 0.75
)

// serviceUsage holds the counts of one service in the window, by bucket.
type serviceUsage struct {
	requests, retries [budgetBuckets]int
}

// retryBudget counts requests and retries by service. It is safe for concurrent use.
type retryBudget struct {
	ratio          float64
	reserve        float64
	bucketDuration time.Duration
	now            func() time.Time
	started        time.Time

	mu            sync.Mutex
	services      map[string]*serviceUsage
	currentBucket int64
	// inherited is set once the usage of the replaced gateway is counted here. closed is set once
	// the usage of this gateway was reported for its successor.
	inherited, closed bool
}

func newRetryBudget(ratioPercent int, reserve float64, window time.Duration) *retryBudget {
	return &retryBudget{
		ratio: float64(ratioPercent) / 100, reserve: reserve, bucketDuration: window / bucketsPerWindow,
		now: time.Now, started: time.Now(), services: map[string]*serviceUsage{},
	}
}

func (b *retryBudget) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.usageOf(service).requests[b.currentBucket%budgetBuckets]++
}

// takeRetry takes a retry from the budget; it returns false if none is left. The reserve is
// divided by gateways.
func (b *retryBudget) takeRetry(service string, gateways int) bool {
	return b.takeRetryWithin(service, gateways, 1)
}

// takeRetryWithin is takeRetry limited to a share of the budget.
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

// hasRetry reports whether one more retry stays within a share of the budget. The caller holds
// b.mu.
func (b *retryBudget) hasRetry(s *serviceUsage, gateways int, share float64) bool {
	requests, retries := 0, 0
	oldest := (b.currentBucket + 1) % budgetBuckets
	for i := range int64(budgetBuckets) {
		retries += s.retries[i]
		if i != oldest {
			requests += s.requests[i]
		}
	}
	return !b.closed && float64(retries+1) <= share*b.allowedRetries(requests, gateways)
}

// allowedRetries is how many retries the requests of a window allow.
func (b *retryBudget) allowedRetries(requests, gateways int) float64 {
	forRequests := b.ratio * float64(requests)
	share := b.reserve / float64(max(gateways, 1))
	age := float64(b.now().Sub(b.started)) / float64(bucketsPerWindow*b.bucketDuration)
	if age < 1 && !b.inherited {
		return (1 - budgetSafetyFactor) * (forRequests + max(age, minReserveAge)*share)
	}
	return budgetSafetyFactor * (forRequests + share)
}

// uncountAttempt excludes an attempt that never reached its backend server from the budget, so
// the next attempt is no retry. It is for connections found silent on which no byte was
// acknowledged, while dials to the same server succeeded: the server would have acknowledged what it
// received.
func (g *Gateway) uncountAttempt(q *request) {
	if q.retryTaken.Swap(true) && !q.uncharged {
		g.budget.refund(q.service.Name())
	}
	q.uncharged = true
	g.metrics.uncounted.Inc()
}

// returnRetry puts back a retry that was taken for an attempt that is not made.
func (g *Gateway) returnRetry(q *request) {
	if q.retryTaken.Swap(false) && !q.uncharged {
		g.budget.refund(q.service.Name())
	}
}

// refund puts back a retry that was taken but not sent. One that was taken in an earlier bucket
// stays spent.
func (b *retryBudget) refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	retries := &b.usageOf(service).retries[b.currentBucket%budgetBuckets]
	*retries = max(*retries-1, 0)
}

func (b *retryBudget) usageOf(service string) *serviceUsage {
	s := b.services[service]
	if s == nil {
		s = &serviceUsage{}
		b.services[service] = s
	}
	return s
}

// advance clears the buckets that have expired.
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
