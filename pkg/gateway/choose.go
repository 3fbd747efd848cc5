// ================================================================
// The choice of a backend server: for engines the one that is predicted to
// begin first, from the load that the stager beside it told and from what was
// sent from here since; else the one where the work under way from here is
// least. Both are weighed by pace and failures.
//
// Rejected: asking every engine for its load. Each question is a probe that
// the platform charges, and the answer is some hundred ms old.
// ================================================================

package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// remoteDomainPenalty is what another failure domain costs, as work.
	remoteDomainPenalty = 10 * time.Millisecond
	// remoteDomainStreamPenalty is the same for engines: one of another failure domain is
	// only taken when none of the own has a place. A stream has many packets, and
	// one that is lost or held up on the way makes the answer late.
	remoteDomainStreamPenalty = 500 * time.Millisecond
	// unresponsiveStagerPenalty is what an engine costs whose stager does not answer: its link
	// is full, or its VM in trouble. It is used when no other engine has a place.
	unresponsiveStagerPenalty = 700 * time.Millisecond
	// missedHeartbeatPenalty is what missed heartbeats cost, as work.
	missedHeartbeatPenalty = 300 * time.Millisecond
	// failurePenalty multiplies the cost of one that fails all requests.
	failurePenalty = 12.0
	// concurrentRequestCost is what each request at an engine costs the others.
	concurrentRequestCost = 2 * time.Millisecond
	// costJitter spreads the choices of gateways that know the same.
	costJitter = 0.05
	// usualFirstEventWait is how long a request may wait for its first event at an engine
	// that has a place for it.
	usualFirstEventWait = 200 * time.Millisecond
	// noWait is the longest wait for a place that nobody waits for.
	noWait = time.Nanosecond
	// minRequestWork is the least work that a request counts as.
	minRequestWork = 20 * time.Millisecond
)

// requirements is what a backend server must satisfy.
type requirements struct {
	service string
	// model and layers are checked where layers is above 0.
	model  string
	layers int
	// minVersion returns the least version of the weights at a backend server where
	// requests take so long to begin, and are taken back so long before a version lapses.
	minVersion func(begins, back time.Duration) uint64
	// firstEventLatency is how long the request takes to begin at the least.
	firstEventLatency time.Duration
	// work is the request's own, for the cost after it.
	work time.Duration
	// engine describes the engines; zero slots for plain services.
	engine serviceconfig.Engine
	// maxWait is the longest wait for a place that is taken; 0 is any.
	maxWait time.Duration
	// avoidBuilds are the builds under which servers ended with the request.
	avoidBuilds []string
	// excludeLimited passes over those that name a limit.
	excludeLimited bool
	// tried are those that the request may not be sent to again, and only those that it may
	// be sent to; nil is all.
	tried, only map[*backend]bool
}

// choose returns the best backend server; nil when none may take the request,
// and then whether one would but for its load.
func (g *Gateway) choose(w requirements) (chosen *backend, loaded bool) {
	now := time.Now()
	all := g.candidates(w, now)
	var places slotShares
	if w.maxWait > 0 {
		places = g.slotShares(now, w.capacity(all))
	}
	var best, resting cheapest
	full := false
	for _, c := range all {
		b, l := c.backend, c.load
		switch {
		case w.tried[b] || w.only != nil && !w.only[b]:
		case l.overloaded || w.isExecutingOrder(l) || l.isHeldBack(now) || w.excludeLimited && l.limited:
			full = true
		case l.inBackoff:
			resting.offer(b, g.cost(l, w))
		case w.exceedsWait(l):
			full = true
		case w.isWithinShare(l, places, now):
			best.offer(b, g.cost(l, w))
		default:
			full = true
		}
	}
	if best.backend == nil && !full {
		// All rest: the least loaded one is better than a refusal.
		return resting.backend, false
	}
	return best.backend, full
}

// candidate is a backend server that may take a request, and its load.
type candidate struct {
	backend *backend
	load    load
}

// candidates returns the backend servers that serve and have the weights, those
// among them that were tried too.
func (g *Gateway) candidates(w requirements, now time.Time) []candidate {
	var all []candidate
	for _, b := range g.backends.forService(w.service) {
		if l := b.load(now); l.serves() && w.allows(b, now) {
			all = append(all, candidate{b, l})
		}
	}
	return all
}

// cheapest keeps the one of least cost that was offered.
type cheapest struct {
	backend *backend
	cost    float64
}

func (c *cheapest) offer(b *backend, cost float64) {
	if c.backend == nil || cost < c.cost {
		c.backend, c.cost = b, cost
	}
}

// serves tells whether a backend server may get requests at all.
func (l load) serves() bool {
	return l.state != registry.Draining && l.state != registry.Gone && !l.unreachable
}

// isExecutingOrder tells whether an engine said that an order is under way.
func (w requirements) isExecutingOrder(l load) bool {
	return w.engine.Slots() > 0 && l.fresh && l.reported.load.Busy()
}

// exceedsWait tells whether the request would wait too long at an engine.
func (w requirements) exceedsWait(l load) bool { return w.maxWait > 0 && w.waitAt(l) > w.maxWait }

// isWithinShare tells whether the share of an engine's places that is for requests from
// here has one left. Of an engine whose load is not heard, for instance one that has
// just come, the share is one of all its places: a hundred gateways that each send
// what they like fill it before its first word.
func (w requirements) isWithinShare(l load, s slotShares, now time.Time) bool {
	switch {
	case w.maxWait <= 0 || l.reservable:
		return true
	case l.fresh:
		return l.reported.hasSlot(w.engine, s.forDomain(l.domain), now)
	}
	return float64(l.inFlight+1) <= s.forDomain(l.domain)*float64(w.engine.Slots()+queuedPerEngine)+l.reported.rounding
}

// capacity is how many requests the engines that may take one finish a second, or take by
// their own limits, by failure domain.
func (w requirements) capacity(all []candidate) map[string]float64 {
	capacity := map[string]float64{}
	turn := w.engine.Turn().Seconds()
	if turn <= 0 {
		return capacity
	}
	for _, c := range all {
		perSecond := 1 / (turn * max(c.load.reported.load.StepTimeRatio(), 1))
		if c.load.limited {
			perSecond = min(perSecond, c.load.perSecond)
		}
		capacity[c.load.domain] += perSecond
	}
	return capacity
}

func (w requirements) allows(b *backend, now time.Time) bool {
	if len(w.avoidBuilds) > 0 && !quarantine.MayBeMended(b.build(w.model, w.layers), w.avoidBuilds) {
		return false
	}
	if w.layers == 0 {
		return true
	}
	served := b.servedVersion(w.model, w.layers)
	return served > 0 && served >= w.minVersion(max(b.firstEventLatency(now), w.firstEventLatency), b.versionCancelMargin())
}

// waitAt predicts how long a request waits for a place at an engine: from its
// told load, and from how long requests from here wait there now. The second is
// known at once, and also where no load is told.
func (w requirements) waitAt(l load) time.Duration {
	if w.engine.Slots() == 0 {
		return 0
	}
	var told time.Duration
	if ahead := l.reported.estimatedRequests() - w.engine.Slots() + 1; l.fresh && ahead > 0 {
		told = time.Duration(float64(ahead) * float64(w.engine.Turn()) * max(l.reported.load.StepTimeRatio(), 1))
		// Part of the wait is over: else an engine that is heard of only when it is asked
		// is not asked again for toldLife, and stands empty meanwhile.
		told = max(told-l.reportAge, 0)
	}
	if l.oldestWait > usualFirstEventWait {
		return max(told, l.oldestWait)
	}
	return told
}

// domainPenalty returns what another failure domain costs. A request that is sent
// again is late already or about to be: it goes wherever it begins first.
func (w requirements) domainPenalty() time.Duration {
	if w.engine.Slots() > 0 && len(w.tried) == 0 {
		return remoteDomainStreamPenalty
	}
	return remoteDomainPenalty
}

// cost compares backend servers; it is a time. The work from here comes first:
// it is known without delay, and gateways that each spread their own evenly
// spread the sum evenly. Told loads alone would send all of them to the same
// engine until the next word of it.
func (g *Gateway) cost(l load, w requirements) float64 {
	total := float64(l.work+w.work) + float64(l.inFlight+1)*float64(minRequestWork)
	pace := l.slowdown
	if l.fresh && w.engine.Slots() > 0 {
		pace = max(l.reported.load.StepTimeRatio(), 1)
		total += float64(w.waitAt(l)) + float64(l.reported.load.Running()+l.reported.load.Queued())*float64(concurrentRequestCost)
	}
	if pace > 0 {
		total *= pace
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
	// Gateways that choose alike at the same moment must not all choose one.
	return total * (1 + costJitter*rand.Float64())
}
