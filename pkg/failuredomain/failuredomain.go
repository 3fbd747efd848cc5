// ================================================================
// Selection of the coordinator of a failure domain.
//
// The coordinator is selected by rendezvous hashing over the live entry VMs of the failure
// domain: every entry ranks all of them by hash(subject, entry), and the highest rank wins.
// Entries with different views may select two coordinators for a short time. That only
// wastes bandwidth, so no consensus is needed.
// ================================================================

// Package failuredomain selects, without consensus, the entry VM of a failure domain that
// coordinates a subject.
package failuredomain

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/vm"
)

// separator makes the hashes of ("ab", "c") and ("a", "bc") differ.
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

// Rank returns the rendezvous hash of a subject and a candidate for it.
func Rank(subject, candidate string) uint64 {
	return xxhash.Sum64String(subject + separator + candidate)
}
