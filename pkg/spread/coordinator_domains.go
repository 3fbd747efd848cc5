// ================================================================
// What the coordinators of different failure domains tell each other: one
// holder for each chunk, and whether the domain still wants chunks.
// ================================================================

package spread

import (
	"sort"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/vm"
)

// UpdateRemote takes in what the coordinator of another domain says.
func (c *Coordinator) UpdateRemote(s contract.DomainSources, now time.Time) {
	if s.Domain() == c.config.Domain {
		return
	}
	r, known := c.remotes[s.Domain()]
	held := 0
	for _, place := range s.Holders() {
		if place > 0 {
			held++
		}
	}
	if !known || held > r.heldCount {
		r.progressedAt = now
	}
	r.sources, r.lastSeen, r.heldCount = s, now, held
	c.remotes[s.Domain()] = r
}

// Sources returns what the coordinators of other domains are told: one holder
// for each chunk, at random, so that imports spread over all holders.
func (c *Coordinator) Sources(now time.Time) contract.DomainSources {
	c.expire(now)
	ids := make([]vm.ID, 0, len(c.members))
	wants := false
	for id, m := range c.members {
		ids = append(ids, id)
		wants = wants || m.incomplete
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	agents := make([]vm.Identity, 0, len(ids))
	for _, id := range ids {
		agents = append(agents, c.members[id].identity)
	}
	holders := make([]uint16, c.config.Total)
	for chunk := range holders {
		holders[chunk] = c.randomHolder(chunk, ids)
	}
	return contract.NewDomainSources(c.config.Digest, c.config.Domain, wants, agents, holders)
}

func (c *Coordinator) randomHolder(chunk int, ids []vm.ID) uint16 {
	if c.holderCounts[chunk] == 0 {
		return 0
	}
	start := c.config.Random.IntN(len(ids))
	for k := range ids {
		place := (start + k) % len(ids)
		if c.members[ids[place]].held.Has(chunk) {
			return uint16(place + 1)
		}
	}
	return 0
}
