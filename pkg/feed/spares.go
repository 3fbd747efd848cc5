// ================================================================
// Spares: control nodes that a gateway follows beside its two while these say nothing, or
// nothing of a quorum's leader, since they are cut off from the other nodes. A change that
// those agree on has to be in force within seconds, and to find two nodes lost takes as long:
// so a gateway does not wait for that. It goes by the shorter beat of its primary, and takes
// spares back as soon as one of the two is heard and hears of a leader.
//
// A spare tells of documents and weights only. Registrations and peers are many, and all
// gateways look for spares at the same moment when nodes are cut off.
//
// Rejected: a third stream all the time. It costs every node half as many streams again, and
// the third may be cut off with the two.
// ================================================================

package feed

import (
	"slices"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// quietAfter is how long the two may say nothing: a beat of the primary and time on the
	// way. The backup beats less often, so a primary that is lost alone brings spares for a
	// moment.
	quietAfter = quickBeat + 200*time.Millisecond
	// firstSpares are followed then. All others are when the two say nothing at all for as
	// long again; that they hear of no leader may be an election.
	firstSpares = 2
)

// noteWord notes a word of a node that is followed, for whoever holds the lock.
func (f *Follower) noteWord(s *followed, confirmed bool, now time.Time) {
	if s.spare {
		return
	}
	f.heardAt = now
	if confirmed {
		f.sureAt = now
	}
	if f.quiet == nil {
		return
	}
	if unsure := now.Sub(f.sureAt); unsure < quietAfter {
		f.quiet.Reset(quietAfter - unsure)
		return
	}
	f.quiet.Reset(quietAfter)
	daemon.Wake(f.wake)
}

// spares returns the nodes to follow beside the wanted ones, for whoever holds the lock.
func (f *Follower) spares(wanted []string, now time.Time) (spares []string) {
	quiet, unsure := now.Sub(f.heardAt), now.Sub(f.sureAt)
	if f.Hello.role != RoleGateway || f.sureAt.IsZero() || unsure < quietAfter {
		return nil
	}
	for _, c := range inOrder(f.Hello.self, f.candidates(now)) {
		if !slices.Contains(wanted, c.address) {
			spares = append(spares, c.address)
		}
	}
	if quiet >= 2*quietAfter {
		return spares
	}
	if quiet >= quietAfter {
		f.quiet.Reset(2*quietAfter - quiet)
	}
	return spares[:min(firstSpares, len(spares))]
}

// promote has spares that are wanted by now tell everything, and returns the words for that.
// It is for whoever holds the lock.
func (f *Follower) promote(wanted []string) map[*link.Stream]Word {
	words := map[*link.Stream]Word{}
	for _, address := range wanted {
		if s := f.streams[address]; s.spare && s.stream != nil {
			s.spare = false
			words[s.stream] = Word{subscription: Backup}
		}
	}
	return words
}

// isSpare tells whether a node is followed as a spare.
func (f *Follower) isSpare(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[address]
	return s != nil && s.spare
}
