package staging

import (
	"fmt"
	"testing"
)

// Guards against this failure: during an outage of the origin for 6 s every member missed every
// chunk many times, and then 200 members fetched all chunks from the origin, over a link that
// carries a copy in 2.6 s. However often a chunk is missed, only its owner fetches it, and
// occasionally one other member.
func TestMissesDoNotSendAllMembersToTheOrigin(t *testing.T) {
	const domains, stagers, chunks, requests = 5, 24, 96, 4 * backupFetchEvery
	domainOf, caches := map[string]string{}, map[string]bool{}
	for d := range domains {
		cache := fmt.Sprintf("10.%d.1.0:7", d)
		domainOf[cache], caches[cache] = fmt.Sprint("d", d), true
		for i := range stagers {
			domainOf[fmt.Sprintf("10.%d.0.%d:7", d, i)] = fmt.Sprint("d", d)
		}
	}
	fetches := map[int]map[string]int{} // by chunk, by member that is not its owner
	for own := range domainOf {
		p := newPlan(swarm{own: own, domains: domainOf, caches: caches}, "menu", 2, chunks)
		g := newFetchScheduler(nil, func() plan { return p }, maxRequests)
		g.plan = p
		for number := range chunks {
			for range requests {
				if g.plannedSource(number) == own && p.owners[number] != own {
					if fetches[number] == nil {
						fetches[number] = map[string]int{}
					}
					fetches[number][own]++
				}
				g.misses[number]++
			}
		}
	}
	for number := range chunks {
		if len(fetches[number]) != 1 {
			t.Fatalf("chunk %d is fetched from the origin by %d members besides its owner", number, len(fetches[number]))
		}
		for member, n := range fetches[number] {
			if n > requests/backupFetchEvery || !caches[member] {
				t.Fatalf("%s fetches chunk %d from the origin %d times in %d requests", member, number, n, requests)
			}
		}
	}
}

// A stager requests a missing chunk from the cache of its own failure domain, and only occasionally
// from its owner in another one.
func TestMissingChunksAreRequestedInTheFailureDomain(t *testing.T) {
	domainOf := map[string]string{"cache-a": "a", "cache-b": "b", "stager": "a"}
	p := newPlan(swarm{own: "stager", domains: domainOf, caches: map[string]bool{"cache-a": true, "cache-b": true}}, "menu", 2, 96)
	g := newFetchScheduler(nil, func() plan { return p }, maxRequests)
	g.plan = p
	remote := 0
	for number := range 96 {
		for range ownerRequestEvery {
			if g.plannedSource(number) == "cache-b" {
				remote++
			}
			g.misses[number]++
		}
	}
	if remote > 96 {
		t.Fatalf("%d of %d requests go to the other failure domain", remote, 96*ownerRequestEvery)
	}
}
