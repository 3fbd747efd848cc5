// ================================================================
// Handover of the retry budget. A gateway that starts continues the budget of the gateway that it
// replaces, if that shut down cleanly: it counts the previous gateway's usage as its own until that
// expires. The buckets of the two don't begin at the same moments, so retries are counted up to one
// bucket later than they were made, and requests up to one bucket earlier.
// ================================================================

package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/feed"
)

// maxHandoverGap is how long before the start of this gateway the replaced one may have ended.
// In a longer gap another gateway may have started there and been killed without a report.
const maxHandoverGap = 5 * time.Second

// usage returns the counts of this gateway, the latest bucket first.
func (b *retryBudget) usage(gateways int) feed.RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	var all []feed.ServiceRetryUsage
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		s := b.services[name]
		requests, retries := make([]int, budgetBuckets), make([]int, budgetBuckets)
		for age := range int64(budgetBuckets) {
			i := (b.currentBucket - age + budgetBuckets) % budgetBuckets
			requests[age], retries[age] = s.requests[i], s.retries[i]
		}
		all = append(all, feed.NewServiceRetryUsage(name, requests, retries))
	}
	return feed.NewRetryUsage(gateways, b.bucketDuration, 0, all)
}

// inherit adds the usage of the replaced gateway. It returns false if its buckets have another
// duration, if usage was inherited already, or if that gateway stopped too long before this one
// started.
func (b *retryBudget) inherit(previous feed.RetryUsage) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	gap := previous.Age() - b.now().Sub(b.started)
	if b.inherited || previous.Slot() != b.bucketDuration || gap > maxHandoverGap {
		return false
	}
	b.advance()
	b.inherited = true
	elapsed := int(previous.Age() / b.bucketDuration)
	for _, service := range previous.Services() {
		s := b.usageOf(service.Service())
		for age, n := range service.Retries() {
			b.addCount(&s.retries, max(elapsed+age-1, 0), n)
		}
		for age, n := range service.Requests() {
			b.addCount(&s.requests, elapsed+age+1, n)
		}
	}
	return true
}

// addCount adds a count to the bucket that is age buckets old, unless it has expired. The caller
// holds b.mu.
func (b *retryBudget) addCount(counts *[budgetBuckets]int, age, count int) {
	if age < budgetBuckets {
		counts[(b.currentBucket-int64(age)+budgetBuckets)%budgetBuckets] += count
	}
}

// inheritBudget takes over the usage of the gateway that shut down cleanly before this one.
func (g *Gateway) inheritBudget(previous *feed.RetryUsage) {
	if previous == nil || !g.budget.inherit(*previous) {
		return
	}
	// The previous gateway's number of gateways is used until a higher one is received.
	g.gatewayCount.update(previous.Gateways(), time.Now(), g.settings.RetryWindow())
	_ = level.Info(g.process.Logger).Log("msg", "inherited the retry budget of the previous gateway", "ended_ms", previous.Age().Milliseconds(), "gateways", previous.Gateways())
}

// stop closes the budget: no retry is taken or lent any more.
func (b *retryBudget) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// reportRetryUsage reports the usage of this gateway to control nodes once it sends nothing more.
func (g *Gateway) reportRetryUsage() {
	g.budget.stop()
	g.follower.ReportRetryUsage(g.budget.usage(g.countGateways()))
}
