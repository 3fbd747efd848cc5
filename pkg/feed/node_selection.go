// ================================================================
// Selects the two control nodes that a follower keeps streams to: the primary and the backup.
//
// The primary is in the follower's own failure domain if a node there can be reached: its messages
// cross no narrow link, and it stays reachable when the failure domain is partitioned. The backup
// is in another failure domain and was recently in contact with the leader, so that a change also
// arrives when the primary is partitioned from the other nodes. Followers of one failure domain
// spread their backups by rendezvous hash.
// ================================================================

package feed

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/vm"
)

// candidateRank is the state of a control node as a follower sees it, best first.
type candidateRank int

const (
	// rankHealthy is a connected node that was recently in contact with the leader.
	rankHealthy candidateRank = iota
	// rankSettling is such a node that has not been connected for long.
	rankSettling
	// rankFallback is a node connected as a fallback. It does not replace a healthy node, which may
	// only be slow.
	rankFallback
	// rankUntried is a node that was not dialed recently.
	rankUntried
	// rankNoQuorum is a connected node that has had no contact with the leader for quorumTimeout.
	rankNoQuorum
	// rankDeferred is an untried node that is not to be tried yet.
	rankDeferred
	// rankFailed is a node that recently did not answer.
	rankFailed
)

// candidate is a control node as a follower sees it.
type candidate struct {
	address string
	domain  string // empty if not known
	rank    candidateRank
}

// choosePair returns the addresses of the primary and the backup, or fewer if there are not enough
// nodes.
func choosePair(self vm.Identity, candidates []candidate) []string {
	order := sortCandidates(self, candidates)
	isLocal := func(c candidate) bool { return c.domain == self.Domain() && c.rank != rankFailed }
	first := max(slices.IndexFunc(order, isLocal), 0)
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

// sortCandidates returns the candidates of a follower by rank, then by rendezvous hash.
func sortCandidates(self vm.Identity, candidates []candidate) []candidate {
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(rendezvousHash(self, a.address), rendezvousHash(self, b.address)))
	})
	return order
}

// chooseBackup returns the first node of another failure domain in order, unless its rank is worse
// than that of the first node.
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

// rendezvousHash is the sort key of a node among the nodes of equal rank for a follower.
func rendezvousHash(self vm.Identity, address string) uint64 {
	return xxhash.Sum64String(self.Address() + "/" + address)
}
