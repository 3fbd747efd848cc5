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
	// farPenalty is what another failure domain costs, as work.
	farPenalty = 10 * time.Millisecond
	// farStreamPenalty is the same for engines: one of another failure domain is
	// only taken when none of the own has a place. A stream has many packets, and
	// one that is lost or held up on the way makes the answer late.
	farStreamPenalty = 500 * time.Millisecond
	// unansweredPenalty is what an engine costs whose stager does not answer: its link
	// is full, or its VM in trouble. It is used when no other engine has a place.
	unansweredPenalty = 700 * time.Millisecond
	// silentPenalty is what missed heartbeats cost, as work.
	silentPenalty = 300 * time.Millisecond
	// failurePenalty multiplies the cost of one that fails all requests.
	failurePenalty = 12.0
	// sharedWork is what each request at an engine costs the others.
	sharedWork = 2 * time.Millisecond
	// choiceNoise spreads the choices of gateways that know the same.
	choiceNoise = 0.05
	// usualBegin is how long a request may wait for its first event at an engine
	// that has a place for it.
	usualBegin = 200 * time.Millisecond
	// noWait is the longest wait for a place that nobody waits for.
	noWait = time.Nanosecond
	// unitWork is the least work that a request counts as.
	unitWork = 20 * time.Millisecond
)

// wanted is what a backend server must satisfy.
type wanted struct {
	service string
	// model and layers are checked where layers is above 0.
	model  string
	layers int
	// least returns the least version of the weights at a backend server where
	// requests take so long to begin, and are taken back so long before a version lapses.
	least func(begins, back time.Duration) uint64
	// begins is how long the request takes to begin at the least.
	begins time.Duration
	// work is the request's own, for the cost after it.
	work time.Duration
	// engine describes the engines; zero slots for plain services.
	engine serviceconfig.Engine
	// wait is the longest wait for a place that is taken; 0 is any.
	wait time.Duration
	// avoid are the builds under which servers ended with the request.
	avoid []string
	// unlimited passes over those that name a limit.
	unlimited bool
	// tried are those that the request may not be sent to again, and only those that it may
	// be sent to; nil is all.
	tried, only map[*backend]bool
}

// choose returns the best backend server; nil when none may take the request,
// and then whether one would but for its load.
func (g *Gateway) choose(w wanted) (chosen *backend, loaded bool) {
	now := time.Now()
	all := g.candidates(w, now)
	var places shares
	if w.wait > 0 {
		places = g.shares(now, w.capacity(all))
	}
	var best, resting cheapest
	full := false
	for _, c := range all {
		b, l := c.backend, c.load
		switch {
		case w.tried[b] || w.only != nil && !w.only[b]:
		case l.full || w.takesNothing(l) || l.isHeldBack(now) || w.unlimited && l.limited:
			full = true
		case l.resting:
			resting.offer(b, g.cost(l, w))
		case w.isLoaded(l):
			full = true
		case w.hasPlace(l, places, now):
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
func (g *Gateway) candidates(w wanted, now time.Time) []candidate {
	var all []candidate
	for _, b := range g.backends.of(w.service) {
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
	return l.state != registry.Draining && l.state != registry.Gone && !l.lost
}

// takesNothing tells whether an engine said that an order is under way.
func (w wanted) takesNothing(l load) bool {
	return w.engine.Slots() > 0 && l.fresh && l.told.load.Busy()
}

// isLoaded tells whether the request would wait too long at an engine.
func (w wanted) isLoaded(l load) bool { return w.wait > 0 && w.waitAt(l) > w.wait }

// hasPlace tells whether the share of an engine's places that is for requests from
// here has one left. Of an engine whose load is not heard, for instance one that has
// just come, the share is one of all its places: a hundred gateways that each send
// what they like fill it before its first word.
func (w wanted) hasPlace(l load, s shares, now time.Time) bool {
	switch {
	case w.wait <= 0 || l.asked:
		return true
	case l.fresh:
		return l.told.hasPlace(w.engine, s.at(l.domain), now)
	}
	return float64(l.inFlight+1) <= s.at(l.domain)*float64(w.engine.Slots()+waitingPlaces)+l.told.lot
}

// capacity is how many requests the engines that may take one finish a second, or take by
// their own limits, by failure domain.
func (w wanted) capacity(all []candidate) map[string]float64 {
	capacity := map[string]float64{}
	turn := w.engine.Turn().Seconds()
	if turn <= 0 {
		return capacity
	}
	for _, c := range all {
		perSecond := 1 / (turn * max(c.load.told.load.StepTimeRatio(), 1))
		if c.load.limited {
			perSecond = min(perSecond, c.load.perSecond)
		}
		capacity[c.load.domain] += perSecond
	}
	return capacity
}

func (w wanted) allows(b *backend, now time.Time) bool {
	if len(w.avoid) > 0 && !quarantine.MayBeMended(b.build(w.model, w.layers), w.avoid) {
		return false
	}
	if w.layers == 0 {
		return true
	}
	served := b.servedVersion(w.model, w.layers)
	return served > 0 && served >= w.least(max(b.begins(now), w.begins), b.takeBackMargin())
}

// waitAt predicts how long a request waits for a place at an engine: from its
// told load, and from how long requests from here wait there now. The second is
// known at once, and also where no load is told.
func (w wanted) waitAt(l load) time.Duration {
	if w.engine.Slots() == 0 {
		return 0
	}
	var told time.Duration
	if ahead := l.told.taken() - w.engine.Slots() + 1; l.fresh && ahead > 0 {
		told = time.Duration(float64(ahead) * float64(w.engine.Turn()) * max(l.told.load.StepTimeRatio(), 1))
		// Part of the wait is over: else an engine that is heard of only when it is asked
		// is not asked again for toldLife, and stands empty meanwhile.
		told = max(told-l.toldAge, 0)
	}
	if l.oldest > usualBegin {
		return max(told, l.oldest)
	}
	return told
}

// farPenalty returns what another failure domain costs. A request that is sent
// again is late already or about to be: it goes wherever it begins first.
func (w wanted) farPenalty() time.Duration {
	if w.engine.Slots() > 0 && len(w.tried) == 0 {
		return farStreamPenalty
	}
	return farPenalty
}

// cost compares backend servers; it is a time. The work from here comes first:
// it is known without delay, and gateways that each spread their own evenly
// spread the sum evenly. Told loads alone would send all of them to the same
// engine until the next word of it.
func (g *Gateway) cost(l load, w wanted) float64 {
	total := float64(l.work+w.work) + float64(l.inFlight+1)*float64(unitWork)
	pace := l.pace
	if l.fresh && w.engine.Slots() > 0 {
		pace = max(l.told.load.StepTimeRatio(), 1)
		total += float64(w.waitAt(l)) + float64(l.told.load.Running()+l.told.load.Queued())*float64(sharedWork)
	}
	if pace > 0 {
		total *= pace
	}
	total *= 1 + failurePenalty*l.failureRate
	if l.domain != g.process.Identity.Domain() {
		total += float64(w.farPenalty())
	}
	if l.state == registry.Silent {
		total += float64(silentPenalty)
	}
	if w.engine.Slots() > 0 && l.unanswered {
		total += float64(unansweredPenalty)
	}
	// Gateways that choose alike at the same moment must not all choose one.
	return total * (1 + choiceNoise*rand.Float64())
}
