// ================================================================
// The ways to choose a replica, in one table. The daemon uses Default; the
// others stand beside it in `make bench-route`, in the same run.
// ================================================================

package route

import (
	"math/rand/v2"
	"time"

	"github.com/tidepost/tidepost/pkg/failuredomain"
)

// Choice is what a policy chooses by.
type Choice struct {
	// Candidates are the replicas that are ready, never empty.
	Candidates []*Replica
	// Prefix is the hash of the prompt's prefix; 0 when there is none.
	Prefix string
	Now    time.Time
	Random *rand.Rand
	// Turn counts the choices, for round robin.
	Turn uint64
}

// Policy picks one of the candidates.
type Policy func(c Choice) *Replica

// Names of the policies.
const (
	RandomName        = "random"
	RoundRobinName    = "round_robin"
	LeastLoadedName   = "least_loaded"
	TwoChoicesName    = "two_choices"
	ScoreName         = "aibrix_score"
	PrefixBoundedName = "prefix_bounded"

	// DefaultName is what the daemons use.
	DefaultName = PrefixBoundedName
)

// Policies is the table of policies.
var Policies = map[string]Policy{
	RandomName:        chooseRandom,
	RoundRobinName:    chooseRoundRobin,
	LeastLoadedName:   chooseLeastLoaded,
	TwoChoicesName:    chooseTwoChoices,
	ScoreName:         chooseScore,
	PrefixBoundedName: choosePrefixBounded,
}

func chooseRandom(c Choice) *Replica { return c.Candidates[c.Random.IntN(len(c.Candidates))] }

func chooseRoundRobin(c Choice) *Replica {
	return c.Candidates[c.Turn%uint64(len(c.Candidates))]
}

// chooseLeastLoaded takes the least loaded, at random among equals.
func chooseLeastLoaded(c Choice) *Replica {
	return lowestCost(c, func(r *Replica) float64 { return r.Load() })
}

// chooseTwoChoices takes the less loaded of two at random, so that entries whose
// reports are equally old do not all run to the same replica.
func chooseTwoChoices(c Choice) *Replica {
	a, b := chooseRandom(c), chooseRandom(c)
	if b.cost(c.Now) < a.cost(c.Now) {
		return b
	}
	return a
}

// cost is the load in units of what a warm replica is offered.
func (r *Replica) cost(now time.Time) float64 { return (r.Load() + 1) / r.slowStartShare(now) }

// Constants of the score, as its authors give them.
const (
	scoreCacheWeight  = 2.0
	scoreMinCacheFree = 0.10
)

// chooseScore is the score of AIBrix ("Heterogeneous GPU Inference", section
// Scoring): running requests over measured capacity, raised as the cache
// fills; replicas with almost no free cache are passed over.
func chooseScore(c Choice) *Replica {
	mean := meanRate(c.Candidates)
	var open []*Replica
	for _, r := range c.Candidates {
		if r.CacheFree() >= scoreMinCacheFree {
			open = append(open, r)
		}
	}
	if len(open) == 0 {
		return lowestCost(c, func(r *Replica) float64 { return -r.CacheFree() })
	}
	c.Candidates = open
	return lowestCost(c, func(r *Replica) float64 {
		capacity := r.Rate()
		if capacity == 0 {
			capacity = mean
		}
		used := 1 - r.CacheFree()
		return r.Load() / capacity * (1 + scoreCacheWeight*used*used)
	})
}

func meanRate(replicas []*Replica) float64 {
	sum, n := 0.0, 0
	for _, r := range replicas {
		if rate := r.Rate(); rate > 0 {
			sum += rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

func lowestCost(c Choice, cost func(*Replica) float64) *Replica {
	var best *Replica
	bestCost, ties := 0.0, 0
	for _, r := range c.Candidates {
		v := cost(r)
		switch {
		case best == nil || v < bestCost:
			best, bestCost, ties = r, v, 1
		case v == bestCost:
			ties++
			if c.Random.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

const (
	// boundFactor is how far above the mean load a replica may be and still
	// get the requests of its prefixes.
	boundFactor = 1.25
	// boundSlack is added to it, so that the bound means something when almost
	// nothing is in flight.
	boundSlack = 2
)

// choosePrefixBounded sends requests with one prefix to the same few replicas,
// in the order of a rendezvous hash, and skips those that are loaded above a
// bound around the mean: the cache is worth a little queueing and no more.
func choosePrefixBounded(c Choice) *Replica {
	if c.Prefix == "" {
		return chooseTwoChoices(c)
	}
	mean := 0.0
	for _, r := range c.Candidates {
		mean += r.Load()
	}
	mean /= float64(len(c.Candidates))
	bound := boundFactor*mean + boundSlack
	var best *Replica
	var bestRank uint64
	for _, r := range c.Candidates {
		if r.Load()/r.slowStartShare(c.Now) > bound {
			continue
		}
		if rank := failuredomain.Rank(c.Prefix, string(r.ID())); best == nil || rank > bestRank {
			best, bestRank = r, rank
		}
	}
	if best == nil {
		return chooseTwoChoices(c)
	}
	return best
}
