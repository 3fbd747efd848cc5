// ================================================================
// Leases decide which agent brings which chunk into the failure domain, from
// the origin or from another domain, so that each chunk enters the domain once.
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

// leasesOf grants an incomplete agent further leases and returns all that it holds, as the
// chunks to fetch from the origin and the imports. Each response carries all leases, so
// that a lost response loses none.
func (c *Coordinator) leasesOf(a *agentState, now time.Time) ([]uint32, []contract.Import) {
	if a.incomplete {
		c.addLeases(a, now)
	}
	var originChunks []uint32
	var imports []contract.Import
	for chunk, l := range c.leases {
		switch {
		case l.agent != a.identity.ID():
		case l.fromOrigin:
			originChunks = append(originChunks, uint32(chunk))
		default:
			imports = append(imports, contract.NewImport(uint32(chunk), l.holder))
		}
	}
	sort.Slice(originChunks, func(i, j int) bool { return originChunks[i] < originChunks[j] })
	sort.Slice(imports, func(i, j int) bool { return imports[i].Index() < imports[j].Index() })
	return originChunks, imports
}

// addLeases grants the agent leases up to leasesPerAgent. It starts at a random chunk, so
// that domains and agents do not all begin with the first one.
func (c *Coordinator) addLeases(a *agentState, now time.Time) {
	c.assignOwners(now)
	start := c.config.Random.IntN(max(c.config.Total, 1))
	for k := range c.config.Total {
		if a.leases >= leasesPerAgent {
			return
		}
		chunk := (start + k) % c.config.Total
		if a.held.Has(chunk) || !c.missing(chunk, now) {
			continue
		}
		if _, taken := c.leases[chunk]; taken {
			continue
		}
		c.leaseChunk(a, chunk, now)
	}
}

// missing reports whether the domain has to bring the chunk in. A chunk that has had a
// single holder for soleHolderTimeout counts as missing again: a VM whose uplink has
// stalled receives chunks and serves none.
func (c *Coordinator) missing(chunk int, now time.Time) bool {
	return c.holderCounts[chunk] == 0 || c.holderCounts[chunk] == 1 && now.Sub(c.firstHeldAt[chunk]) > soleHolderTimeout
}

// leaseChunk grants the agent a lease to fetch a chunk from the origin, if the domain may
// do so, or else from a holder in another domain. It grants none if the domain has reached
// its limit of origin fetches or if no other domain holds the chunk.
func (c *Coordinator) leaseChunk(a *agentState, chunk int, now time.Time) {
	l := lease{agent: a.identity.ID(), expires: now.Add(c.config.LeaseDuration)}
	if c.mayFetchFromOrigin(chunk, now) {
		if c.originLeases >= max(minOriginFetches, c.config.MaxOriginFetches/c.ownerDomains) {
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
	a.leases++
}

// mayFetchFromOrigin reports whether the domain fetches the chunk from the origin: the
// startup delay has passed, the domain owns the chunk, and no other domain holds it.
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
		position := int(s.Holders()[chunk])
		if position > 0 && position <= len(s.Agents()) {
			candidates = append(candidates, s.Agents()[position-1])
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

// assignOwners assigns each chunk to one of the domains that still lack chunks and make
// progress. A domain that is stuck (it may reach the other domains but not the origin)
// loses its chunks to the others.
func (c *Coordinator) assignOwners(now time.Time) {
	active := []string{c.config.Domain}
	for _, domain := range c.remoteDomains() {
		r := c.remotes[domain]
		if r.sources.Incomplete() && now.Sub(r.progressedAt) < stuckTimeout {
			active = append(active, domain)
		}
	}
	sort.Strings(active)
	key := ""
	for _, domain := range active {
		key += domain + ","
	}
	if key == c.ownerKey {
		return
	}
	c.ownerKey, c.ownerDomains = key, len(active)
	c.owners = make([]string, c.config.Total)
	for chunk := range c.owners {
		c.owners[chunk] = owner(c.config.Digest, chunk, active)
	}
}

// owner returns the domain of highest rank for a chunk, by rendezvous hashing.
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
