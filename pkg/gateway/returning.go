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
	// calmAfter is for how long nobody may have been refused here for the times that
	// callers bring to be those of first tries: refused callers are back within it.
	calmAfter = 3 * time.Second
	// rememberedTimes of first tries are kept for each route, and leastTimes have
	// to be known before anybody is taken to have come back.
	rememberedTimes = 128
	leastTimes      = 24
	// retriedShare of the callers may have come back also while nobody is refused
	// here, for instance after a failure.
	retriedShare = 0.03
)

// returning knows the times that callers bring. The zero value knows none; it is
// safe for concurrent use.
type returning struct {
	mu        sync.Mutex
	refusedAt time.Time
	routes    map[time.Duration]*firstTimes // by the time that the route allows
}

// firstTimes are the times that callers of one route brought at first tries.
type firstTimes struct {
	ring  []time.Duration
	next  int
	least time.Duration // all but retriedShare brought more
}

// refused notes that a caller was refused: it may come back.
func (r *returning) refused(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt = now
}

// cameBack tells whether a caller that brings some time, on a route that allows
// some, has come back, and learns from it.
func (r *returning) cameBack(allowed, brings time.Duration, now time.Time) bool {
	if brings <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.routes[allowed]
	if now.Sub(r.refusedAt) > calmAfter {
		if f == nil {
			f = &firstTimes{}
			if r.routes == nil {
				r.routes = map[time.Duration]*firstTimes{}
			}
			r.routes[allowed] = f
		}
		f.add(brings)
		return false
	}
	return f != nil && len(f.ring) >= leastTimes && brings < f.least
}

// add notes a time, in place of the oldest.
func (f *firstTimes) add(brings time.Duration) {
	if len(f.ring) < rememberedTimes {
		f.ring = append(f.ring, brings)
	} else {
		f.ring[f.next] = brings
		f.next = (f.next + 1) % rememberedTimes
	}
	sorted := slices.Sorted(slices.Values(f.ring))
	f.least = sorted[int(retriedShare*float64(len(sorted)))]
}
