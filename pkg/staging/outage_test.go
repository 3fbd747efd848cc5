package staging

import (
	"fmt"
	"testing"
)

// While the origin was down for 6 s every member missed every chunk many times, and
// then drew all of them itself: 200 members before a link that carries a copy in
// 2.6 s. However often a chunk is missed, its owner draws it, and a single other
// member now and then.
func TestMissesDoNotSendAllMembersToTheOrigin(t *testing.T) {
	const domains, stagers, chunks, questions = 5, 24, 96, 4 * backupFetchEvery
	domain, caches := map[string]string{}, map[string]bool{}
	for d := range domains {
		cache := fmt.Sprintf("10.%d.1.0:7", d)
		domain[cache], caches[cache] = fmt.Sprint("d", d), true
		for i := range stagers {
			domain[fmt.Sprintf("10.%d.0.%d:7", d, i)] = fmt.Sprint("d", d)
		}
	}
	draws := map[int]map[string]int{} // by chunk, by member that is not its owner
	for own := range domain {
		p := newPlan(swarm{own: own, domains: domain, caches: caches}, "menu", 2, chunks)
		g := newFetchScheduler(nil, func() plan { return p }, maxRequests)
		g.plan = p
		for number := range chunks {
			for range questions {
				if g.plannedSource(number) == own && p.owners[number] != own {
					if draws[number] == nil {
						draws[number] = map[string]int{}
					}
					draws[number][own]++
				}
				g.misses[number]++
			}
		}
	}
	for number := range chunks {
		if len(draws[number]) != 1 {
			t.Fatalf("chunk %d is drawn by %d members besides its owner", number, len(draws[number]))
		}
		for member, n := range draws[number] {
			if n > questions/backupFetchEvery || !caches[member] {
				t.Fatalf("%s draws chunk %d %d times in %d questions", member, number, n, questions)
			}
		}
	}
}

// A stager asks the cache of its own failure domain for a missing chunk, and only
// now and then its owner in another one.
func TestMissingChunksAreRequestedInTheFailureDomain(t *testing.T) {
	domain := map[string]string{"cache-a": "a", "cache-b": "b", "stager": "a"}
	p := newPlan(swarm{own: "stager", domains: domain, caches: map[string]bool{"cache-a": true, "cache-b": true}}, "menu", 2, 96)
	g := newFetchScheduler(nil, func() plan { return p }, maxRequests)
	g.plan = p
	far := 0
	for number := range 96 {
		for range ownerRequestEvery {
			if g.plannedSource(number) == "cache-b" {
				far++
			}
			g.misses[number]++
		}
	}
	if far > 96 {
		t.Fatalf("%d of %d questions cross to the other failure domain", far, 96*ownerRequestEvery)
	}
}
