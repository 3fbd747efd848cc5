// ================================================================
// The router of one entry: the replicas it knows, and the choice among those
// that are candidates for a request.
// ================================================================

package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/vm"
)

// Router chooses replicas; safe for use by several goroutines.
type Router struct {
	policy Policy

	mu       sync.Mutex
	replicas map[vm.ID]*Replica
	random   *rand.Rand
	turn     uint64
}

// NewRouter returns a router with one of the Policies.
func NewRouter(policy string, seed uint64) *Router {
	return &Router{
		policy:   Policies[policy],
		replicas: map[vm.ID]*Replica{},
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Replica returns the replica of a VM, new when it is not known.
func (t *Router) Replica(id vm.ID, now time.Time) *Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil {
		r = NewReplica(id, now)
		t.replicas[id] = r
	}
	return r
}

// Remove drops a replica that is gone.
func (t *Router) Remove(id vm.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.replicas, id)
}

// Pick chooses among the candidates. Outliers are left out, unless that would
// leave nobody. It returns nil when every candidate is full: a request that
// would only wait in an engine's queue is better refused at once.
func (t *Router) Pick(candidates []*Replica, prefix string, now time.Time) *Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	open := withoutFullReplicas(withoutOutliers(candidates, now))
	if len(open) == 0 {
		return nil
	}
	return t.policy(Choice{
		Candidates: open,
		Prefix:     prefix,
		Now:        now,
		Random:     t.random,
		Turn:       t.turn,
	})
}

// withoutOutliers removes at most half of the candidates: when most of them
// fail, the fault is not theirs, and the rest must not be run over.
func withoutOutliers(candidates []*Replica, now time.Time) []*Replica {
	var good []*Replica
	for _, r := range candidates {
		if !r.Outlier(now) {
			good = append(good, r)
		}
	}
	if 2*len(good) < len(candidates) {
		return candidates
	}
	return good
}

func withoutFullReplicas(candidates []*Replica) []*Replica {
	var open []*Replica
	for _, r := range candidates {
		if !r.Full() {
			open = append(open, r)
		}
	}
	return open
}
