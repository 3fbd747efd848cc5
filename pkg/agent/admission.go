// ================================================================
// Admission of requests at the time of execution. A request that fails a check is
// refused before it runs.
//
// Attempt IDs are kept until after the attempt's deadline, so that an attempt that
// arrives twice, or late from an entry that was suspended, runs at most once.
// ================================================================

package agent

import (
	"container/heap"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// attemptRetention is how long an attempt ID is kept after its deadline. It exceeds
	// the clock skew between two VMs.
	attemptRetention = time.Minute
	// maxKnownAttempts bounds the number of attempt IDs kept.
	maxKnownAttempts = 1 << 16
)

// admission decides whether requests may run. It is safe for concurrent use.
type admission struct {
	limit int
	// admitWhileDraining disables the check for draining, see Faults.
	admitWhileDraining bool

	mu            sync.Mutex
	inFlight      int
	closeReason   string
	knownAttempts map[string]bool
	expiries      expiryHeap
	idle          chan struct{}
	closed        chan struct{}
}

func newAdmission(limit int) *admission {
	return &admission{limit: limit, knownAttempts: map[string]bool{}, idle: make(chan struct{}), closed: make(chan struct{})}
}

// admit admits a request or returns the reason for refusing it. For each admitted
// request the caller has to call release.
func (a *admission) admit(r contract.Request, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetExpired(now)
	switch {
	case a.closeReason != "" && !a.admitWhileDraining:
		return failure.New(failure.Draining, "this VM is draining: %s", a.closeReason)
	case !now.Before(r.DeadlineTime()):
		return failure.New(failure.DeadlineExceeded, "the deadline passed %s before execution", now.Sub(r.DeadlineTime()))
	case a.knownAttempts[r.Attempt()]:
		return failure.New(failure.DuplicateAttempt, "attempt %q", r.Attempt()).WithRan(failure.RanUnknown)
	case a.inFlight >= a.limit || len(a.knownAttempts) >= maxKnownAttempts:
		return failure.New(failure.Overloaded, "%d requests in flight on this VM", a.inFlight)
	}
	a.knownAttempts[r.Attempt()] = true
	heap.Push(&a.expiries, attemptExpiry{attempt: r.Attempt(), at: r.DeadlineTime().Add(attemptRetention)})
	a.inFlight++
	return nil
}

// release records the end of an admitted request.
func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.signalIdle()
}

// close stops admission. first reports whether this was the first call, and the channel
// idle is closed when no requests are in flight.
func (a *admission) close(reason string) (first bool, idle <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first = a.closeReason == ""
	if first {
		a.closeReason = reason
		close(a.closed)
		a.signalIdle()
	}
	return first, a.idle
}

// done returns a channel that is closed when admission stops.
func (a *admission) done() <-chan struct{} { return a.closed }

func (a *admission) signalIdle() {
	if a.closeReason == "" || a.inFlight > 0 {
		return
	}
	select {
	case <-a.idle:
	default:
		close(a.idle)
	}
}

// state returns the number of requests in flight and the reason passed to close, which
// is empty while requests are admitted.
func (a *admission) state() (inFlight int, closeReason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight, a.closeReason
}

func (a *admission) forgetExpired(now time.Time) {
	for len(a.expiries) > 0 && now.After(a.expiries[0].at) {
		e := heap.Pop(&a.expiries).(attemptExpiry)
		delete(a.knownAttempts, e.attempt)
	}
}

// ----------------------------------------------------------------
// Expiry of attempt IDs

// attemptExpiry is the time after which an attempt ID is dropped.
type attemptExpiry struct {
	attempt string
	at      time.Time
}

// expiryHeap is a min-heap by time, for container/heap.
type expiryHeap []attemptExpiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(attemptExpiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
