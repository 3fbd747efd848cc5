// ================================================================
// Detection of callers that were refused before and try again. Each attempt has its own request
// id and goes to another gateway, so only the caller's remaining time shows it: part of it is
// used up.
//
// The gateway learns how much time callers have on their first attempt while it refuses no request.
// Example: if first attempts have 5.1 to 6 s, a caller with 4.4 s during refusals is a returning
// one.
//
// A returning caller is late already. If slots are scarce, serving it takes a slot from a caller
// that could still be answered in time, and as many are refused for good either way. So it gets
// only the slots that first attempts leave.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

const (
	// calmPeriod is how long this gateway must have refused no request before it learns callers'
	// times as those of first attempts. Refused callers return within it.
	calmPeriod = 3 * time.Second
	// maxTimeSamples of first attempts are kept for each route; below minTimeSamples no caller
	// counts as returning.
	maxTimeSamples = 128
	minTimeSamples = 24
	// returningShare is the share of callers that may be returning, for instance after a failure,
	// although this gateway refuses no request.
	returningShare = 0.03
)

// returningCallers learns the times that callers have left on first attempts. The zero value is
// ready to use; it is safe for concurrent use.
type returningCallers struct {
	mu            sync.Mutex
	lastRefusalAt time.Time
	// routes holds the times that callers had left on first attempts, by the timeout of the route. All but
	// returningShare of them are higher than the quantile.
	routes map[time.Duration]*recentQuantile[time.Duration]
}

// recordRefusal records that a caller was refused and may return.
func (r *returningCallers) recordRefusal(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRefusalAt = now
}

// isReturning reports whether a caller with timeLeft on a route with this timeout is a returning
// one. During a calm period it learns timeLeft instead and returns false.
func (r *returningCallers) isReturning(timeout, timeLeft time.Duration, now time.Time) bool {
	if timeLeft <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.routes[timeout]
	if now.Sub(r.lastRefusalAt) > calmPeriod {
		if f == nil {
			f = newRecentQuantile[time.Duration](returningShare, maxTimeSamples)
			if r.routes == nil {
				r.routes = map[time.Duration]*recentQuantile[time.Duration]{}
			}
			r.routes[timeout] = f
		}
		f.add(timeLeft)
		return false
	}
	return f != nil && f.count() >= minTimeSamples && timeLeft < f.value()
}
