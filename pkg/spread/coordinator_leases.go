// ================================================================
// Leases: who brings which chunk into the failure domain, from the origin or
// from another domain. Each chunk belongs to one of the domains that take part,
// by rendezvous hash; the owner draws it, the others import it.
// ================================================================

package spread

import (
	"sort"
	"strconv"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failuredomain"
	"github.com/tidepost/tidepost/pkg/vm"
)

// leasesOf returns the agent's leases, after adding what it may have more. All of
// them are sent each time, so that a lost answer loses no lease.
func (c *Coordinator) leasesOf(m *member, now time.Time) ([]uint32, []contract.Import) {
	if m.incomplete {
		c.addLeases(m, now)
	}
	var draw []uint32
	var imports []contract.Import
	for chunk, l := range c.leases {
		switch {
		case l.agent != m.identity.ID():
		case l.fromOrigin:
			draw = append(draw, uint32(chunk))
		default:
			imports = append(imports, contract.NewImport(uint32(chunk), l.holder))
		}
	}
	sort.Slice(draw, func(i, j int) bool { return draw[i] < draw[j] })
	sort.Slice(imports, func(i, j int) bool { return imports[i].Index() < imports[j].Index() })
	return draw, imports
}

// addLeases walks the chunks from a random place, so that domains and agents
// do not all begin with the first.
func (c *Coordinator) addLeases(m *member, now time.Time) {
	c.assignOwners(now)
	start := c.config.Random.IntN(max(c.config.Total, 1))
	for k := range c.config.Total {
		if m.leases >= leasesPerAgent {
			return
		}
		chunk := (start + k) % c.config.Total
		if m.held.Has(chunk) || !c.missing(chunk, now) {
			continue
		}
		if _, taken := c.leases[chunk]; taken {
			continue
		}
		c.leaseChunk(m, chunk, now)
	}
}

// missing tells whether the domain has to bring the chunk in. One that stays
// with its first holder counts as missing again: a VM whose link has stalled
// takes chunks and gives none.
func (c *Coordinator) missing(chunk int, now time.Time) bool {
	return c.holderCounts[chunk] == 0 || c.holderCounts[chunk] == 1 && now.Sub(c.firstHeldAt[chunk]) > soleHolderTimeout
}

func (c *Coordinator) leaseChunk(m *member, chunk int, now time.Time) {
	l := lease{agent: m.identity.ID(), expires: now.Add(c.config.LeaseDuration)}
	if c.mayFetchFromOrigin(chunk, now) {
		if c.originLeases >= max(minOriginFetches, c.config.OriginFetches/c.ownerDomains) {
			return
		}
		l.fromOrigin = true
		c.originLeases++
	} else {
		holder, ok := c.remoteHolder(chunk)
		if !ok {
			return
		}
		l.holder = holder
	}
	c.leases[chunk] = l
	m.leases++
}

// mayFetchFromOrigin tells whether the domain draws the chunk itself: it owns it, and
// nobody elsewhere has it already.
func (c *Coordinator) mayFetchFromOrigin(chunk int, now time.Time) bool {
	if now.Sub(c.started) < startupDelay {
		return false
	}
	if c.owners[chunk] != c.config.Domain {
		return false
	}
	_, held := c.remoteHolder(chunk)
	return !held
}

func (c *Coordinator) remoteHolder(chunk int) (vm.Identity, bool) {
	var candidates []vm.Identity
	for _, domain := range c.remoteDomains() {
		s := c.remotes[domain].sources
		if chunk >= len(s.Holders()) {
			continue
		}
		place := int(s.Holders()[chunk])
		if place > 0 && place <= len(s.Agents()) {
			candidates = append(candidates, s.Agents()[place-1])
		}
	}
	if len(candidates) == 0 {
		return vm.Identity{}, false
	}
	return candidates[c.config.Random.IntN(len(candidates))], true
}

func (c *Coordinator) remoteDomains() []string {
	domains := make([]string, 0, len(c.remotes))
	for domain := range c.remotes {
		domains = append(domains, domain)
	}
	sort.Strings(domains)
	return domains
}

// assignOwners gives each chunk to one of the domains that still want chunks
// and get some. One that is stuck (it may be heard and yet not reach the
// origin) loses its chunks to the others.
func (c *Coordinator) assignOwners(now time.Time) {
	taking := []string{c.config.Domain}
	for _, domain := range c.remoteDomains() {
		r := c.remotes[domain]
		if r.sources.Incomplete() && now.Sub(r.progressedAt) < stuckTimeout {
			taking = append(taking, domain)
		}
	}
	sort.Strings(taking)
	key := ""
	for _, domain := range taking {
		key += domain + ","
	}
	if key == c.ownerKey {
		return
	}
	c.ownerKey, c.ownerDomains = key, len(taking)
	c.owners = make([]string, c.config.Total)
	for chunk := range c.owners {
		c.owners[chunk] = owner(c.config.Digest, chunk, taking)
	}
}

func owner(digest contract.Digest, chunk int, domains []string) string {
	subject := digest.Short() + "/" + strconv.Itoa(chunk)
	best, bestRank := "", uint64(0)
	for _, domain := range domains {
		if rank := failuredomain.Rank(subject, domain); best == "" || rank > bestRank {
			best, bestRank = domain, rank
		}
	}
	return best
}
