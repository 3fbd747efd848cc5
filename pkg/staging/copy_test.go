package staging

import (
	"fmt"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

// testCopy returns an empty copy of n chunks and their data.
func testCopy(n int) (*weightsCopy, [][]byte) {
	var digests []string
	var data [][]byte
	for i := range n {
		data = append(data, []byte(fmt.Sprintf("chunk %d", i)))
		digests = append(digests, digestOf(data[i]))
	}
	return newCopy(NewManifest("menu", 2, digests)), data
}

func TestCopyRejectsChunkWithWrongDigest(t *testing.T) {
	c, data := testCopy(3)
	if _, err := c.add(1, data[0]); !failure.Is(err, failure.CorruptChunk) {
		t.Fatalf("a chunk of another number was taken: %v", err)
	}
	if fresh, err := c.add(1, data[1]); !fresh || err != nil {
		t.Fatalf("fresh %v, err %v", fresh, err)
	}
	if fresh, _ := c.add(1, data[1]); fresh {
		t.Fatal("a chunk that is here already is not fresh")
	}
	if absent := c.absent(); len(absent) != 2 || c.isComplete() {
		t.Fatalf("absent %v", absent)
	}
}

func TestCopyTracksHoldersOfChunks(t *testing.T) {
	c, data := testCopy(10)
	other, _ := testCopy(10)
	for _, n := range []int{0, 8, 9} {
		if _, err := other.add(n, data[n]); err != nil {
			t.Fatal(err)
		}
	}
	news := c.nextHoldingsChange()
	c.addHoldings("a", other.heldBits())
	select {
	case <-news:
	default:
		t.Fatal("nobody was told of the news")
	}
	if !c.isHeldBy("a", 8) || c.isHeldBy("a", 7) || len(c.holdersOf(3)) != 0 {
		t.Fatal("the bits were read wrongly")
	}
	c.holdersOf(3)["b"] = true
	if c.isHeldBy("b", 3) {
		t.Fatal("knownAt hands out its own map")
	}
	c.removeHolder("a", 8)
	if c.isHeldBy("a", 8) {
		t.Fatal("unlearn did nothing")
	}
}

// testPlans returns the plans of all stagers of a fleet of domains x each.
func testPlans(domains, each, chunks int, rests func(string) bool) map[string]plan {
	domain := map[string]string{}
	for d := range domains {
		for i := range each {
			domain[fmt.Sprintf("10.%d.0.%d:7", d, i)] = fmt.Sprint("d", d)
		}
	}
	all := map[string]plan{}
	for own := range domain {
		all[own] = newPlan(swarm{own: own, domains: domain, unavailable: unavailableAmong(domain, rests)}, "menu", 2, chunks)
	}
	return all
}

func unavailableAmong(domain map[string]string, rests func(string) bool) map[string]bool {
	resting := map[string]bool{}
	for address := range domain {
		resting[address] = rests(address)
	}
	return resting
}

// Every chunk reaches everybody by the plans alone, crosses between failure
// domains once each, and no stager gives much more than the others.
func TestPlansDeliverEachChunkOnce(t *testing.T) {
	const domains, each, chunks = 3, 5, 96
	all := testPlans(domains, each, chunks, func(string) bool { return false })
	gives := map[string]int{}
	for number := range chunks {
		has := map[string]int{}
		for own, p := range all {
			if p.owners[number] == own {
				has[own]++
				if p.source(number) != own {
					t.Fatalf("owner %s would ask %s", own, p.source(number))
				}
			}
			for _, target := range p.targets(number) {
				has[target]++
				gives[own]++
			}
		}
		for own := range all {
			if has[own] != 1 {
				t.Fatalf("chunk %d reaches %s %d times", number, own, has[own])
			}
		}
	}
	for own, n := range gives {
		if n > 2*chunks {
			t.Errorf("%s gives %d chunks, over twice a copy", own, n)
		}
	}
}

// Stagers that do not answer are left out of the plan.
func TestPlanOmitsUnavailableStagers(t *testing.T) {
	resting := "10.1.0.2:7"
	for own, p := range testPlans(3, 5, 96, func(a string) bool { return a == resting }) {
		if own == resting {
			continue
		}
		for number := range 96 {
			if p.source(number) == resting {
				t.Fatalf("%s would ask the resting stager for chunk %d", own, number)
			}
		}
	}
}

func TestSchedulerRequestsOnlyHeldChunks(t *testing.T) {
	c, _ := testCopy(8)
	all := testPlans(2, 2, 8, func(string) bool { return false })
	own := "10.0.0.0:7"
	g := newFetchScheduler(c, func() plan { return all[own] }, maxRequests)
	now := time.Now()
	asked := map[int]bool{}
	for {
		s, ok := g.next(now)
		if !ok {
			break
		}
		if all[own].owners[s.number] != own || s.source != own {
			t.Fatalf("asked %s for chunk %d before anybody had it", s.source, s.number)
		}
		asked[s.number] = true
		g.done(s, true, 0, now)
		if _, err := c.add(s.number, []byte(fmt.Sprintf("chunk %d", s.number))); err != nil {
			t.Fatal(err)
		}
	}
	near := "10.0.0.1:7"
	full, data := testCopy(8)
	for i := range data {
		_, _ = full.add(i, data[i])
	}
	c.addHoldings(near, full.heldBits())
	s, ok := g.next(now)
	if !ok || s.source != near {
		t.Fatalf("news of %s is not used: %v %v", near, s, ok)
	}
}

// A stager behind a narrow link has one chunk under way at a time.
func TestSchedulerLimitsRequestsOnSlowLink(t *testing.T) {
	c, _ := testCopy(32)
	full, data := testCopy(32)
	for i := range data {
		_, _ = full.add(i, data[i])
	}
	all := testPlans(2, 3, 32, func(string) bool { return false })
	g := newFetchScheduler(c, func() plan { return all["10.0.0.0:7"] }, maxRequests)
	c.addHoldings("10.0.0.1:7", full.heldBits())
	now := time.Now()
	s, _ := g.next(now)
	g.done(s, true, 2*slowReply, now)
	if _, ok := g.next(now); !ok {
		t.Fatal("nothing more is asked")
	}
	if s, ok := g.next(now); ok {
		t.Fatalf("a second question, %v, on a narrow link", s)
	}
}
