// ================================================================
// Failure domains: who coordinates what within one.
//
// The coordinator of a failure domain is picked by rendezvous hashing over
// its live entry VMs: each entry ranks all by hash(subject, entry) and the
// highest wins. Two entries with other views may both take themselves for the
// coordinator for a moment; that wastes bytes and breaks nothing, so no
// agreement is spent on it.
// ================================================================

// Package failuredomain picks, without agreement, which entry VM of a failure
// domain coordinates a subject.
package failuredomain

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/vm"
)

// separator keeps ("ab", "c") and ("a", "bc") apart in a hash.
const separator = "\x00"

// Coordinator returns the entry among live with the highest rendezvous hash
// for the subject, and false when live is empty.
func Coordinator(subject string, live []vm.Identity) (vm.Identity, bool) {
	var best vm.Identity
	var bestRank uint64
	found := false
	for _, candidate := range live {
		rank := Rank(subject, string(candidate.ID()))
		if !found || rank > bestRank || (rank == bestRank && candidate.ID() < best.ID()) {
			best, bestRank, found = candidate, rank, true
		}
	}
	return best, found
}

// Rank returns the rendezvous hash of a subject and a member.
func Rank(subject, member string) uint64 {
	return xxhash.Sum64String(subject + separator + member)
}
