// ================================================================
// Router of one entry: the table of replicas, and the selection among the candidates for a
// request.
// ================================================================

package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/vm"
)

// Router selects replicas. It is safe for concurrent use.
type Router struct {
	policy Policy

	mu       sync.Mutex
	replicas map[vm.ID]*Replica
	random   *rand.Rand
	turn     uint64
}

// NewRouter returns a router with the policy of that name.
func NewRouter(policy string, seed uint64) *Router {
	return &Router{
		policy:   Policies[policy],
		replicas: map[vm.ID]*Replica{},
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Replica returns the replica of a VM, and adds it if it is unknown.
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

// Remove removes the replica of a VM.
func (t *Router) Remove(id vm.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.replicas, id)
}

// Pick selects one of the candidates. Outliers are left out, unless they are more than
// half of the candidates. It returns nil when every remaining candidate is full, because
// an immediate refusal is better than a wait in an engine's queue.
func (t *Router) Pick(candidates []*Replica, prefix string, now time.Time) *Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	available := withoutFullReplicas(withoutOutliers(candidates, now))
	if len(available) == 0 {
		return nil
	}
	return t.policy(Choice{
		Candidates:        available,
		Prefix:            prefix,
		Now:               now,
		Random:            t.random,
		RoundRobinCounter: t.turn,
	})
}

// withoutOutliers removes the outliers, at most half of the candidates: when most of them
// fail, the cause is elsewhere, and the rest must not be overloaded.
func withoutOutliers(candidates []*Replica, now time.Time) []*Replica {
	var healthy []*Replica
	for _, r := range candidates {
		if !r.Outlier(now) {
			healthy = append(healthy, r)
		}
	}
	if 2*len(healthy) < len(candidates) {
		return candidates
	}
	return healthy
}

// withoutFullReplicas removes the replicas at their limit.
func withoutFullReplicas(candidates []*Replica) []*Replica {
	var available []*Replica
	for _, r := range candidates {
		if !r.Full() {
			available = append(available, r)
		}
	}
	return available
}
