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
		t.Fatalf("add of a chunk with another number returned %v", err)
	}
	if added, err := c.add(1, data[1]); !added || err != nil {
		t.Fatalf("added %v, err %v", added, err)
	}
	if added, _ := c.add(1, data[1]); added {
		t.Fatal("add reported a chunk as added twice")
	}
	if missing := c.missingNumbers(); len(missing) != 2 || c.isComplete() {
		t.Fatalf("missing chunks %v", missing)
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
	change := c.nextHoldingsChange()
	c.addHoldings("a", other.heldBits())
	select {
	case <-change:
	default:
		t.Fatal("the holdings change was not signalled")
	}
	if !c.isHeldBy("a", 8) || c.isHeldBy("a", 7) || len(c.holdersOf(3)) != 0 {
		t.Fatal("the holders do not match the bits")
	}
	c.holdersOf(3)["b"] = true
	if c.isHeldBy("b", 3) {
		t.Fatal("holdersOf returns its internal map")
	}
	c.removeHolder("a", 8)
	if c.isHeldBy("a", 8) {
		t.Fatal("removeHolder did not remove the holder")
	}
}

// testPlans returns the plans of all stagers in a number of failure domains with the same number of
// stagers each.
func testPlans(domains, stagersPerDomain, chunks int, isUnavailable func(string) bool) map[string]plan {
	domainOf := map[string]string{}
	for d := range domains {
		for i := range stagersPerDomain {
			domainOf[fmt.Sprintf("10.%d.0.%d:7", d, i)] = fmt.Sprint("d", d)
		}
	}
	all := map[string]plan{}
	for own := range domainOf {
		all[own] = newPlan(swarm{own: own, domains: domainOf, unavailable: unavailableAmong(domainOf, isUnavailable)}, "menu", 2, chunks)
	}
	return all
}

func unavailableAmong(domainOf map[string]string, isUnavailable func(string) bool) map[string]bool {
	unavailable := map[string]bool{}
	for address := range domainOf {
		unavailable[address] = isUnavailable(address)
	}
	return unavailable
}

// With the plans alone, every chunk reaches every stager and crosses into each failure domain once,
// and no stager uploads much more than the others.
func TestPlansDeliverEachChunkOnce(t *testing.T) {
	const domains, stagersPerDomain, chunks = 3, 5, 96
	all := testPlans(domains, stagersPerDomain, chunks, func(string) bool { return false })
	uploads := map[string]int{}
	for number := range chunks {
		received := map[string]int{}
		for own, p := range all {
			if p.owners[number] == own {
				received[own]++
				if p.source(number) != own {
					t.Fatalf("owner %s requests its chunk from %s", own, p.source(number))
				}
			}
			for _, target := range p.targets(number) {
				received[target]++
				uploads[own]++
			}
		}
		for own := range all {
			if received[own] != 1 {
				t.Fatalf("chunk %d reaches %s %d times", number, own, received[own])
			}
		}
	}
	for own, n := range uploads {
		if n > 2*chunks {
			t.Errorf("%s uploads %d chunks, more than two copies", own, n)
		}
	}
}

// Stagers that do not answer are left out of the plan.
func TestPlanOmitsUnavailableStagers(t *testing.T) {
	unavailable := "10.1.0.2:7"
	for own, p := range testPlans(3, 5, 96, func(a string) bool { return a == unavailable }) {
		if own == unavailable {
			continue
		}
		for number := range 96 {
			if p.source(number) == unavailable {
				t.Fatalf("%s requests chunk %d from the unavailable stager", own, number)
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
	requested := map[int]bool{}
	for {
		s, ok := g.next(now)
		if !ok {
			break
		}
		if all[own].owners[s.number] != own || s.source != own {
			t.Fatalf("asked %s for chunk %d before any member held it", s.source, s.number)
		}
		requested[s.number] = true
		g.done(s, true, 0, now)
		if _, err := c.add(s.number, []byte(fmt.Sprintf("chunk %d", s.number))); err != nil {
			t.Fatal(err)
		}
	}
	holder := "10.0.0.1:7"
	full, data := testCopy(8)
	for i := range data {
		_, _ = full.add(i, data[i])
	}
	c.addHoldings(holder, full.heldBits())
	s, ok := g.next(now)
	if !ok || s.source != holder {
		t.Fatalf("holdings of %s are not used: %v %v", holder, s, ok)
	}
}

// A stager with a narrow link has one chunk in flight at a time.
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
		t.Fatal("no further request")
	}
	if s, ok := g.next(now); ok {
		t.Fatalf("second request %v on a narrow link", s)
	}
}
