package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

func testIdentity(name, domain string) vm.Identity {
	return vm.NewIdentity(vm.ID(name), 1, "r", domain, name+":1")
}

func testCoordinator(domain string, now time.Time) *Coordinator {
	return NewCoordinator(CoordinatorConfig{
		Domain: domain, Digest: contract.DigestOf([]byte("x")), Total: 16, OriginFetches: 64, Random: rand.New(rand.NewPCG(1, 1)),
	}, now)
}

func reportOf(from vm.Identity, held Bitmap, wants bool) contract.SpreadReport {
	return contract.NewSpreadReport(from, contract.DigestOf([]byte("x")), held.Bytes(), nil, wants, 0)
}

// drain has an agent take leases until it gets no more, as if each chunk
// arrived at once.
func fetchLeasedChunks(c *Coordinator, from vm.Identity, now time.Time) (drawn, imported int) {
	held := NewBitmap(16)
	for range 32 {
		plan := c.Report(reportOf(from, held, !held.Full()), now)
		if len(plan.OriginChunks())+len(plan.Imports()) == 0 {
			break
		}
		for _, chunk := range plan.OriginChunks() {
			held.Add(int(chunk))
			drawn++
		}
		for _, i := range plan.Imports() {
			held.Add(int(i.Index()))
			imported++
		}
	}
	return drawn, imported
}

func TestSingleDomainFetchesEachChunkFromOriginOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	if drawn, _ := fetchLeasedChunks(testCoordinator("a", now), testIdentity("a1", "a"), now.Add(startupDelay)); drawn != 16 {
		t.Errorf("drew %d of 16 chunks", drawn)
	}
}

func TestTwoDomainsShareOriginFetches(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := testCoordinator("a", now), testCoordinator("b", now)
	empty := NewBitmap(16)
	a.Report(reportOf(testIdentity("a1", "a"), empty, true), now)
	b.Report(reportOf(testIdentity("b1", "b"), empty, true), now)
	a.UpdateRemote(b.Sources(now), now)
	b.UpdateRemote(a.Sources(now), now)
	heard := now.Add(startupDelay)
	drawnA, _ := fetchLeasedChunks(a, testIdentity("a1", "a"), heard)
	drawnB, _ := fetchLeasedChunks(b, testIdentity("b1", "b"), heard)
	if drawnA+drawnB != 16 || drawnA == 0 || drawnB == 0 {
		t.Errorf("drew %d and %d of 16 chunks", drawnA, drawnB)
	}
}

// TestNoOriginFetchDuringStartupDelay keeps a new coordinator from drawing
// what another domain owns.
func TestNoOriginFetchDuringStartupDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	plan := testCoordinator("a", now).Report(reportOf(testIdentity("a1", "a"), NewBitmap(16), true), now)
	if len(plan.OriginChunks()) > 0 {
		t.Errorf("a coordinator that has just started gave %d draws", len(plan.OriginChunks()))
	}
}

// TestStuckDomainLosesItsChunks is the case of a domain that is heard and
// brings nothing in: found by killing the only agent of a domain.
func TestStuckDomainLosesItsChunks(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := testCoordinator("a", now), testCoordinator("b", now)
	b.Report(reportOf(testIdentity("b1", "b"), NewBitmap(16), true), now)
	a.UpdateRemote(b.Sources(now), now)
	later := now.Add(stuckTimeout)
	a.UpdateRemote(b.Sources(now), later)
	if drawn, _ := fetchLeasedChunks(a, testIdentity("a1", "a"), later); drawn != 16 {
		t.Errorf("drew %d of 16 chunks", drawn)
	}
}

func TestLeasesOfDeadAgentAreReassigned(t *testing.T) {
	now := time.Unix(1000, 0)
	c := testCoordinator("a", now)
	now = now.Add(startupDelay)
	first := c.Report(reportOf(testIdentity("a1", "a"), NewBitmap(16), true), now)
	if len(first.OriginChunks()) != leasesPerAgent {
		t.Fatalf("%d leases", len(first.OriginChunks()))
	}
	if drawn, _ := fetchLeasedChunks(c, testIdentity("a2", "a"), now.Add(2*agentTimeout)); drawn != 16 {
		t.Errorf("drew %d of 16 chunks after an agent died", drawn)
	}
}

func TestUnchangedNeighboursAreNotResent(t *testing.T) {
	now := time.Unix(1000, 0)
	c := testCoordinator("a", now)
	c.Report(reportOf(testIdentity("a1", "a"), NewBitmap(16), true), now)
	first := c.Report(reportOf(testIdentity("a2", "a"), NewBitmap(16), true), now)
	if first.Unchanged() || len(first.Peers()) != 1 {
		t.Fatalf("first plan has %d neighbours", len(first.Peers()))
	}
	digest := contract.DigestOf([]byte("x"))
	again := contract.NewSpreadReport(testIdentity("a2", "a"), digest, nil, nil, true, NeighbourHash(first.Peers()))
	if plan := c.Report(again, now); !plan.Unchanged() || len(plan.Peers()) != 0 {
		t.Errorf("known neighbours were sent again: %d", len(plan.Peers()))
	}
}

// TestSenderOfCorruptChunkIsRetriedAfterBackoff was found by the bench: with 1% of
// chunks corrupt, VMs of small domains had banned all their neighbours for
// good and were never ready.
func TestSenderOfCorruptChunkIsRetriedAfterBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSwarm(SwarmConfig{Total: 4, Fetches: 1, Random: rand.New(rand.NewPCG(1, 1))}, NewBitmap(4))
	s.SetNeighbours([]vm.Identity{testIdentity("bad", "a")})
	s.PeerHasChunks("bad", BitmapOf([]byte{0x0f}, 4))
	f := s.Next(now)
	if len(f) != 1 {
		t.Fatalf("%d fetches", len(f))
	}
	s.FetchFailed(f[0].Chunk, "bad", failure.CorruptChunk, now)
	if again := s.Next(now.Add(corruptBackoff - time.Millisecond)); len(again) != 0 {
		t.Errorf("the sender of a corrupt chunk is asked at once: %+v", again)
	}
	if again := s.Next(now.Add(corruptBackoff)); len(again) != 1 {
		t.Error("the only neighbour is never asked again")
	}
}

func TestStalledFetchMovesToAnotherPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSwarm(SwarmConfig{Total: 1, Random: rand.New(rand.NewPCG(1, 1))}, NewBitmap(1))
	s.SetNeighbours([]vm.Identity{testIdentity("slow", "a"), testIdentity("good", "a")})
	s.PeerHasChunk("slow", 0)
	s.Next(now)
	s.PeerHasChunk("good", 0)
	later := now.Add(DefaultStallTimeout)
	if stalled := s.DropStalled(later); len(stalled) != 1 {
		t.Fatalf("%d stalled", len(stalled))
	}
	f := s.Next(later)
	if len(f) != 1 || f[0].Peer.ID() != "good" {
		t.Errorf("next fetch %+v", f)
	}
}

func TestBitmapDropsWhatIsOutOfRange(t *testing.T) {
	b := BitmapOf([]byte{0xff, 0xff, 0xff}, 10)
	if b.Count() != 10 || b.Has(10) || b.Has(-1) || !b.Full() {
		t.Errorf("count %d", b.Count())
	}
}

// TestChunkOfStalledHolderIsFetchedAgain was found by the bench: a VM that
// takes chunks and gives none kept its whole domain from ever being ready.
func TestChunkOfStalledHolderIsFetchedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	c := testCoordinator("a", now)
	now = now.Add(startupDelay)
	full := BitmapOf([]byte{0xff, 0xff}, 16)
	stalled, other := testIdentity("stalled", "a"), testIdentity("other", "a")
	if plan := c.Report(reportOf(stalled, full, false), now); len(plan.OriginChunks()) > 0 {
		t.Fatalf("a whole copy draws %d chunks", len(plan.OriginChunks()))
	}
	if plan := c.Report(reportOf(other, NewBitmap(16), true), now); len(plan.OriginChunks()) > 0 {
		t.Fatalf("%d draws while a holder may still give", len(plan.OriginChunks()))
	}
	later := now.Add(soleHolderTimeout + time.Second)
	c.Report(reportOf(stalled, full, false), later)
	if plan := c.Report(reportOf(other, NewBitmap(16), true), later); len(plan.OriginChunks()) == 0 {
		t.Error("chunks that a stalled VM holds are never brought in again")
	}
}
