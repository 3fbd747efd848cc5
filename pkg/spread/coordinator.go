// ================================================================
// The coordinator of one copy in one failure domain. It hands out neighbours
// and leases, and holds no state that cannot be lost: the agents' next reports
// rebuild it on whichever entry takes over.
//
// Each chunk belongs to one of the domains that take part, by rendezvous hash.
// The owner draws it from the origin; the others import it from wherever it is
// held by then. A domain that is cut off, or whose owner is, finds no holder
// and draws for itself after a while: that costs origin bytes, and time only
// where there was none to win.
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
	// DefaultNeighbours is how many neighbours an agent gets.
	DefaultNeighbours = 24
	// DefaultOriginFetches is how many draws all domains together have under way.
	DefaultOriginFetches = 32
	// minOriginFetches is how many of them a domain has at least.
	minOriginFetches = 2
	// DefaultLeaseDuration is how long a lease lasts without the chunk's arrival.
	DefaultLeaseDuration = 20 * time.Second
	// leasesPerAgent bounds the leases that one agent holds.
	leasesPerAgent = 4
	// agentTimeout is when an agent that reports no more is dropped, and its
	// leases given out again. Agents report every second.
	agentTimeout = 3500 * time.Millisecond
	// completeAgentTimeout is the same for agents whose copy is whole: they report less
	// often and hold no leases.
	completeAgentTimeout = 13 * time.Second
	// startupDelay is how long a new coordinator listens before it draws, so that it
	// hears of the other domains and of the agents' reports.
	startupDelay = 300 * time.Millisecond
	// stuckTimeout is when a domain that brings in nothing loses its chunks.
	stuckTimeout = 10 * time.Second
	// soleHolderTimeout is how long a chunk may stay with its first holder.
	soleHolderTimeout = 40 * time.Second
	// domainTimeout is when another domain that is not heard of is dropped.
	domainTimeout = 10 * time.Second
)

// CoordinatorConfig are the constants of a coordinator.
type CoordinatorConfig struct {
	Domain        string
	Digest        contract.Digest
	Total         int
	Neighbours    int
	OriginFetches int
	LeaseDuration time.Duration
	Random        *rand.Rand
}

// member is an agent that has reported.
type member struct {
	identity   vm.Identity
	held       Bitmap
	incomplete bool
	lastSeen   time.Time
	neighbours []vm.ID
	leases     int
}

// lease lets one agent bring one chunk into the domain.
type lease struct {
	agent      vm.ID
	expires    time.Time
	fromOrigin bool
	holder     vm.Identity
}

// remoteDomain is what another domain's coordinator has said.
type remoteDomain struct {
	sources  contract.DomainSources
	lastSeen time.Time
	// heldCount is how many chunks the domain held, and progressed when that last
	// grew.
	heldCount    int
	progressedAt time.Time
}

// Coordinator decides for one copy in one failure domain. It is used by one
// goroutine.
type Coordinator struct {
	config       CoordinatorConfig
	members      map[vm.ID]*member
	leases       map[int]lease
	holderCounts []int       // per chunk, how many members hold it
	firstHeldAt  []time.Time // per chunk, when its first copy came
	remotes      map[string]remoteDomain
	owners       []string // per chunk, the domain that draws it
	ownerKey     string   // those that owners was made for
	ownerDomains int      // how many they are
	originLeases int      // how many draw leases are out
	started      time.Time
}

// NewCoordinator returns a coordinator that knows of nobody yet.
func NewCoordinator(c CoordinatorConfig, now time.Time) *Coordinator {
	if c.Neighbours == 0 {
		c.Neighbours = DefaultNeighbours
	}
	if c.OriginFetches == 0 {
		c.OriginFetches = DefaultOriginFetches
	}
	if c.LeaseDuration == 0 {
		c.LeaseDuration = DefaultLeaseDuration
	}
	return &Coordinator{
		config:       c,
		members:      map[vm.ID]*member{},
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
	m := c.update(r, now)
	c.expire(now)
	draw, imports := c.leasesOf(m, now)
	neighbours := c.neighboursOf(m)
	if NeighbourHash(neighbours) == r.Neighbours() {
		// Two dozen identities a second to each agent were most of what a
		// coordinator sent.
		return contract.NewSpreadPlan(nil, true, draw, imports)
	}
	return contract.NewSpreadPlan(neighbours, false, draw, imports)
}

// NeighbourHash tells one set of neighbours from another, whatever their order.
func NeighbourHash(neighbours []vm.Identity) uint64 {
	hash := uint64(0)
	for _, n := range neighbours {
		hash += failuredomain.Rank(string(n.ID()), strconv.FormatUint(n.Incarnation(), 16))
	}
	return hash
}

func (c *Coordinator) update(r contract.SpreadReport, now time.Time) *member {
	id := r.From().ID()
	m := c.members[id]
	if m != nil && !m.identity.SameIncarnation(r.From()) {
		c.dropMember(id)
		m = nil
	}
	if m == nil {
		m = &member{identity: r.From(), held: NewBitmap(c.config.Total)}
		c.members[id] = m
	}
	m.identity, m.incomplete, m.lastSeen = r.From(), r.Incomplete(), now
	c.updateHeld(m, BitmapOf(r.Held(), c.config.Total), now)
	for _, chunk := range r.Released() {
		c.releaseLease(int(chunk), id)
	}
	return m
}

func (c *Coordinator) updateHeld(m *member, held Bitmap, now time.Time) {
	for i := range c.config.Total {
		was, is := m.held.Has(i), held.Has(i)
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
		c.releaseLease(i, m.identity.ID())
	}
	m.held = held
}

// releaseLease ends the lease of a chunk if the agent holds it.
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
	if m := c.members[l.agent]; m != nil {
		m.leases--
	}
}

func (m *member) timeout() time.Duration {
	if m.incomplete {
		return agentTimeout
	}
	return completeAgentTimeout
}

// Incomplete tells whether an agent of the domain lacks chunks.
func (c *Coordinator) Incomplete() bool {
	for _, m := range c.members {
		if m.incomplete {
			return true
		}
	}
	return false
}

// expire drops agents and domains that are heard of no more, and their leases.
func (c *Coordinator) expire(now time.Time) {
	for id, m := range c.members {
		if now.Sub(m.lastSeen) > m.timeout() {
			c.dropMember(id)
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

func (c *Coordinator) dropMember(id vm.ID) {
	m := c.members[id]
	if m == nil {
		return
	}
	for i := range c.config.Total {
		if m.held.Has(i) {
			c.holderCounts[i]--
		}
	}
	for chunk, l := range c.leases {
		if l.agent == id {
			c.endLease(chunk, l)
		}
	}
	delete(c.members, id)
}

// ----------------------------------------------------------------
// Neighbours

// neighboursOf keeps an agent's neighbours, and fills up for those that went.
// A random set keeps the domain connected without anybody knowing all of it.
func (c *Coordinator) neighboursOf(m *member) []vm.Identity {
	var kept []vm.ID
	chosen := map[vm.ID]bool{m.identity.ID(): true}
	for _, id := range m.neighbours {
		if c.members[id] != nil {
			kept = append(kept, id)
			chosen[id] = true
		}
	}
	if len(kept) < c.config.Neighbours {
		kept = append(kept, c.pickMembers(chosen, c.config.Neighbours-len(kept))...)
	}
	m.neighbours = kept
	// What they hold comes from the neighbours themselves, sooner.
	identities := make([]vm.Identity, 0, len(kept))
	for _, id := range kept {
		identities = append(identities, c.members[id].identity)
	}
	return identities
}

func (c *Coordinator) pickMembers(not map[vm.ID]bool, n int) []vm.ID {
	var candidates []vm.ID
	for id := range c.members {
		if !not[id] {
			candidates = append(candidates, id)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i] < candidates[j] })
	c.config.Random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	return candidates[:min(n, len(candidates))]
}
