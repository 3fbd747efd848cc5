// ================================================================
// Tracks the number of gateways as control nodes report it. A node that has just started
// reports too few, and gateways that used its number would each spend the retry budget of all. So
// the number falls only after no higher one was reported for the whole window of the retry budget.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

// gatewayCounter holds the highest recently reported number of gateways. It is safe for
// concurrent use.
type gatewayCounter struct {
	mu         sync.Mutex
	highest    int
	reportedAt time.Time
}

// update applies the last reported number and returns the one in force.
func (c *gatewayCounter) update(reported int, now time.Time, window time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reported >= c.highest || now.Sub(c.reportedAt) > window {
		c.highest, c.reportedAt = reported, now
	}
	return c.highest
}
