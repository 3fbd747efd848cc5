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
	// perSource bounds the questions to one stager under way, and perOrigin
	// those to the origin.
	perSource = 2
	perOrigin = 1
	// overdueAfter is how long no chunk may come before those that are missing
	// are asked for.
	overdueAfter = 300 * time.Millisecond
	// askOwnerEvery is the question about a missing chunk that goes to its owner
	// and not to the plan's source, and drawEvery the one in which the owner's
	// stand-in draws it from the origin. All others leave the origin alone: when it
	// was back after 6 s without it, 200 members drew what 5 had to.
	askOwnerEvery = 4
	drawEvery     = 16
	// firstAsks questions are under way at first, one more after each quick
	// answer up to the bound, and one alone after a slow one: what is under
	// way waits in the link, and requests to the engine behind it.
	firstAsks   = 2
	quickAnswer = 150 * time.Millisecond
	slowAnswer  = 300 * time.Millisecond
	// planLife is how long a plan is used before it is made anew.
	planLife = 500 * time.Millisecond
)

// step is one question: which chunk, and whom to ask.
type step struct {
	number int
	source string
}

// gatherer decides what one stager asks for a copy. It is safe for concurrent
// use.
type gatherer struct {
	copy     *weightsCopy
	makePlan func() plan

	mu        sync.Mutex
	plan      plan
	plannedAt time.Time
	underWay  map[int]bool
	load      map[string]int // questions under way by source
	allowed   int            // questions that may be under way
	most      int            // bounds allowed
	misses    map[int]int
	restsTo   map[int]time.Time
}

func newGatherer(c *weightsCopy, makePlan func() plan, most int) *gatherer {
	return &gatherer{
		copy: c, makePlan: makePlan, underWay: map[int]bool{}, load: map[string]int{},
		misses: map[int]int{}, restsTo: map[int]time.Time{}, allowed: firstAsks, most: most,
	}
}

// next returns the best question to ask now; false when there is none.
func (g *gatherer) next(now time.Time) (step, bool) {
	absent := g.copy.absent()
	rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.plannedAt) > planLife {
		g.plan, g.plannedAt = g.makePlan(), now
	}
	overdue := len(g.plan.near) > 0 || g.copy.restedFor(now) > overdueAfter
	if len(g.underWay) >= g.allowed {
		return step{}, false
	}
	var best step
	found, least := false, 0
	for _, number := range absent {
		if g.underWay[number] || now.Before(g.restsTo[number]) {
			continue
		}
		candidate, cost, ok := g.sourceOf(number, overdue)
		if ok && (!found || cost < least) {
			best, least, found = candidate, cost, true
		}
	}
	if found {
		g.underWay[best.number] = true
		g.load[best.source]++
	}
	return best, found
}

// sourceOf returns whom to ask for a chunk and what that costs; false when all
// who could be asked are asked enough, or nobody is known to have it and it is
// not overdue.
func (g *gatherer) sourceOf(number int, overdue bool) (best step, cost int, ok bool) {
	known := g.copy.knownAt(number)
	for _, address := range g.plan.near {
		known[address] = true
	}
	for address := range known {
		if address == g.plan.own || !g.mayAsk(address, number) || g.load[address] >= perSource {
			continue
		}
		if c := 2 * g.load[address]; !ok || c < cost {
			best, cost, ok = step{number, address}, c, true
		}
	}
	if ok || len(g.plan.near) > 0 {
		return best, cost, ok
	}
	if !overdue && g.plan.owners[number] != g.plan.own {
		return best, 0, false
	}
	source := g.planned(number)
	limit := perSource
	if source == g.plan.own {
		limit = perOrigin
	}
	return step{number, source}, 2*g.load[source] + 1, g.load[source] < limit
}

// mayAsk tells whether a chunk is asked of a stager that has it: one of this
// failure domain, one that serves the version where none here does, or from
// another domain by the importer.
func (g *gatherer) mayAsk(address string, number int) bool {
	own := g.plan.domain[g.plan.own]
	switch {
	case g.plan.domain[address] == "":
		return false
	case g.plan.domain[address] == own || len(g.plan.near) > 0:
		return true
	}
	return g.plan.importers[own][number] == g.plan.own
}

// planned returns the source of a chunk that nobody near is known to have.
func (g *gatherer) planned(number int) string {
	question := g.misses[number] + 1
	switch {
	case question%drawEvery == 0 && g.plan.standIns[number] == g.plan.own:
		return g.plan.own
	case question%askOwnerEvery == 0:
		return g.plan.owners[number]
	default:
		return g.plan.source(number)
	}
}

// done notes how a question ended. One whose source did not answer has a new
// plan made.
func (g *gatherer) done(s step, answered bool, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adapt(answered, took)
	delete(g.underWay, s.number)
	g.load[s.source]--
	if !answered {
		g.plannedAt = time.Time{}
	}
	if g.copy.get(s.number) == nil {
		g.misses[s.number]++
		g.restsTo[s.number] = now.Add(missPause)
		g.copy.unlearn(s.source, s.number)
	}
}

// adapt lets as many questions be under way as the link bears.
func (g *gatherer) adapt(answered bool, took time.Duration) {
	switch {
	case !answered || took > slowAnswer:
		g.allowed = 1
	case took < quickAnswer:
		g.allowed = min(g.allowed+1, g.most)
	}
}
