// ================================================================
// How many gateways there are, as control nodes count them. A node that has just started
// counts few: gateways that took its word would each spend the repeats of all. So a count
// falls only when no higher one was heard for as long as repeats are counted.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

// gatewayCounter is the highest count of the gateways heard of late.
type gatewayCounter struct {
	mu      sync.Mutex
	highest int
	heardAt time.Time
}

// update takes the count heard last and returns the one that goes for a time.
func (f *gatewayCounter) update(heard int, now time.Time, window time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if heard >= f.highest || now.Sub(f.heardAt) > window {
		f.highest, f.heardAt = heard, now
	}
	return f.highest
}
