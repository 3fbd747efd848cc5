// ================================================================
// The budget of repeats: what a service gets beyond the first sending of each
// request stays below a share of its requests, over all gateways together.
//
// The share is local: each gateway stays below it for its own requests, and so
// does the sum. The reserve that a quiet service may use is divided by the
// number of gateways that the control nodes count.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

// budgetSlots divide the window; a count is dropped a slot at a time.
const budgetSlots = 10

// safety keeps the sum below the bound although windows slide and the number
// of gateways is known late.
const safety = 0.75

// spending is what one service got in the window.
type spending struct {
	requests, repeats [budgetSlots]int
}

// budget counts requests and repeats by service.
type budget struct {
	ratio   float64
	reserve float64
	slot    time.Duration
	now     func() time.Time
	started time.Time

	mu       sync.Mutex
	services map[string]*spending
	current  int64
}

func newBudget(ratioPercent int, reserve float64, window time.Duration) *budget {
	return &budget{
		ratio: float64(ratioPercent) / 100, reserve: reserve, slot: window / budgetSlots,
		now: time.Now, started: time.Now(), services: map[string]*spending{},
	}
}

// request counts a request for a service.
func (b *budget) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.of(service).requests[b.current%budgetSlots]++
}

// repeat takes a repeat out of the budget; false when there is none left.
// gateways is how many share the reserve.
func (b *budget) repeat(service string, gateways int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	s := b.of(service)
	requests, repeats := 0, 0
	for i := range budgetSlots {
		requests += s.requests[i]
		repeats += s.repeats[i]
	}
	allowed := safety * (b.ratio*float64(requests) + b.reserve/float64(max(gateways, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	s.repeats[b.current%budgetSlots]++
	return true
}

// unspent puts back a repeat that was taken and not sent. One that was taken in a part of
// the window that is over stays taken.
func (b *budget) unspent(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	repeats := &b.of(service).repeats[b.current%budgetSlots]
	*repeats = max(*repeats-1, 0)
}

func (b *budget) of(service string) *spending {
	s := b.services[service]
	if s == nil {
		s = &spending{}
		b.services[service] = s
	}
	return s
}

// advance empties the slots that time has gone past.
func (b *budget) advance() {
	now := int64(b.now().Sub(b.started) / b.slot)
	for steps := 0; b.current < now && steps < budgetSlots; steps++ {
		b.current++
		for _, s := range b.services {
			s.requests[b.current%budgetSlots], s.repeats[b.current%budgetSlots] = 0, 0
		}
	}
	b.current = now
}
