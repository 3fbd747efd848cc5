// ================================================================
// The waits for first events at one backend server, as seen from here. They are
// known without delay, and tell of what no reported load shows: a narrow link,
// a queue that other gateways filled, an engine that has stopped.
// ================================================================

package gateway

import "time"

// slowestWaitTTL is how long the slowest wait counts.
const slowestWaitTTL = 2 * time.Second

// waitingRequest is one request that waits for its first event.
type waitingRequest struct {
	since time.Time
	// cancel ends the attempt so that the request can go elsewhere; nil where
	// it may not run again.
	cancel func()
}

// waitingRequests are those of one backend server, oldest first. The owner locks.
type waitingRequests struct {
	pending        []*waitingRequest
	slowestEnded   time.Duration // the longest wait that ended of late
	slowestEndedAt time.Time
}

// add notes a request that begins to wait.
func (w *waitingRequests) add(now time.Time, takeBack func()) *waitingRequest {
	one := &waitingRequest{now, takeBack}
	w.pending = append(w.pending, one)
	return one
}

// remove notes that a request does not wait any more, and how long it took when
// it was answered. A second call changes nothing.
func (w *waitingRequests) remove(one *waitingRequest, now time.Time, answered bool) {
	for i, other := range w.pending {
		if other != one {
			continue
		}
		w.pending = append(w.pending[:i], w.pending[i+1:]...)
		if took := now.Sub(one.since); answered && (took >= w.slowestEnded || now.Sub(w.slowestEndedAt) > slowestWaitTTL) {
			w.slowestEnded, w.slowestEndedAt = took, now
		}
		return
	}
}

// oldestWait returns for how long the first of those that wait has waited.
func (w *waitingRequests) oldestWait(now time.Time) time.Duration {
	if len(w.pending) == 0 {
		return 0
	}
	return now.Sub(w.pending[0].since)
}

// slowestWait returns the longest wait that ended within slowestLife.
func (w *waitingRequests) slowestWait(now time.Time) time.Duration {
	if now.Sub(w.slowestEndedAt) > slowestWaitTTL {
		return 0
	}
	return w.slowestEnded
}
