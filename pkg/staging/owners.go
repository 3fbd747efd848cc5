// ================================================================
// Who is asked for a chunk. Chunks cross between failure domains once each:
//
//	origin -> owner            of the chunk, one among all stagers
//	owner  -> importer         of the chunk in each other failure domain
//	importer -> the others     of its failure domain
//
// All are chosen by rendezvous hash, so nobody has to be told, and each stager
// gives about as much as it takes. Where engines serve the version already,
// their stagers stand in for owner and importer.
//
// Rejected: rarest first among all. It takes every stager's list of chunks, and
// lets most chunks cross between failure domains many times.
// ================================================================

package staging

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// restAfterFailure is how long a stager that did not answer is not asked.
const restAfterFailure = 3 * time.Second

// failingPeers remembers which stagers did not answer.
type failingPeers struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newFailingPeers() *failingPeers { return &failingPeers{until: map[string]time.Time{}} }

func (f *failingPeers) failed(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until[address] = time.Now().Add(restAfterFailure)
}

func (f *failingPeers) rests(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until[address])
}

// ranked returns addresses in the order of their claim to a chunk.
func ranked(addresses []string, model string, version uint64, number int) []string {
	type claim struct {
		address string
		hash    uint64
	}
	claims := make([]claim, 0, len(addresses))
	for _, a := range addresses {
		claims = append(claims, claim{a, xxhash.Sum64String(fmt.Sprintf("%s/%s/%d/%d", a, model, version, number))})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].hash < claims[j].hash })
	order := make([]string, 0, len(claims))
	for _, c := range claims {
		order = append(order, c.address)
	}
	return order
}

// shareOut assigns chunks to addresses so that each gets about as many as the
// others: in the order of their claims, but none more than its share.
func shareOut(addresses []string, model string, version uint64, chunks int) []string {
	if len(addresses) == 0 {
		return make([]string, chunks)
	}
	share := (chunks + len(addresses) - 1) / len(addresses)
	given := map[string]int{}
	assigned := make([]string, chunks)
	for number := range chunks {
		for _, a := range ranked(addresses, model, version, number) {
			if given[a] < share {
				given[a]++
				assigned[number] = a
				break
			}
		}
	}
	return assigned
}

// plan says whom one stager asks for each chunk of a version.
type plan struct {
	own       string
	domain    map[string]string // of each stager
	holders   map[string]bool   // serve the version already
	importers []string          // by chunk, in the own failure domain
	owners    []string          // by chunk, among all
}

// newPlan makes the plan of the stager own among members. Stagers for which
// rests is true are not asked.
func newPlan(own, model string, version uint64, chunks int, domain map[string]string, holders map[string]bool, rests func(string) bool) plan {
	p := plan{own: own, domain: domain, holders: holders}
	var near, far, nearHolders, farHolders []string
	for _, a := range sortedKeys(domain) {
		if a != own && rests(a) {
			continue
		}
		far = append(far, a)
		if domain[a] == domain[own] {
			near = append(near, a)
		}
		if holders[a] && a != own {
			farHolders = append(farHolders, a)
			if domain[a] == domain[own] {
				nearHolders = append(nearHolders, a)
			}
		}
	}
	if len(nearHolders) > 0 {
		near = nearHolders
	}
	if len(farHolders) > 0 {
		far = farHolders
	}
	p.importers = shareOut(near, model, version, chunks)
	p.owners = shareOut(far, model, version, chunks)
	for number, owner := range p.owners {
		if domain[owner] == domain[own] && len(nearHolders) == 0 {
			// An owner of this failure domain needs no importer.
			p.importers[number] = owner
		}
	}
	return p
}

// source returns whom to ask for a chunk; the stager's own address means the
// origin.
func (p plan) source(number int) string {
	if p.importers[number] != p.own {
		return p.importers[number]
	}
	return p.owners[number]
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
