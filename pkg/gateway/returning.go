// ================================================================
// Which callers were refused before and have come back. Each try has an id of its
// own and goes to another gateway, so it shows only in the time that a caller
// brings: one that came back has used some of it.
//
// How much time callers bring at their first try is learned while nobody is
// refused here. Example: they bring 5.1 to 6 s; one that brings 4.4 s when requests
// are being refused has come back.
//
// A caller that came back is late already. Where places are short, it takes one
// from a caller that could still be answered in time, and as many are refused
// for good either way; so it is served from what first tries leave.
// ================================================================

package gateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// calmPeriod is for how long nobody may have been refused here for the times that
	// callers bring to be those of first tries: refused callers are back within it.
	calmPeriod = 3 * time.Second
	// maxTimeSamples of first tries are kept for each route, and leastTimes have
	// to be known before anybody is taken to have come back.
	maxTimeSamples = 128
	minTimeSamples = 24
	// returningShare of the callers may have come back also while nobody is refused
	// here, for instance after a failure.
	returningShare = 0.03
)

// returningCallers knows the times that callers bring. The zero value knows none; it is
// safe for concurrent use.
type returningCallers struct {
	mu            sync.Mutex
	lastRefusalAt time.Time
	routes        map[time.Duration]*firstAttemptTimes // by the time that the route allows
}

// firstAttemptTimes are the times that callers of one route brought at first tries.
type firstAttemptTimes struct {
	samples   []time.Duration
	next      int
	threshold time.Duration // all but retriedShare brought more
}

// recordRefusal notes that a caller was refused: it may come back.
func (r *returningCallers) recordRefusal(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRefusalAt = now
}

// isReturning tells whether a caller that brings some time, on a route that allows
// some, has come back, and learns from it.
func (r *returningCallers) isReturning(allowed, brings time.Duration, now time.Time) bool {
	if brings <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.routes[allowed]
	if now.Sub(r.lastRefusalAt) > calmPeriod {
		if f == nil {
			f = &firstAttemptTimes{}
			if r.routes == nil {
				r.routes = map[time.Duration]*firstAttemptTimes{}
			}
			r.routes[allowed] = f
		}
		f.add(brings)
		return false
	}
	return f != nil && len(f.samples) >= minTimeSamples && brings < f.threshold
}

// add notes a time, in place of the oldest.
func (f *firstAttemptTimes) add(brings time.Duration) {
	if len(f.samples) < maxTimeSamples {
		f.samples = append(f.samples, brings)
	} else {
		f.samples[f.next] = brings
		f.next = (f.next + 1) % maxTimeSamples
	}
	sorted := slices.Sorted(slices.Values(f.samples))
	f.threshold = sorted[int(returningShare*float64(len(sorted)))]
}
