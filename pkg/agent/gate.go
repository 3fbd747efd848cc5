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
	// rememberAfter is how long an attempt is remembered after its deadline:
	// more than clocks of two VMs may differ.
	rememberAfter = time.Minute
	// maxRemembered bounds the remembered attempts.
	maxRemembered = 1 << 16
)

// gate admits requests; safe for use by several goroutines.
type gate struct {
	limit int
	// takeDraining is a seeded fault.
	takeDraining bool

	mu       sync.Mutex
	inFlight int
	draining string
	known    map[string]bool
	expiry   expiryHeap
	idle     chan struct{}
	shut     chan struct{}
}

func newGate(limit int) *gate {
	return &gate{limit: limit, known: map[string]bool{}, idle: make(chan struct{}), shut: make(chan struct{})}
}

// admit takes a request in, or says why not.
func (g *gate) admit(r contract.Request, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	switch {
	case g.draining != "" && !g.takeDraining:
		return failure.New(failure.Draining, "this VM is leaving: %s", g.draining)
	case !now.Before(r.DeadlineTime()):
		return failure.New(failure.DeadlineExceeded, "the deadline passed %s before execution", now.Sub(r.DeadlineTime()))
	case g.known[r.Attempt()]:
		return failure.New(failure.DuplicateAttempt, "attempt %q", r.Attempt()).WithRan(failure.RanUnknown)
	case g.inFlight >= g.limit || len(g.known) >= maxRemembered:
		return failure.New(failure.Overloaded, "%d requests in flight on this VM", g.inFlight)
	}
	g.known[r.Attempt()] = true
	heap.Push(&g.expiry, expiry{attempt: r.Attempt(), at: r.DeadlineTime().Add(rememberAfter)})
	g.inFlight++
	return nil
}

// leave ends an admitted request.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.signalIdle()
}

// close lets nothing in any more; idle is closed once nothing is in flight.
func (g *gate) close(reason string) (first bool, idle <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first = g.draining == ""
	if first {
		g.draining = reason
		close(g.shut)
		g.signalIdle()
	}
	return first, g.idle
}

// closing returns a channel that is closed when the gate is.
func (g *gate) closing() <-chan struct{} { return g.shut }

func (g *gate) signalIdle() {
	if g.draining == "" || g.inFlight > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// state returns how many requests are in flight and why the gate is closed.
func (g *gate) state() (inFlight int, draining string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, g.draining
}

func (g *gate) expire(now time.Time) {
	for len(g.expiry) > 0 && now.After(g.expiry[0].at) {
		e := heap.Pop(&g.expiry).(expiry)
		delete(g.known, e.attempt)
	}
}

// ----------------------------------------------------------------
// Expiry

// expiry says when an attempt may be forgotten.
type expiry struct {
	attempt string
	at      time.Time
}

// expiryHeap has the earliest first.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an element, for container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop removes the last element, for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
