// ================================================================
// The exchange between the coordinators of different failure domains. Each
// sends one holder of each chunk, and whether its domain still lacks chunks.
// ================================================================

package spread

import (
	"sort"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/vm"
)

// UpdateRemote records a message of the coordinator of another domain.
func (c *Coordinator) UpdateRemote(s contract.DomainSources, now time.Time) {
	if s.Domain() == c.config.Domain {
		return
	}
	r, known := c.remotes[s.Domain()]
	held := 0
	for _, position := range s.Holders() {
		if position > 0 {
			held++
		}
	}
	if !known || held > r.heldCount {
		r.progressedAt = now
	}
	r.sources, r.lastSeen, r.heldCount = s, now, held
	c.remotes[s.Domain()] = r
}

// Sources returns the message to the coordinators of other domains. It names one random
// holder of each chunk, so that imports spread over all holders.
func (c *Coordinator) Sources(now time.Time) contract.DomainSources {
	c.expire(now)
	ids := make([]vm.ID, 0, len(c.agents))
	incomplete := false
	for id, a := range c.agents {
		ids = append(ids, id)
		incomplete = incomplete || a.incomplete
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	agents := make([]vm.Identity, 0, len(ids))
	for _, id := range ids {
		agents = append(agents, c.agents[id].identity)
	}
	holders := make([]uint16, c.config.Total)
	for chunk := range holders {
		holders[chunk] = c.randomHolder(chunk, ids)
	}
	return contract.NewDomainSources(c.config.Digest, c.config.Domain, incomplete, agents, holders)
}

// randomHolder returns the position of a random holder of a chunk in ids plus one, or 0 if
// the domain does not hold the chunk.
func (c *Coordinator) randomHolder(chunk int, ids []vm.ID) uint16 {
	if c.holderCounts[chunk] == 0 {
		return 0
	}
	start := c.config.Random.IntN(len(ids))
	for k := range ids {
		position := (start + k) % len(ids)
		if c.agents[ids[position]].held.Has(chunk) {
			return uint16(position + 1)
		}
	}
	return 0
}
