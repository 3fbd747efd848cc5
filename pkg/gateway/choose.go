// ================================================================
// The choice of a backend server: the one where the work under way from here
// is least, weighed by its measured pace and failures. Each gateway spreads its
// own requests evenly, and so does the sum of all.
//
// Rejected: asking every engine for its load. Each question is a probe that
// the platform charges, and the answer is some hundred ms old.
// ================================================================

package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// farPenalty is what another failure domain costs, as work.
	farPenalty = 10 * time.Millisecond
	// silentPenalty is what missed heartbeats cost, as work.
	silentPenalty = 300 * time.Millisecond
	// failurePenalty multiplies the cost of one that fails all requests.
	failurePenalty = 12.0
	// unitWork is the least work that a request counts as.
	unitWork = 20 * time.Millisecond
)

// wanted is what a backend server must satisfy.
type wanted struct {
	service string
	// model and layers are checked where layers is above 0.
	model  string
	layers int
	// version is the least version of the weights.
	version uint64
	// work is the request's own, for the cost after it.
	work time.Duration
	// tried are those that the request was sent to.
	tried map[*backend]bool
}

// choose returns the best backend server; nil when none may take the request.
func (g *Gateway) choose(w wanted) *backend {
	now := time.Now()
	least := math.Inf(1)
	var best, resting *backend
	soonest := math.Inf(1)
	full := false
	for _, b := range g.backends.of(w.service) {
		if w.tried[b] || !w.allows(b) {
			continue
		}
		l := b.load(now)
		if l.state == registry.Draining || l.state == registry.Gone {
			continue
		}
		if l.full {
			full = true
			continue
		}
		cost := g.cost(l, w.work)
		if l.resting {
			if cost < soonest {
				resting, soonest = b, cost
			}
			continue
		}
		if cost < least {
			best, least = b, cost
		}
	}
	if best == nil && !full {
		// All rest: the least loaded one is better than a refusal.
		return resting
	}
	return best
}

func (w wanted) allows(b *backend) bool {
	if w.layers == 0 {
		return true
	}
	served := b.servedVersion(w.model, w.layers)
	return served > 0 && served >= w.version
}

func (g *Gateway) cost(l load, work time.Duration) float64 {
	total := float64(l.work+work) + float64(l.inFlight+1)*float64(unitWork)
	if l.pace > 0 {
		total *= l.pace
	}
	total *= 1 + failurePenalty*l.failureRate
	if l.domain != g.process.Identity.Domain() {
		total += float64(farPenalty)
	}
	if l.state == registry.Silent {
		total += float64(silentPenalty)
	}
	// Gateways that choose alike at the same moment must not all choose one.
	return total * (1 + 0.05*rand.Float64())
}
