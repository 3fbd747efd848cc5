// ================================================================
// The waits for first events at one backend server, as seen from here. They are
// known without delay, and tell of what no reported load shows: a narrow link,
// a queue that other gateways filled, an engine that has stopped.
// ================================================================

package gateway

import "time"

// slowestLife is how long the slowest wait counts.
const slowestLife = 2 * time.Second

// waiting is one request that waits for its first event.
type waiting struct {
	since time.Time
	// takeBack ends the attempt so that the request can go elsewhere; nil where
	// it may not run again.
	takeBack func()
}

// waits are those of one backend server, oldest first. The owner locks.
type waits struct {
	all       []*waiting
	slow      time.Duration // the longest wait that ended of late
	slowEnded time.Time
}

// add notes a request that begins to wait.
func (w *waits) add(now time.Time, takeBack func()) *waiting {
	one := &waiting{now, takeBack}
	w.all = append(w.all, one)
	return one
}

// remove notes that a request does not wait any more, and how long it took when
// it was answered. A second call changes nothing.
func (w *waits) remove(one *waiting, now time.Time, answered bool) {
	for i, other := range w.all {
		if other != one {
			continue
		}
		w.all = append(w.all[:i], w.all[i+1:]...)
		if took := now.Sub(one.since); answered && (took >= w.slow || now.Sub(w.slowEnded) > slowestLife) {
			w.slow, w.slowEnded = took, now
		}
		return
	}
}

// oldest returns for how long the first of those that wait has waited.
func (w *waits) oldest(now time.Time) time.Duration {
	if len(w.all) == 0 {
		return 0
	}
	return now.Sub(w.all[0].since)
}

// slowest returns the longest wait that ended within slowestLife.
func (w *waits) slowest(now time.Time) time.Duration {
	if now.Sub(w.slowEnded) > slowestLife {
		return 0
	}
	return w.slow
}
