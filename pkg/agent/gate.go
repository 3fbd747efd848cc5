// ================================================================
// The gate: what is checked of a request at the moment of execution. Each
// check that fails refuses the request with a true "not run".
//
// The gate remembers attempts until after their deadline, so that one that
// comes twice, or late out of a frozen entry, runs once at most.
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
	// attemptRetention is how long an attempt is remembered after its deadline:
	// more than clocks of two VMs may differ.
	attemptRetention = time.Minute
	// maxKnownAttempts bounds the remembered attempts.
	maxKnownAttempts = 1 << 16
)

// admission admits requests; safe for use by several goroutines.
type admission struct {
	limit int
	// admitWhileDraining is a seeded fault.
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

// admit takes a request in, or says why not.
func (a *admission) admit(r contract.Request, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetExpired(now)
	switch {
	case a.closeReason != "" && !a.admitWhileDraining:
		return failure.New(failure.Draining, "this VM is leaving: %s", a.closeReason)
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

// release ends an admitted request.
func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.signalIdle()
}

// close lets nothing in any more; idle is closed once nothing is in flight.
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

// done returns a channel that is closed when the gate is.
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

// state returns how many requests are in flight and why the gate is closed.
func (a *admission) state() (inFlight int, draining string) {
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
// Expiry

// attemptExpiry says when an attempt may be forgotten.
type attemptExpiry struct {
	attempt string
	at      time.Time
}

// expiryHeap has the earliest first.
type expiryHeap []attemptExpiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an element, for container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(attemptExpiry)) }

// Pop removes the last element, for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
