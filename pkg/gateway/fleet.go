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

// fleet is the highest count of the gateways heard of late.
type fleet struct {
	mu   sync.Mutex
	most int
	at   time.Time
}

// count takes the count heard last and returns the one that goes for a time.
func (f *fleet) count(heard int, now time.Time, within time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if heard >= f.most || now.Sub(f.at) > within {
		f.most, f.at = heard, now
	}
	return f.most
}
