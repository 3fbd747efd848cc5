// ================================================================
// The coordinator of one copy in one failure domain. It assigns neighbours and
// leases to agents. Its state may be lost: the agents' next reports rebuild it
// on the entry that takes over.
//
// Rendezvous hashing assigns each chunk to one of the domains that fetch the
// copy. The owner fetches it from the origin, and the others import it from a
// domain that holds it. A domain that is partitioned from the others or from a
// chunk's owner later fetches the chunk from the origin itself, which costs
// origin traffic but no time that could have been saved.
// ================================================================

package spread

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failuredomain"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Defaults of a coordinator.
const (
	// DefaultNeighbours is the number of neighbours of an agent.
	DefaultNeighbours = 24
	// DefaultMaxOriginFetches is how many chunks all domains together fetch from the origin
	// at one time.
	DefaultMaxOriginFetches = 32
	// minOriginFetches is the least number of these that each domain may have.
	minOriginFetches = 2
	// DefaultLeaseDuration is how long a lease lasts if the chunk does not arrive.
	DefaultLeaseDuration = 20 * time.Second
	// leasesPerAgent is the most leases that one agent holds at one time.
	leasesPerAgent = 4
	// agentTimeout is how long an agent may send no report before it is dropped and its
	// leases are reassigned. Agents report every second.
	agentTimeout = 3500 * time.Millisecond
	// completeAgentTimeout is the same for agents whose copy is complete: they report less
	// often and hold no leases.
	completeAgentTimeout = 13 * time.Second
	// startupDelay is how long a new coordinator waits before it grants origin fetches, so
	// that it first receives the messages of the other domains and its agents.
	startupDelay = 300 * time.Millisecond
	// stuckTimeout is how long a domain may gain no chunk before it loses the ownership of
	// its chunks.
	stuckTimeout = 10 * time.Second
	// soleHolderTimeout is how long a chunk may have a single holder in the domain before
	// it is brought in again.
	soleHolderTimeout = 40 * time.Second
	// domainTimeout is how long another domain may send nothing before it is dropped.
	domainTimeout = 10 * time.Second
)

// CoordinatorConfig is the configuration of a coordinator. Zero values of Neighbours,
// MaxOriginFetches and LeaseDuration select the defaults. Total is the number of chunks.
type CoordinatorConfig struct {
	Domain           string
	Digest           contract.Digest
	Total            int
	Neighbours       int
	MaxOriginFetches int
	LeaseDuration    time.Duration
	Random           *rand.Rand
}

// agentState is the state of an agent that has reported.
type agentState struct {
	identity   vm.Identity
	held       Bitmap
	incomplete bool
	lastSeen   time.Time
	neighbours []vm.ID
	leases     int
}

// lease allows one agent to bring one chunk into the domain, from the origin or from a
// holder in another domain.
type lease struct {
	agent      vm.ID
	expires    time.Time
	fromOrigin bool
	holder     vm.Identity
}

// remoteDomain is the last message from the coordinator of another domain.
type remoteDomain struct {
	sources  contract.DomainSources
	lastSeen time.Time
	// heldCount is how many chunks the domain holds, and progressedAt is when that last
	// grew.
	heldCount    int
	progressedAt time.Time
}

// Coordinator assigns the neighbours and leases for one copy in one failure domain. It is
// not safe for concurrent use.
type Coordinator struct {
	config       CoordinatorConfig
	agents       map[vm.ID]*agentState
	leases       map[int]lease
	holderCounts []int       // per chunk, how many agents hold it
	firstHeldAt  []time.Time // per chunk, when it got its first holder
	remotes      map[string]remoteDomain
	owners       []string // per chunk, the domain that fetches it from the origin
	ownerKey     string   // the domains that owners was computed for
	ownerDomains int      // the number of these domains
	originLeases int      // the number of origin leases that agents hold
	started      time.Time
}

// NewCoordinator returns a coordinator without agents.
func NewCoordinator(c CoordinatorConfig, now time.Time) *Coordinator {
	if c.Neighbours == 0 {
		c.Neighbours = DefaultNeighbours
	}
	if c.MaxOriginFetches == 0 {
		c.MaxOriginFetches = DefaultMaxOriginFetches
	}
	if c.LeaseDuration == 0 {
		c.LeaseDuration = DefaultLeaseDuration
	}
	return &Coordinator{
		config:       c,
		agents:       map[vm.ID]*agentState{},
		leases:       map[int]lease{},
		holderCounts: make([]int, c.Total),
		firstHeldAt:  make([]time.Time, c.Total),
		remotes:      map[string]remoteDomain{},
		started:      now,
	}
}

// ----------------------------------------------------------------
// Reports of agents

// Report takes an agent's report and returns its plan.
func (c *Coordinator) Report(r contract.SpreadReport, now time.Time) contract.SpreadPlan {
	a := c.update(r, now)
	c.expire(now)
	originChunks, imports := c.leasesOf(a, now)
	neighbours := c.neighboursOf(a)
	if NeighbourHash(neighbours) == r.Neighbours() {
		// Unchanged neighbours are not sent again: two dozen identities per second and
		// agent were most of a coordinator's traffic.
		return contract.NewSpreadPlan(nil, true, originChunks, imports)
	}
	return contract.NewSpreadPlan(neighbours, false, originChunks, imports)
}

// NeighbourHash returns a hash of a set of neighbours that does not depend on their order.
func NeighbourHash(neighbours []vm.Identity) uint64 {
	hash := uint64(0)
	for _, n := range neighbours {
		hash += failuredomain.Rank(string(n.ID()), strconv.FormatUint(n.Incarnation(), 16))
	}
	return hash
}

func (c *Coordinator) update(r contract.SpreadReport, now time.Time) *agentState {
	id := r.From().ID()
	a := c.agents[id]
	if a != nil && !a.identity.SameIncarnation(r.From()) {
		c.dropAgent(id)
		a = nil
	}
	if a == nil {
		a = &agentState{identity: r.From(), held: NewBitmap(c.config.Total)}
		c.agents[id] = a
	}
	a.identity, a.incomplete, a.lastSeen = r.From(), r.Incomplete(), now
	c.updateHeld(a, BitmapOf(r.Held(), c.config.Total), now)
	for _, chunk := range r.Released() {
		c.releaseLease(int(chunk), id)
	}
	return a
}

func (c *Coordinator) updateHeld(a *agentState, held Bitmap, now time.Time) {
	for i := range c.config.Total {
		was, is := a.held.Has(i), held.Has(i)
		if was == is {
			continue
		}
		if !is {
			c.holderCounts[i]--
			continue
		}
		c.holderCounts[i]++
		if c.holderCounts[i] == 1 {
			c.firstHeldAt[i] = now
		}
		c.releaseLease(i, a.identity.ID())
	}
	a.held = held
}

// releaseLease ends the lease of a chunk if the given agent holds it.
func (c *Coordinator) releaseLease(chunk int, agent vm.ID) {
	if l, ok := c.leases[chunk]; ok && l.agent == agent {
		c.endLease(chunk, l)
	}
}

func (c *Coordinator) endLease(chunk int, l lease) {
	delete(c.leases, chunk)
	if l.fromOrigin {
		c.originLeases--
	}
	if a := c.agents[l.agent]; a != nil {
		a.leases--
	}
}

func (a *agentState) timeout() time.Duration {
	if a.incomplete {
		return agentTimeout
	}
	return completeAgentTimeout
}

// Incomplete reports whether an agent of the domain lacks chunks.
func (c *Coordinator) Incomplete() bool {
	for _, a := range c.agents {
		if a.incomplete {
			return true
		}
	}
	return false
}

// expire drops agents and domains that have timed out, and expired leases.
func (c *Coordinator) expire(now time.Time) {
	for id, a := range c.agents {
		if now.Sub(a.lastSeen) > a.timeout() {
			c.dropAgent(id)
		}
	}
	for chunk, l := range c.leases {
		if now.After(l.expires) {
			c.endLease(chunk, l)
		}
	}
	for domain, r := range c.remotes {
		if now.Sub(r.lastSeen) > domainTimeout {
			delete(c.remotes, domain)
		}
	}
}

func (c *Coordinator) dropAgent(id vm.ID) {
	a := c.agents[id]
	if a == nil {
		return
	}
	for i := range c.config.Total {
		if a.held.Has(i) {
			c.holderCounts[i]--
		}
	}
	for chunk, l := range c.leases {
		if l.agent == id {
			c.endLease(chunk, l)
		}
	}
	delete(c.agents, id)
}

// ----------------------------------------------------------------
// Neighbours

// neighboursOf keeps the neighbours of an agent that still report and replaces the
// others at random. Random neighbours keep the domain connected without any agent knowing
// all others.
func (c *Coordinator) neighboursOf(a *agentState) []vm.Identity {
	var kept []vm.ID
	chosen := map[vm.ID]bool{a.identity.ID(): true}
	for _, id := range a.neighbours {
		if c.agents[id] != nil {
			kept = append(kept, id)
			chosen[id] = true
		}
	}
	if len(kept) < c.config.Neighbours {
		kept = append(kept, c.pickAgents(chosen, c.config.Neighbours-len(kept))...)
	}
	a.neighbours = kept
	// The plan does not say what the neighbours hold: they announce it to the agent directly, which
	// is faster.
	identities := make([]vm.Identity, 0, len(kept))
	for _, id := range kept {
		identities = append(identities, c.agents[id].identity)
	}
	return identities
}

func (c *Coordinator) pickAgents(excluded map[vm.ID]bool, n int) []vm.ID {
	var candidates []vm.ID
	for id := range c.agents {
		if !excluded[id] {
			candidates = append(candidates, id)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i] < candidates[j] })
	c.config.Random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(n, len(candidates))]
}
