// ================================================================
// The replica selection policies, in one table. The daemon uses DefaultName;
// `make bench-route` compares it with the others in the same run.
// ================================================================

package route

import (
	"math/rand/v2"
	"time"

	"github.com/tidepost/tidepost/pkg/failuredomain"
)

// Choice holds the input of one selection.
type Choice struct {
	// Candidates are the replicas to select from, never empty.
	Candidates []*Replica
	// Prefix is the hash of the prompt's prefix; empty if there is none.
	Prefix string
	Now    time.Time
	Random *rand.Rand
	// RoundRobinCounter counts the selections, for round robin.
	RoundRobinCounter uint64
}

// Policy selects one of the candidates.
type Policy func(c Choice) *Replica

// Names of the policies.
const (
	RandomName        = "random"
	RoundRobinName    = "round_robin"
	LeastLoadedName   = "least_loaded"
	TwoChoicesName    = "two_choices"
	ScoreName         = "aibrix_score"
	PrefixBoundedName = "prefix_bounded"

	// DefaultName is the policy of the daemons.
	DefaultName = PrefixBoundedName
)

// Policies holds the policies by name.
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
	return c.Candidates[c.RoundRobinCounter%uint64(len(c.Candidates))]
}

// chooseLeastLoaded selects the least loaded replica, at random among equals.
func chooseLeastLoaded(c Choice) *Replica {
	return lowestCost(c, func(r *Replica) float64 { return r.Load() })
}

// chooseTwoChoices selects the less loaded of two random replicas (power of two choices),
// so that entries whose reports are equally old do not all select the same replica.
func chooseTwoChoices(c Choice) *Replica {
	a, b := chooseRandom(c), chooseRandom(c)
	if b.cost(c.Now) < a.cost(c.Now) {
		return b
	}
	return a
}

// cost returns the load after one more request, relative to the replica's slow start share.
func (r *Replica) cost(now time.Time) float64 { return (r.Load() + 1) / r.slowStartShare(now) }

// Constants of the AIBrix score, as its authors give them.
const (
	scoreCacheWeight  = 2.0
	scoreMinCacheFree = 0.10
)

// chooseScore selects by the score of AIBrix ("Heterogeneous GPU Inference", section
// Scoring): running requests over measured capacity, raised as the KV cache fills.
// Replicas with almost no free cache are skipped, unless all are in that state.
func chooseScore(c Choice) *Replica {
	mean := meanRate(c.Candidates)
	var eligible []*Replica
	for _, r := range c.Candidates {
		if r.CacheFree() >= scoreMinCacheFree {
			eligible = append(eligible, r)
		}
	}
	if len(eligible) == 0 {
		return lowestCost(c, func(r *Replica) float64 { return -r.CacheFree() })
	}
	c.Candidates = eligible
	return lowestCost(c, func(r *Replica) float64 {
		capacity := r.TokensPerSecond()
		if capacity == 0 {
			capacity = mean
		}
		used := 1 - r.CacheFree()
		return r.Load() / capacity * (1 + scoreCacheWeight*used*used)
	})
}

// meanRate returns the mean of the known output rates; 1 if none is known.
func meanRate(replicas []*Replica) float64 {
	sum, n := 0.0, 0
	for _, r := range replicas {
		if rate := r.TokensPerSecond(); rate > 0 {
			sum += rate
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// lowestCost returns the candidate with the lowest cost, at random among equals.
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
	// boundFactor times the mean load, plus boundSlack, is the highest load at which a
	// replica still gets the requests of its prefixes.
	boundFactor = 1.25
	// boundSlack keeps the bound above the load of single requests when almost nothing is
	// in flight.
	boundSlack = 2
)

// choosePrefixBounded sends requests with the same prefix to the same few replicas, in the
// order of a rendezvous hash, and skips replicas loaded above a bound around the mean: a
// prefix cache hit is worth a little queueing only.
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
