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

// standing is what a follower knows of a control node, the best first.
type standing int

const (
	// standingSound is heard, and hears of a quorum's leader.
	standingSound standing = iota
	// standingSpare is heard as a spare. It takes no place of one that is sound: that may
	// only be slow.
	standingSpare
	// standingUntried was not dialed of late.
	standingUntried
	// standingAlone is heard, but has not heard of a quorum's leader for a while.
	standingAlone
	// standingFailed did not answer of late.
	standingFailed
)

// candidate is a control node as a follower sees it.
type candidate struct {
	address  string
	domain   string // empty where it is not known
	standing standing
}

// choosePair returns the addresses of the primary and of the backup; fewer where
// there are not as many nodes.
func choosePair(self vm.Identity, all []candidate) []string {
	order := inOrder(self, all)
	isNear := func(c candidate) bool { return c.domain == self.Domain() && c.standing != standingFailed }
	first := max(slices.IndexFunc(order, isNear), 0)
	if len(order) == 0 {
		return nil
	}
	primary := order[first]
	order = slices.Delete(order, first, first+1)
	if len(order) == 0 {
		return []string{primary.address}
	}
	return []string{primary.address, backupOf(primary, order).address}
}

// inOrder returns the candidates of a follower, the best first.
func inOrder(self vm.Identity, all []candidate) []candidate {
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.standing, b.standing), cmp.Compare(claim(self, a.address), claim(self, b.address)))
	})
	return order
}

// backupOf returns the best backup, in order: the best of another failure domain,
// unless that one stands worse than one of the same.
func backupOf(primary candidate, order []candidate) candidate {
	best := order[0]
	for _, c := range order {
		if c.standing > best.standing {
			break
		}
		if c.domain != primary.domain {
			return c
		}
	}
	return best
}

// claim is the place of a node in the order of a follower.
func claim(self vm.Identity, address string) uint64 {
	return xxhash.Sum64String(self.Address() + "/" + address)
}
