// ================================================================
// The choice of the next chunk to request and of its source. It has no goroutine, socket or clock.
// ================================================================

package staging

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxPerSource bounds the concurrent requests to one member, and maxPerOrigin those to the
	// origin.
	maxPerSource = 2
	maxPerOrigin = 1
	// overdueAfter is the time without a new chunk after which missing chunks are requested without
	// a notice.
	overdueAfter = 300 * time.Millisecond
	// Every ownerRequestEvery-th request for a missing chunk goes to its owner instead of the
	// plan's source. In every backupFetchEvery-th one the backup owner fetches the chunk from the
	// origin. Members other than the owner send no other request to the origin: when it returned
	// after an outage of 6 s, 200 members fetched what 5 had to.
	ownerRequestEvery = 4
	backupFetchEvery  = 16
	// initialWindow is the initial number of concurrent requests. Each fast reply raises it by one
	// up to the limit, and a slow one reduces it to one: requests to the engine wait behind chunks
	// that are queued in the link.
	initialWindow = 2
	fastReply     = 150 * time.Millisecond
	slowReply     = 300 * time.Millisecond
	// planTTL is how long a plan is used before it is requested again.
	planTTL = 500 * time.Millisecond
)

// fetchStep is one request: the chunk and the member to ask.
type fetchStep struct {
	number int
	source string
}

// fetchScheduler decides which chunk of a copy a member requests next, and from whom. It is safe
// for concurrent use.
type fetchScheduler struct {
	copy     *weightsCopy
	makePlan func() plan

	mu               sync.Mutex
	plan             plan
	plannedAt        time.Time
	inFlight         map[int]bool
	inFlightBySource map[string]int    // requests in flight by source
	window           int               // number of requests that may be in flight
	maxWindow        int               // upper bound of window
	misses           map[int]int       // failed requests by chunk
	retryAt          map[int]time.Time // by chunk
}

func newFetchScheduler(c *weightsCopy, makePlan func() plan, maxWindow int) *fetchScheduler {
	return &fetchScheduler{
		copy: c, makePlan: makePlan, inFlight: map[int]bool{}, inFlightBySource: map[string]int{},
		misses: map[int]int{}, retryAt: map[int]time.Time{}, window: initialWindow, maxWindow: maxWindow,
	}
}

// next returns the request with the lowest cost; false if there is none now.
func (g *fetchScheduler) next(now time.Time) (fetchStep, bool) {
	missing := g.copy.missingNumbers()
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.plannedAt) > planTTL {
		g.plan, g.plannedAt = g.makePlan(), now
	}
	overdue := len(g.plan.preferredHolders) > 0 || g.copy.timeSinceLastChunk(now) > overdueAfter
	if len(g.inFlight) >= g.window {
		return fetchStep{}, false
	}
	var best fetchStep
	found, lowest := false, 0
	for _, number := range missing {
		if g.inFlight[number] || now.Before(g.retryAt[number]) {
			continue
		}
		candidate, cost, ok := g.bestSource(number, overdue)
		if ok && (!found || cost < lowest) {
			best, lowest, found = candidate, cost, true
		}
	}
	if found {
		g.inFlight[best.number] = true
		g.inFlightBySource[best.source]++
	}
	return best, found
}

// bestSource returns the source with the lowest cost for a chunk, and the cost. It returns false if
// all sources have their maximum of requests, or if no member is known to hold the chunk and it is
// not overdue.
func (g *fetchScheduler) bestSource(number int, overdue bool) (best fetchStep, cost int, ok bool) {
	known := g.copy.holdersOf(number)
	for _, address := range g.plan.preferredHolders {
		known[address] = true
	}
	for address := range known {
		if address == g.plan.own || !g.isAllowedSource(address, number) || g.inFlightBySource[address] >= maxPerSource {
			continue
		}
		if c := 2 * g.inFlightBySource[address]; !ok || c < cost {
			best, cost, ok = fetchStep{number, address}, c, true
		}
	}
	if ok || len(g.plan.preferredHolders) > 0 {
		return best, cost, ok
	}
	if !overdue && g.plan.owners[number] != g.plan.own {
		return best, 0, false
	}
	source := g.plannedSource(number)
	limit := maxPerSource
	if source == g.plan.own {
		limit = maxPerOrigin
	}
	return fetchStep{number, source}, 2*g.inFlightBySource[source] + 1, g.inFlightBySource[source] < limit
}

// isAllowedSource reports whether a chunk may be requested from a member that holds it. The member
// must be in this failure domain; or serve the version while no member here does; or, in another
// failure domain, this member must be the importer of the chunk.
func (g *fetchScheduler) isAllowedSource(address string, number int) bool {
	own := g.plan.domainOf[g.plan.own]
	switch {
	case g.plan.domainOf[address] == "":
		return false
	case g.plan.domainOf[address] == own || len(g.plan.preferredHolders) > 0:
		return true
	}
	return g.plan.importers[own][number] == g.plan.own
}

// plannedSource returns the source of a chunk that no nearby member is known to hold.
func (g *fetchScheduler) plannedSource(number int) string {
	attempt := g.misses[number] + 1
	switch {
	case attempt%backupFetchEvery == 0 && g.plan.backupOwners[number] == g.plan.own:
		return g.plan.own
	case attempt%ownerRequestEvery == 0:
		return g.plan.owners[number]
	default:
		return g.plan.source(number)
	}
}

// done records the result of a request. A source that did not answer makes the scheduler request a
// new plan.
func (g *fetchScheduler) done(s fetchStep, answered bool, duration time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adjustWindow(answered, duration)
	delete(g.inFlight, s.number)
	g.inFlightBySource[s.source]--
	if !answered {
		g.plannedAt = time.Time{}
	}
	if g.copy.get(s.number) == nil {
		g.misses[s.number]++
		g.retryAt[s.number] = now.Add(missBackoff)
		g.copy.removeHolder(s.source, s.number)
	}
}

// adjustWindow adapts the number of concurrent requests to the speed of the link.
func (g *fetchScheduler) adjustWindow(answered bool, duration time.Duration) {
	switch {
	case !answered || duration > slowReply:
		g.window = 1
	case duration < fastReply:
		g.window = min(g.window+1, g.maxWindow)
	}
}
