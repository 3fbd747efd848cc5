// ================================================================
// Which control nodes a follower keeps streams to: two, the primary first.
//
// The primary is of the own failure domain where one can be reached: what it
// tells crosses no narrow link, and it is there when the failure domain is cut
// off. The backup is of another failure domain and heard of a quorum's leader
// lately, so that a change is told also where the primary is cut off from the
// other nodes. Followers of one failure domain spread their backups by
// rendezvous hash.
// ================================================================

package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/vm"
)

// candidateRank is what a follower knows of a control node, the best first.
type candidateRank int

const (
	// rankHealthy is heard, and hears of a quorum's leader.
	rankHealthy candidateRank = iota
	// rankFallback is heard as a spare. It takes no place of one that is sound: that may
	// only be slow.
	rankFallback
	// rankUntried was not dialed of late.
	rankUntried
	// rankNoQuorum is heard, but has not heard of a quorum's leader for a while.
	rankNoQuorum
	// rankFailed did not answer of late.
	rankFailed
)

// candidate is a control node as a follower sees it.
type candidate struct {
	address string
	domain  string // empty where it is not known
	rank    candidateRank
}

// choosePair returns the addresses of the primary and of the backup; fewer where
// there are not as many nodes.
func choosePair(self vm.Identity, all []candidate) []string {
	order := sortCandidates(self, all)
	isNear := func(c candidate) bool { return c.domain == self.Domain() && c.rank != rankFailed }
	first := max(slices.IndexFunc(order, isNear), 0)
	if len(order) == 0 {
		return nil
	}
	primary := order[first]
	order = slices.Delete(order, first, first+1)
	if len(order) == 0 {
		return []string{primary.address}
	}
	return []string{primary.address, chooseBackup(primary, order).address}
}

// sortCandidates returns the candidates of a follower, the best first.
func sortCandidates(self vm.Identity, all []candidate) []candidate {
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(rendezvousHash(self, a.address), rendezvousHash(self, b.address)))
	})
	return order
}

// chooseBackup returns the best backup, in order: the best of another failure domain,
// unless that one stands worse than one of the same.
func chooseBackup(primary candidate, order []candidate) candidate {
	best := order[0]
	for _, c := range order {
		if c.rank > best.rank {
			break
		}
		if c.domain != primary.domain {
			return c
		}
	}
	return best
}

// rendezvousHash is the place of a node in the order of a follower.
func rendezvousHash(self vm.Identity, address string) uint64 {
	return xxhash.Sum64String(self.Address() + "/" + address)
}
