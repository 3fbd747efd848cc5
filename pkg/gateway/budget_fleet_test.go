// ================================================================
// These tests guard against gateways that together exceed the retry budget. A gateway that
// restarts has counted nothing and has its whole share of the reserve, while the retries of its
// predecessor still count. When all gateways were killed three times within 6 s, a service got
// 582 attempts beyond the first ones in 10 s, and 538 were allowed. The first two cases exceed the
// bound if each process of a gateway applies it to itself alone.
// ================================================================

package gateway

import (
	"testing"
	"time"
)

// budgetFleet simulates gateways under the same load that retry as often as their budgets allow,
// and counts what they send.
type budgetFleet struct {
	now               time.Time
	gateways          []*retryBudget
	requests, retries map[int]int // by 100 ms
}

const (
	fleetRatio   = 20 // percent
	fleetReserve = 100.0
	fleetWindow  = 10 * time.Second
	fleetStep    = 100 * time.Millisecond
	fleetSize    = 6
)

func newBudgetFleet() *budgetFleet {
	f := &budgetFleet{now: time.Now(), gateways: make([]*retryBudget, fleetSize), requests: map[int]int{}, retries: map[int]int{}}
	for i := range f.gateways {
		f.restart(i)
	}
	return f
}

func (f *budgetFleet) restart(i int) {
	b := newRetryBudget(fleetRatio, fleetReserve, fleetWindow)
	b.now, b.started = func() time.Time { return f.now }, f.now
	f.gateways[i] = b
}

// step lets each gateway take some requests and retry each as often as its budget allows.
func (f *budgetFleet) step(number, requests int, retries bool) {
	for _, b := range f.gateways {
		for range requests {
			b.countRequest("menu")
			f.requests[number]++
			for retries && b.takeRetry("menu", fleetSize) {
				f.retries[number]++
			}
		}
	}
	f.now = f.now.Add(fleetStep)
}

// check verifies the bound for every window.
func (f *budgetFleet) check(t *testing.T, steps int) {
	t.Helper()
	const window = int(fleetWindow / fleetStep)
	sum := func(of map[int]int, from int) (all int) {
		for i := from; i < from+window; i++ {
			all += of[i]
		}
		return all
	}
	for from := 0; from+window <= steps; from++ {
		requests := max(sum(f.requests, from), sum(f.requests, from-window/2), sum(f.requests, from-window))
		allowed := float64(fleetRatio*requests)/100 + fleetReserve
		if sent := sum(f.retries, from); float64(sent) > allowed {
			t.Fatalf("%d retries within a window from %s on, for %d requests; %.0f are allowed", sent, time.Duration(from)*fleetStep, requests, allowed)
		}
	}
}

func TestRestartedGatewaysStayWithinBudget(t *testing.T) {
	const steps = 400
	for _, c := range []struct {
		name     string
		restarts []int // steps at which all gateways restart
		retries  func(step int) bool
	}{
		{"three restarts while retries are spent", []int{150, 180, 210}, func(step int) bool { return step > 60 }},
		{"one restart right after a burst", []int{150}, func(step int) bool { return step > 147 }},
		{"no restart, bursts a window apart", nil, func(step int) bool { return step == 109 || step == 200 }},
		{"no restart", nil, func(int) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newBudgetFleet()
			restarts := map[int]bool{}
			for _, at := range c.restarts {
				restarts[at] = true
			}
			for step := range steps {
				if restarts[step] {
					for i := range f.gateways {
						f.restart(i)
					}
				}
				f.step(step, 3, c.retries(step))
			}
			f.check(t, steps)
		})
	}
}
