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
		Domain: domain, Digest: contract.DigestOf([]byte("x")), Total: 16, MaxOriginFetches: 64, Random: rand.New(rand.NewPCG(1, 1)),
	}, now)
}

func reportOf(from vm.Identity, held Bitmap, incomplete bool) contract.SpreadReport {
	return contract.NewSpreadReport(from, contract.DigestOf([]byte("x")), held.Bytes(), nil, incomplete, 0)
}

// fetchLeasedChunks reports for an agent until it gets no more leases, as if each leased
// chunk arrived at once. It returns how many chunks came from the origin and how many were
// imported.
func fetchLeasedChunks(c *Coordinator, from vm.Identity, now time.Time) (fetched, imported int) {
	held := NewBitmap(16)
	for range 32 {
		plan := c.Report(reportOf(from, held, !held.Full()), now)
		if len(plan.OriginChunks())+len(plan.Imports()) == 0 {
			break
		}
		for _, chunk := range plan.OriginChunks() {
			held.Add(int(chunk))
			fetched++
		}
		for _, i := range plan.Imports() {
			held.Add(int(i.Index()))
			imported++
		}
	}
	return fetched, imported
}

func TestSingleDomainFetchesEachChunkFromOriginOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	if fetched, _ := fetchLeasedChunks(testCoordinator("a", now), testIdentity("a1", "a"), now.Add(startupDelay)); fetched != 16 {
		t.Errorf("fetched %d of 16 chunks from the origin", fetched)
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
	started := now.Add(startupDelay)
	fetchedA, _ := fetchLeasedChunks(a, testIdentity("a1", "a"), started)
	fetchedB, _ := fetchLeasedChunks(b, testIdentity("b1", "b"), started)
	if fetchedA+fetchedB != 16 || fetchedA == 0 || fetchedB == 0 {
		t.Errorf("fetched %d and %d of 16 chunks from the origin", fetchedA, fetchedB)
	}
}

// A new coordinator must not fetch chunks from the origin that another domain owns, before
// it has received a message of that domain.
func TestNoOriginFetchDuringStartupDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	plan := testCoordinator("a", now).Report(reportOf(testIdentity("a1", "a"), NewBitmap(16), true), now)
	if len(plan.OriginChunks()) > 0 {
		t.Errorf("a coordinator that has just started granted %d origin fetches", len(plan.OriginChunks()))
	}
}

// A domain whose coordinator is reachable but which gains no chunks, for instance because
// its only agent was killed, must lose its chunks to the others.
func TestStuckDomainLosesItsChunks(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := testCoordinator("a", now), testCoordinator("b", now)
	b.Report(reportOf(testIdentity("b1", "b"), NewBitmap(16), true), now)
	a.UpdateRemote(b.Sources(now), now)
	later := now.Add(stuckTimeout)
	a.UpdateRemote(b.Sources(now), later)
	if fetched, _ := fetchLeasedChunks(a, testIdentity("a1", "a"), later); fetched != 16 {
		t.Errorf("fetched %d of 16 chunks from the origin", fetched)
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
	if fetched, _ := fetchLeasedChunks(c, testIdentity("a2", "a"), now.Add(2*agentTimeout)); fetched != 16 {
		t.Errorf("fetched %d of 16 chunks from the origin after an agent died", fetched)
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
		t.Errorf("unchanged neighbours were sent again: %d", len(plan.Peers()))
	}
}

// A neighbour that sent a corrupt chunk must be asked again after a backoff. When such
// neighbours were excluded permanently, with 1% of chunks corrupt, VMs of small domains
// excluded all their neighbours and never became ready.
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
		t.Error("the only neighbour is not asked again after the backoff")
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

// A chunk whose only holder does not serve it must be brought into the domain again. A VM
// that received chunks and served none kept its whole domain from becoming ready.
func TestChunkOfStalledHolderIsFetchedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	c := testCoordinator("a", now)
	now = now.Add(startupDelay)
	full := BitmapOf([]byte{0xff, 0xff}, 16)
	stalled, other := testIdentity("stalled", "a"), testIdentity("other", "a")
	if plan := c.Report(reportOf(stalled, full, false), now); len(plan.OriginChunks()) > 0 {
		t.Fatalf("an agent with a complete copy fetches %d chunks from the origin", len(plan.OriginChunks()))
	}
	if plan := c.Report(reportOf(other, NewBitmap(16), true), now); len(plan.OriginChunks()) > 0 {
		t.Fatalf("%d origin fetches while the holder may still serve the chunks", len(plan.OriginChunks()))
	}
	later := now.Add(soleHolderTimeout + time.Second)
	c.Report(reportOf(stalled, full, false), later)
	if plan := c.Report(reportOf(other, NewBitmap(16), true), later); len(plan.OriginChunks()) == 0 {
		t.Error("chunks that only a stalled VM holds are not brought in again")
	}
}
