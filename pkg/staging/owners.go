// ================================================================
// Who is asked for a chunk. Where stagers already hold the version, one of them
// is; for a version that is new to all, each chunk has an owner by rendezvous
// hash, who draws it from the origin, and the others ask the owner. So each
// chunk leaves the origin once, and every stager gives about what it takes.
//
// Rejected: rarest first among all. Owners that draw in any order give the same
// time here, and nobody has to tell the others what it holds.
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

// owners assigns chunks to addresses so that each gets about as many as the
// others: in the order of their claims, but none more than its share.
func owners(addresses []string, model string, version uint64, chunks int) []string {
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
