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
	// perPlan bounds the questions under way for chunks that nobody near is
	// known to have: they may wait for long.
	perPlan = 6
	// missesBeforeOrigin is how often a chunk is asked of others in vain before
	// it is drawn here.
	missesBeforeOrigin = 5
	// planFor is how long a plan is used before it is made anew.
	planLife = 500 * time.Millisecond
)

// step is one question: which chunk, and whom to ask.
type step struct {
	number int
	source string
	// planned says that the plan named the source; it may not have the chunk.
	planned bool
}

// gatherer decides what one stager asks for a copy. It is safe for concurrent
// use.
type gatherer struct {
	copy     *weightsCopy
	makePlan func() plan

	mu       sync.Mutex
	plan     plan
	planned  time.Time
	underWay map[int]bool
	load     map[string]int // questions under way by source
	waiting  int            // questions under way to sources that the plan named
	misses   map[int]int
	restsTo  map[int]time.Time
}

func newGatherer(c *weightsCopy, makePlan func() plan) *gatherer {
	return &gatherer{
		copy: c, makePlan: makePlan, underWay: map[int]bool{}, load: map[string]int{},
		misses: map[int]int{}, restsTo: map[int]time.Time{},
	}
}

// next returns the best question to ask now; false when there is none.
func (g *gatherer) next(now time.Time) (step, bool) {
	absent := g.copy.absent()
	rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.planned) > planLife {
		g.plan, g.planned = g.makePlan(), now
	}
	var best step
	found, least := false, 0
	for _, number := range absent {
		if g.underWay[number] || now.Before(g.restsTo[number]) {
			continue
		}
		candidate, cost, ok := g.sourceOf(number)
		if ok && (!found || cost < least) {
			best, least, found = candidate, cost, true
		}
	}
	if found {
		g.underWay[best.number] = true
		g.load[best.source]++
		if best.planned {
			g.waiting++
		}
	}
	return best, found
}

// sourceOf returns whom to ask for a chunk and what that costs; false when all
// who could be asked are asked enough.
func (g *gatherer) sourceOf(number int) (best step, cost int, ok bool) {
	for address := range g.copy.knownAt(number) {
		if address == g.plan.own || g.plan.domain[address] != g.plan.domain[g.plan.own] || g.load[address] >= perSource {
			continue
		}
		if c := 2 * g.load[address]; !ok || c < cost {
			best, cost, ok = step{number, address, false}, c, true
		}
	}
	if ok {
		return best, cost, true
	}
	source := g.plan.source(number)
	if g.misses[number] >= missesBeforeOrigin && len(g.plan.holders) == 0 {
		source = g.plan.own
	}
	if source == g.plan.own {
		return step{number, source, false}, 0, g.load[source] < perOrigin
	}
	return step{number, source, true}, 2*g.load[source] + 1, g.load[source] < perSource && g.waiting < perPlan
}

// done notes how a question ended. One whose source did not answer has a new
// plan made.
func (g *gatherer) done(s step, answered bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.underWay, s.number)
	g.load[s.source]--
	if s.planned {
		g.waiting--
	}
	if !answered {
		g.planned = time.Time{}
	}
	if g.copy.get(s.number) == nil {
		g.misses[s.number]++
		g.restsTo[s.number] = now.Add(missPause)
		g.copy.unlearn(s.source, s.number)
	}
}
