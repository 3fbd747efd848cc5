// ================================================================
// The decision of what to ask next. It has no goroutine, socket or clock.
// ================================================================

package staging

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxPerSource bounds the questions to one stager under way, and perOrigin
	// those to the origin.
	maxPerSource = 2
	maxPerOrigin = 1
	// overdueAfter is how long no chunk may come before those that are missing
	// are asked for.
	overdueAfter = 300 * time.Millisecond
	// ownerRequestEvery is the question about a missing chunk that goes to its owner
	// and not to the plan's source, and drawEvery the one in which the owner's
	// stand-in draws it from the origin. All others leave the origin alone: when it
	// was back after 6 s without it, 200 members drew what 5 had to.
	ownerRequestEvery = 4
	backupFetchEvery  = 16
	// initialWindow questions are under way at first, one more after each quick
	// answer up to the bound, and one alone after a slow one: what is under
	// way waits in the link, and requests to the engine behind it.
	initialWindow = 2
	fastReply     = 150 * time.Millisecond
	slowReply     = 300 * time.Millisecond
	// planTTL is how long a plan is used before it is made anew.
	planTTL = 500 * time.Millisecond
)

// fetchStep is one question: which chunk, and whom to ask.
type fetchStep struct {
	number int
	source string
}

// fetchScheduler decides what one stager asks for a copy. It is safe for concurrent
// use.
type fetchScheduler struct {
	copy     *weightsCopy
	makePlan func() plan

	mu               sync.Mutex
	plan             plan
	plannedAt        time.Time
	inFlight         map[int]bool
	inFlightBySource map[string]int // questions under way by source
	window           int            // questions that may be under way
	maxWindow        int            // bounds allowed
	misses           map[int]int
	retryAt          map[int]time.Time
}

func newFetchScheduler(c *weightsCopy, makePlan func() plan, most int) *fetchScheduler {
	return &fetchScheduler{
		copy: c, makePlan: makePlan, inFlight: map[int]bool{}, inFlightBySource: map[string]int{},
		misses: map[int]int{}, retryAt: map[int]time.Time{}, window: initialWindow, maxWindow: most,
	}
}

// next returns the best question to ask now; false when there is none.
func (g *fetchScheduler) next(now time.Time) (fetchStep, bool) {
	absent := g.copy.absent()
	rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
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
	found, least := false, 0
	for _, number := range absent {
		if g.inFlight[number] || now.Before(g.retryAt[number]) {
			continue
		}
		candidate, cost, ok := g.bestSource(number, overdue)
		if ok && (!found || cost < least) {
			best, least, found = candidate, cost, true
		}
	}
	if found {
		g.inFlight[best.number] = true
		g.inFlightBySource[best.source]++
	}
	return best, found
}

// bestSource returns whom to ask for a chunk and what that costs; false when all
// who could be asked are asked enough, or nobody is known to have it and it is
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

// isAllowedSource tells whether a chunk is asked of a stager that has it: one of this
// failure domain, one that serves the version where none here does, or from
// another domain by the importer.
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

// plannedSource returns the source of a chunk that nobody near is known to have.
func (g *fetchScheduler) plannedSource(number int) string {
	question := g.misses[number] + 1
	switch {
	case question%backupFetchEvery == 0 && g.plan.backupOwners[number] == g.plan.own:
		return g.plan.own
	case question%ownerRequestEvery == 0:
		return g.plan.owners[number]
	default:
		return g.plan.source(number)
	}
}

// done notes how a question ended. One whose source did not answer has a new
// plan made.
func (g *fetchScheduler) done(s fetchStep, answered bool, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adjustWindow(answered, took)
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

// adjustWindow lets as many questions be under way as the link bears.
func (g *fetchScheduler) adjustWindow(answered bool, took time.Duration) {
	switch {
	case !answered || took > slowReply:
		g.window = 1
	case took < fastReply:
		g.window = min(g.window+1, g.maxWindow)
	}
}
