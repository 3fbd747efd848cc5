// ================================================================
// The distribution plan of a version's chunks: which member requests each chunk from whom. Owners
// and importers of chunks are chosen by rendezvous hash, so members with the same view of the swarm
// agree without coordination.
// ================================================================

package staging

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// failureBackoff is how long a member that did not answer gets no queries.
const failureBackoff = 1500 * time.Millisecond

// peerFailures records which members did not answer recently. It is safe for concurrent use.
type peerFailures struct {
	mu    sync.Mutex
	until map[string]time.Time // end of the backoff, by link address
}

func newPeerFailures() *peerFailures { return &peerFailures{until: map[string]time.Time{}} }

func (f *peerFailures) record(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until[address] = time.Now().Add(failureBackoff)
}

func (f *peerFailures) isUnavailable(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until[address])
}

// unavailable returns the given members that are unavailable now.
func (f *peerFailures) unavailable(members map[string]string) map[string]bool {
	found := map[string]bool{}
	for address := range members {
		if f.isUnavailable(address) {
			found[address] = true
		}
	}
	return found
}

// rankAddresses returns addresses in the order of their rendezvous hash for a chunk.
func rankAddresses(addresses []string, model string, version uint64, number int) []string {
	type ranking struct {
		address string
		hash    uint64
	}
	rankings := make([]ranking, 0, len(addresses))
	// A plan ranks all members for every chunk, so the common part of the hash key is formatted
	// once.
	key := fmt.Sprintf("/%s/%d/%d", model, version, number)
	for _, a := range addresses {
		rankings = append(rankings, ranking{a, xxhash.Sum64String(a + key)})
	}
	sort.Slice(rankings, func(i, j int) bool { return rankings[i].hash < rankings[j].hash })
	order := make([]string, 0, len(rankings))
	for _, c := range rankings {
		order = append(order, c.address)
	}
	return order
}

// assignEvenly assigns each chunk to an address in rendezvous order. No address gets more than an
// equal quota.
func assignEvenly(addresses []string, model string, version uint64, chunks int) []string {
	if len(addresses) == 0 {
		return make([]string, chunks)
	}
	quota := (chunks + len(addresses) - 1) / len(addresses)
	counts := map[string]int{}
	assigned := make([]string, chunks)
	for number := range chunks {
		for _, a := range rankAddresses(addresses, model, version, number) {
			if counts[a] < quota {
				counts[a]++
				assigned[number] = a
				break
			}
		}
	}
	return assigned
}

// plan is the distribution plan of one version's chunks, as one member sees it. It is shared and
// immutable. Each chunk crosses between failure domains once:
//
//	origin -> owner            one member among all
//	owner  -> importer         one member in each other failure domain
//	importer -> the others     of its failure domain
//
// Each stager uploads about as much as it downloads. A member that receives a chunk notifies the
// next members of the plan; a chunk without a notice is requested after a timeout. Where engines
// serve the version already, their stagers are asked instead of owner and importer.
//
// Choosing the rarest chunk first among all members would need every member's list of chunks and
// would send most chunks between failure domains many times.
type plan struct {
	own              string
	domainOf         map[string]string   // failure domain by member that is not unavailable
	holders          map[string]bool     // other members whose engine serves the version already
	importers        map[string][]string // by failure domain, by chunk
	owners           []string            // by chunk
	backupOwners     []string            // by chunk: who fetches it from the origin if the owner cannot
	preferredHolders []string            // see selectHolders; empty for a stager with a cache in its failure domain
}

// swarm is the set of members that exchange the chunks of a model, as one member sees it.
type swarm struct {
	own         string
	domains     map[string]string // failure domain by link address
	caches      map[string]bool   // members that are caches
	holders     map[string]bool   // other members whose engine serves the version already
	unavailable map[string]bool   // members that did not answer recently
}

// equal reports whether both swarms lead to the same plan.
func (s swarm) equal(o swarm) bool {
	return s.own == o.own && maps.Equal(s.domains, o.domains) && maps.Equal(s.caches, o.caches) &&
		maps.Equal(s.holders, o.holders) && maps.Equal(s.unavailable, o.unavailable)
}

// newPlan returns the plan of the member s.own. Unavailable members are left out.
//
// If there are caches, they are the owners, and the caches of a failure domain are its importers.
// They run on VMs with wide links and no engine, so the narrow links of the engines' VMs only
// receive. Without caches, copies were complete 4.3 to 4.9 s after a version was named, on links
// that transfer one in 2.6 s.
func newPlan(s swarm, model string, version uint64, chunks int) plan {
	p := plan{own: s.own, domainOf: map[string]string{}, holders: s.holders, importers: map[string][]string{}}
	members := map[string][]string{}
	caches := map[string][]string{}
	var all, allCaches []string
	for _, a := range slices.Sorted(maps.Keys(s.domains)) {
		if a != s.own && s.unavailable[a] {
			continue
		}
		d := s.domains[a]
		p.domainOf[a] = d
		all = append(all, a)
		members[d] = append(members[d], a)
		if s.caches[a] {
			allCaches = append(allCaches, a)
			caches[d] = append(caches[d], a)
		}
	}
	p.owners = assignEvenly(firstNonEmpty(allCaches, all), model, version, chunks)
	p.backupOwners = assignBackupOwners(firstNonEmpty(allCaches, all), p.owners, model, version)
	for d, inDomain := range members {
		p.importers[d] = assignEvenly(firstNonEmpty(caches[d], inDomain), model, version, chunks)
		for number, owner := range p.owners {
			if s.domains[owner] == d {
				// An owner in this failure domain makes an importer unnecessary.
				p.importers[d][number] = owner
			}
		}
	}
	if s.caches[s.own] || len(caches[s.domains[s.own]]) == 0 {
		p.preferredHolders = p.selectHolders()
	}
	return p
}

// assignBackupOwners returns for each chunk the first address in rendezvous order that is not its
// owner; empty if there is no other one.
func assignBackupOwners(addresses, owners []string, model string, version uint64) []string {
	assigned := make([]string, len(owners))
	for number, owner := range owners {
		for _, a := range rankAddresses(addresses, model, version, number) {
			if a != owner {
				assigned[number] = a
				break
			}
		}
	}
	return assigned
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b []string) []string {
	if len(a) > 0 {
		return a
	}
	return b
}

// selectHolders returns the holders in the member's own failure domain, or all holders if it has
// none.
func (p plan) selectHolders() []string {
	var local, remote []string
	for _, a := range slices.Sorted(maps.Keys(p.holders)) {
		if p.domainOf[a] == p.domainOf[p.own] {
			local = append(local, a)
		} else if p.domainOf[a] != "" {
			remote = append(remote, a)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}

// source returns the member to request a chunk from. The own address stands for the origin.
func (p plan) source(number int) string {
	if importer := p.importers[p.domainOf[p.own]][number]; importer != p.own {
		return importer
	}
	return p.owners[number]
}

// targets returns the members to notify when this member receives a chunk.
func (p plan) targets(number int) []string {
	var targets []string
	if p.owners[number] == p.own {
		for _, d := range slices.Sorted(maps.Keys(p.importers)) {
			if d != p.domainOf[p.own] {
				targets = append(targets, p.importers[d][number])
			}
		}
	}
	if p.importers[p.domainOf[p.own]][number] == p.own {
		for _, a := range slices.Sorted(maps.Keys(p.domainOf)) {
			if a != p.own && p.domainOf[a] == p.domainOf[p.own] {
				targets = append(targets, a)
			}
		}
	}
	return targets
}
