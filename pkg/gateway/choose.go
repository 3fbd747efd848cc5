// ================================================================
// The choice of a backend server. For engines the gateway takes the one with the earliest
// predicted start, from its reported load and the requests that this gateway sent since. For
// other services it takes the one with the least work in flight from here. Slowdown and failure
// rate weigh both.
//
// The gateway does not ask every engine for its load before each choice: the platform charges for
// each such probe, and the answer is some 100 ms old.
// ================================================================

package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// remoteDomainPenalty is the cost of another failure domain, as a duration of work.
	remoteDomainPenalty = 10 * time.Millisecond
	// remoteDomainStreamPenalty is the same for streams of engines. An engine of another failure
	// domain is chosen only if the gateway's own has no free slot: a stream has many packets, and
	// each that is lost or delayed on the way makes the answer late.
	remoteDomainStreamPenalty = 500 * time.Millisecond
	// unresponsiveStagerPenalty is the cost of an engine whose stager does not answer: its link
	// is saturated or its VM has a fault. It is chosen only if no other engine has a free slot.
	unresponsiveStagerPenalty = 700 * time.Millisecond
	// missedHeartbeatPenalty is the cost of missed heartbeats, as a duration of work.
	missedHeartbeatPenalty = 300 * time.Millisecond
	// failurePenalty multiplies the cost of a backend server that fails all requests.
	failurePenalty = 12.0
	// concurrentRequestCost is the delay that each request at an engine causes to the others there.
	concurrentRequestCost = 2 * time.Millisecond
	// costJitter randomizes the cost, so that gateways with the same data choose different
	// servers.
	costJitter = 0.05
	// usualFirstEventWait is how long a request may wait for its first event at an engine that
	// has a free slot.
	usualFirstEventWait = 200 * time.Millisecond
	// noWait, as maxWait, allows only an engine where the request starts immediately; 0 means no
	// limit.
	noWait = time.Nanosecond
	// minRequestWork is the least work that a request counts as.
	minRequestWork = 20 * time.Millisecond
)

// requirements are the conditions that a backend server must meet for a request.
type requirements struct {
	service string
	// model and layers are checked if layers is above 0.
	model  string
	layers int
	// minVersion returns the least usable weights version at a backend server with this latency
	// to the first event, where waiting requests are canceled margin before a version expires.
	minVersion func(latency, margin time.Duration) uint64
	// firstEventLatency is the least time to the first event to assume.
	firstEventLatency time.Duration
	// work is the estimated work of the request, which counts in the cost.
	work time.Duration
	// engine describes the engines; it has zero slots for plain services.
	engine serviceconfig.Engine
	// maxWait is the longest acceptable wait for a slot; 0 means no limit.
	maxWait time.Duration
	// avoidBuilds are builds whose servers crashed while they ran the request.
	avoidBuilds []string
	// constraint restricts the regions of the servers.
	constraint placement.Constraint
	// warmupRate is the rate limit of a server that warms up, in requests per second; 0 for none.
	warmupRate float64
	// excludeLimited excludes backend servers with a rate limit.
	excludeLimited bool
	// tried holds the servers that must not get the request again; only, if not nil, holds those
	// that may get it.
	tried, only map[*backend]bool
}

// choose returns the backend server with the least cost, or nil if none may take the request.
// loaded reports whether load, a rate limit or a share of slots excluded any.
func (g *Gateway) choose(w requirements) (chosen *backend, loaded bool) {
	now := time.Now()
	all := g.candidates(w, now)
	var shares slotShares
	if w.maxWait > 0 {
		shares = g.slotShares(now, w.capacity(all))
	}
	var best, inBackoff cheapest
	excluded := false
	for _, c := range all {
		b, l := c.backend, c.load
		switch {
		case w.excludes(b):
		case l.overloaded || w.isExecutingOrder(l) || l.isHeldBack(now) || w.excludeLimited && l.limited:
			excluded = true
		case l.inBackoff:
			inBackoff.offer(b, g.cost(l, w))
		case w.exceedsWait(l):
			excluded = true
		case w.isWithinShare(l, shares, now):
			best.offer(b, g.cost(l, w))
		default:
			excluded = true
		}
	}
	if best.backend == nil && !excluded {
		// All are in backoff: the one with the least cost is better than a refusal.
		return inBackoff.backend, false
	}
	return best.backend, excluded
}

// candidate is a backend server that may take a request, with its load.
type candidate struct {
	backend *backend
	load    load
}

// candidates returns the backend servers that are in service, may receive the request and hold the
// weights, including those already tried.
func (g *Gateway) candidates(w requirements, now time.Time) []candidate {
	var all []candidate
	for _, b := range g.backends.forService(w.service) {
		if l := b.load(now).withWarmupLimit(w.warmupRate, now); l.serves() && g.placement.Decide(w.constraint, l.domain) == placement.Allowed && w.allows(b, now) {
			all = append(all, candidate{b, l})
		}
	}
	return all
}

// withWarmupLimit returns the load with the limit of a warm-up, where that holds and is the lowest.
func (l load) withWarmupLimit(perSecond float64, now time.Time) load {
	if perSecond <= 0 || !now.Before(l.warmupEnd) {
		return l
	}
	if !l.limited || perSecond < l.perSecond {
		l.limited, l.perSecond = true, perSecond
	}
	return l
}

// cheapest keeps the backend server with the least cost that was offered.
type cheapest struct {
	backend *backend
	cost    float64
}

func (c *cheapest) offer(b *backend, cost float64) {
	if c.backend == nil || cost < c.cost {
		c.backend, c.cost = b, cost
	}
}

// serves reports whether a backend server is in service and reachable.
func (l load) serves() bool { return !l.leaves() && !l.unreachable }

// leaves reports whether a backend server takes no further requests for good.
func (l load) leaves() bool { return l.state.Leaves() }

// isExecutingOrder reports whether an engine reports an order that is announced or being executed.
func (w requirements) isExecutingOrder(l load) bool {
	return w.engine.Slots() > 0 && l.fresh && l.reported.load.Busy()
}

// exceedsWait reports whether the predicted wait at an engine is above maxWait.
func (w requirements) exceedsWait(l load) bool { return w.maxWait > 0 && w.waitAt(l) > w.maxWait }

// isWithinShare reports whether the gateway's share of an engine's slots allows one more request.
// An engine without a load report, for example a new one, counts as empty with all its slots
// shared; without the share a hundred gateways would fill it before its first report. If the
// stager takes reservations, they bound the requests instead.
func (w requirements) isWithinShare(l load, s slotShares, now time.Time) bool {
	switch {
	case w.maxWait <= 0 || l.reservable:
		return true
	case l.fresh:
		return l.reported.hasSlot(w.engine, s.forDomain(l.domain), now)
	}
	return float64(l.inFlight+1) <= s.forDomain(l.domain)*float64(w.engine.Slots()+queuedPerEngine)+l.reported.rounding
}

// capacity returns the requests a second that the engines among the candidates finish, or accept
// under their own rate limits, by failure domain.
func (w requirements) capacity(all []candidate) map[string]float64 {
	capacity := map[string]float64{}
	requestTime := w.engine.SlotInterval().Seconds()
	if requestTime <= 0 {
		return capacity
	}
	for _, c := range all {
		perSecond := 1 / (requestTime * max(c.load.reported.load.StepTimeRatio(), 1))
		if c.load.limited {
			perSecond = min(perSecond, c.load.perSecond)
		}
		capacity[c.load.domain] += perSecond
	}
	return capacity
}

// excludes reports whether a backend server must not get the request again.
func (w requirements) excludes(b *backend) bool { return w.tried[b] || w.only != nil && !w.only[b] }

// allowsBuild reports whether a backend server runs a build on which the request may not crash.
func (w requirements) allowsBuild(b *backend) bool {
	return len(w.avoidBuilds) == 0 || quarantine.MayBeFixed(b.build(w.model, w.layers), w.avoidBuilds)
}

// allows reports whether a backend server runs an allowed build and serves a usable version.
func (w requirements) allows(b *backend, now time.Time) bool {
	if !w.allowsBuild(b) {
		return false
	}
	if w.layers == 0 {
		return true
	}
	served := b.servedVersion(w.model, w.layers)
	return served > 0 && served >= w.minVersion(max(b.firstEventLatency(now), w.firstEventLatency), b.versionCancelMargin())
}

// waitAt predicts how long a request waits for a slot at an engine, from its reported load and
// from the current waits of requests of this gateway. The waits are known without delay and also
// without a load report.
func (w requirements) waitAt(l load) time.Duration {
	if w.engine.Slots() == 0 {
		return 0
	}
	var reported time.Duration
	if ahead := l.reported.estimatedRequests() - w.engine.Slots() + 1; l.fresh && ahead > 0 {
		reported = time.Duration(float64(ahead) * float64(w.engine.SlotInterval()) * max(l.reported.load.StepTimeRatio(), 1))
		// Part of the predicted wait is over by now. Otherwise an engine that reports its load
		// only in reservation answers gets no requests for reportTTL and stands idle.
		reported = max(reported-l.reportAge, 0)
	}
	if l.oldestWait > usualFirstEventWait {
		return max(reported, l.oldestWait)
	}
	return reported
}

// domainPenalty returns the cost of another failure domain. A retried request is late already, so
// only the small penalty applies, and it goes to the server where it starts first.
func (w requirements) domainPenalty() time.Duration {
	if w.engine.Slots() > 0 && len(w.tried) == 0 {
		return remoteDomainStreamPenalty
	}
	return remoteDomainPenalty
}

// cost returns the cost of a choice, as a time. The work in flight from this gateway counts
// first: it is known without delay, and if each gateway spreads its own requests evenly, the sum
// is even too. With reported loads alone all gateways would send to the same engine until its
// next report.
func (g *Gateway) cost(l load, w requirements) float64 {
	total := float64(l.work+w.work) + float64(l.inFlight+1)*float64(minRequestWork)
	slowdown := l.slowdown
	if l.fresh && w.engine.Slots() > 0 {
		slowdown = max(l.reported.load.StepTimeRatio(), 1)
		total += float64(w.waitAt(l)) + float64(l.reported.load.Running()+l.reported.load.Queued())*float64(concurrentRequestCost)
	}
	if slowdown > 0 {
		total *= slowdown
	}
	total *= 1 + failurePenalty*l.failureRate
	if l.domain != g.process.Identity.Domain() {
		total += float64(w.domainPenalty())
	}
	if l.state == registry.Silent {
		total += float64(missedHeartbeatPenalty)
	}
	if w.engine.Slots() > 0 && l.stagerUnresponsive {
		total += float64(unresponsiveStagerPenalty)
	}
	// Jitter keeps gateways that compute the same cost from choosing the same server.
	return total * (1 + costJitter*rand.Float64())
}
