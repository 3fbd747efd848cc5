// ================================================================
// The requests of this gateway that wait for their first event at one backend server. Their waits
// are known without delay and show what no load report does: a slow link, a queue that other
// gateways filled, an engine that has stopped.
// ================================================================

package gateway

import "time"

// slowestWaitTTL is how long the slowest finished wait is used.
const slowestWaitTTL = 2 * time.Second

// waitingRequest is one request that waits for its first event.
type waitingRequest struct {
	since time.Time
	// cancel ends the attempt so that the request can go elsewhere. It is nil if the request must
	// not run again.
	cancel func()
}

// waitingRequests are those of one backend server, oldest first. The owner's lock guards them.
type waitingRequests struct {
	pending        []*waitingRequest
	slowestEnded   time.Duration // the longest wait that ended recently
	slowestEndedAt time.Time
}

// add adds a request that begins to wait.
func (w *waitingRequests) add(now time.Time, cancel func()) *waitingRequest {
	added := &waitingRequest{now, cancel}
	w.pending = append(w.pending, added)
	return added
}

// remove removes a request that no longer waits and records how long it waited if it was
// answered. A second call has no effect.
func (w *waitingRequests) remove(r *waitingRequest, now time.Time, answered bool) {
	for i, other := range w.pending {
		if other != r {
			continue
		}
		w.pending = append(w.pending[:i], w.pending[i+1:]...)
		if took := now.Sub(r.since); answered && (took >= w.slowestEnded || now.Sub(w.slowestEndedAt) > slowestWaitTTL) {
			w.slowestEnded, w.slowestEndedAt = took, now
		}
		return
	}
}

// oldestWait returns how long the oldest request has waited.
func (w *waitingRequests) oldestWait(now time.Time) time.Duration {
	if len(w.pending) == 0 {
		return 0
	}
	return now.Sub(w.pending[0].since)
}

// slowestWait returns the longest wait that ended within slowestWaitTTL.
func (w *waitingRequests) slowestWait(now time.Time) time.Duration {
	if now.Sub(w.slowestEndedAt) > slowestWaitTTL {
		return 0
	}
	return w.slowestEnded
}
