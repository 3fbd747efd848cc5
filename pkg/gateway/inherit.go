// ================================================================
// A gateway that starts goes on with the budget of the one that ended in order before it: it
// counts what that one had spent as its own, until it counts no more. Slots of the two do not
// begin at the same moments, so repeats count as later than they were, by a slot at the most,
// and requests as earlier.
// ================================================================

package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/feed"
)

// maxHandoverGap is how long before this gateway started the one before it may have ended: in a
// longer time another one may have started there, and been killed without a word.
const maxHandoverGap = 5 * time.Second

// usage is what this gateway has spent, the last slot first.
func (b *retryBudget) usage(gateways int) feed.RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	var all []feed.ServiceRetryUsage
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		s := b.services[name]
		requests, repeats := make([]int, budgetBuckets), make([]int, budgetBuckets)
		for back := range int64(budgetBuckets) {
			i := (b.currentBucket - back + budgetBuckets) % budgetBuckets
			requests[back], repeats[back] = s.requests[i], s.retries[i]
		}
		all = append(all, feed.NewServiceRetryUsage(name, requests, repeats))
	}
	return feed.NewRetryUsage(gateways, b.bucketDuration, 0, all)
}

// inherit counts what the gateway before this one had spent; false where that can't be
// compared, is counted already, or is of one that ended long before.
func (b *retryBudget) inherit(spent feed.RetryUsage) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := spent.Age() - b.now().Sub(b.started)
	if b.inherited || spent.Slot() != b.bucketDuration || before > maxHandoverGap {
		return false
	}
	b.advance()
	b.inherited = true
	passed := int(spent.Age() / b.bucketDuration)
	for _, one := range spent.Services() {
		s := b.usageOf(one.Service())
		for back, n := range one.Retries() {
			b.addCount(&s.retries, max(passed+back-1, 0), n)
		}
		for back, n := range one.Requests() {
			b.addCount(&s.requests, passed+back+1, n)
		}
	}
	return true
}

// addCount adds a count so many slots back, unless that is longer than counts are kept, for
// whoever holds the lock.
func (b *retryBudget) addCount(counts *[budgetBuckets]int, back, count int) {
	if back < budgetBuckets {
		counts[(b.currentBucket-int64(back)+budgetBuckets)%budgetBuckets] += count
	}
}

// inheritBudget takes what the gateway that ended in order before this one had spent.
func (g *Gateway) inheritBudget(spent *feed.RetryUsage) {
	if spent == nil || !g.budget.inherit(*spent) {
		return
	}
	// The count of gateways that was known there goes until a higher one is heard.
	g.gatewayCount.update(spent.Gateways(), time.Now(), g.settings.RetryWindow())
	_ = level.Info(g.process.Logger).Log("msg", "goes on with the budget of repeats of the gateway before", "ended_ms", spent.Age().Milliseconds(), "gateways", spent.Gateways())
}

// stop has nothing spent or lent any more.
func (b *retryBudget) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// reportSpent tells control nodes what this gateway has spent, when it sends nothing more.
func (g *Gateway) reportSpent() {
	g.budget.stop()
	g.follower.ReportRetryUsage(g.budget.usage(g.countGateways()))
}
