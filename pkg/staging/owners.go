// ================================================================
// The ways of chunks. Each crosses between failure domains once:
//
//	origin -> owner            of the chunk, one among all stagers
//	owner  -> importer         of the chunk in each other failure domain
//	importer -> the others     of its failure domain
//
// All are chosen by rendezvous hash, so nobody has to be told, and each stager
// gives about as much as it takes. Whoever gets a chunk on its way tells the
// next ones; what nobody told of in time is asked for. Where engines serve the
// version already, their stagers are asked in place of owner and importer.
//
// Caches run on VMs with wide links and no engine. Where there are any, they
// are the owners, and those of a failure domain are its importers, so that the
// narrow links of the engines' VMs only receive. Without caches, copies were
// complete 4.3 to 4.9 s after the naming on links that carry one in 2.6 s.
//
// Rejected: rarest first among all. It takes every stager's list of chunks, and
// lets most chunks cross between failure domains many times.
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

// failureBackoff is how long a stager that did not answer is not asked.
const failureBackoff = 1500 * time.Millisecond

// peerFailures remembers which stagers did not answer.
type peerFailures struct {
	mu    sync.Mutex
	until map[string]time.Time
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

// unavailable returns those of some members that rest now.
func (f *peerFailures) unavailable(members map[string]string) map[string]bool {
	resting := map[string]bool{}
	for address := range members {
		if f.isUnavailable(address) {
			resting[address] = true
		}
	}
	return resting
}

// rankAddresses returns addresses in the order of their claim to a chunk.
func rankAddresses(addresses []string, model string, version uint64, number int) []string {
	type claim struct {
		address string
		hash    uint64
	}
	claims := make([]claim, 0, len(addresses))
	// A plan ranks all stagers for every chunk: the text is put together once,
	// and only the address before it differs.
	chunk := fmt.Sprintf("/%s/%d/%d", model, version, number)
	for _, a := range addresses {
		claims = append(claims, claim{a, xxhash.Sum64String(a + chunk)})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].hash < claims[j].hash })
	order := make([]string, 0, len(claims))
	for _, c := range claims {
		order = append(order, c.address)
	}
	return order
}

// assignEvenly assigns chunks to addresses so that each gets about as many as the
// others: in the order of their claims, but none more than its share.
func assignEvenly(addresses []string, model string, version uint64, chunks int) []string {
	if len(addresses) == 0 {
		return make([]string, chunks)
	}
	share := (chunks + len(addresses) - 1) / len(addresses)
	given := map[string]int{}
	assigned := make([]string, chunks)
	for number := range chunks {
		for _, a := range rankAddresses(addresses, model, version, number) {
			if given[a] < share {
				given[a]++
				assigned[number] = a
				break
			}
		}
	}
	return assigned
}

// plan is the ways of one version's chunks, as one member sees them. It is
// shared and never changed.
type plan struct {
	own              string
	domainOf         map[string]string   // of each member that is not avoided
	holders          map[string]bool     // others that serve the version already
	importers        map[string][]string // by failure domain, by chunk
	owners           []string            // by chunk
	backupOwners     []string            // by chunk: who draws it where the owner can't
	preferredHolders []string            // holders of the own failure domain, or all holders
}

// swarm is who exchanges the chunks of a model, as one member sees it.
type swarm struct {
	own         string
	domains     map[string]string // failure domain by link address
	caches      map[string]bool   // those members that are caches
	holders     map[string]bool   // others whose engine serves the version already
	unavailable map[string]bool   // those members that did not answer of late
}

// equal tells whether both lead to the same plan.
func (s swarm) equal(o swarm) bool {
	return s.own == o.own && maps.Equal(s.domains, o.domains) && maps.Equal(s.caches, o.caches) &&
		maps.Equal(s.holders, o.holders) && maps.Equal(s.unavailable, o.unavailable)
}

// newPlan makes the plan of the member s.own. Members that rest are left out.
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
	for d, near := range members {
		p.importers[d] = assignEvenly(firstNonEmpty(caches[d], near), model, version, chunks)
		for number, owner := range p.owners {
			if s.domains[owner] == d {
				// An owner of the failure domain needs no importer.
				p.importers[d][number] = owner
			}
		}
	}
	if s.caches[s.own] || len(caches[s.domains[s.own]]) == 0 {
		p.preferredHolders = p.selectHolders()
	}
	return p
}

// assignBackupOwners returns for each chunk the first of some addresses in the order of their
// claims that is not its owner; empty where there is no other one.
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

// firstNonEmpty returns a, or b where a is empty.
func firstNonEmpty(a, b []string) []string {
	if len(a) > 0 {
		return a
	}
	return b
}

// selectHolders returns the holders of the own failure domain, or all where it
// has none.
func (p plan) selectHolders() []string {
	var near, far []string
	for _, a := range slices.Sorted(maps.Keys(p.holders)) {
		if p.domainOf[a] == p.domainOf[p.own] {
			near = append(near, a)
		} else if p.domainOf[a] != "" {
			far = append(far, a)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// source returns whom to ask for a chunk; the stager's own address means the
// origin.
func (p plan) source(number int) string {
	if importer := p.importers[p.domainOf[p.own]][number]; importer != p.own {
		return importer
	}
	return p.owners[number]
}

// targets returns whom this stager pushes a chunk to.
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
