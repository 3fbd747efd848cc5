// ================================================================
// Spares: control nodes that a gateway follows beside its two while these say nothing. A
// change that others agree on has to be in force within seconds, and to find two nodes lost
// takes as long: so a gateway does not wait for that. It goes by the shorter beat of its
// primary, and takes spares back as soon as one of the two is heard.
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

	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// quietAfter is how long the two may say nothing: a beat of the primary and time on the
	// way. The backup beats less often, so a primary that is lost alone brings spares for a
	// moment.
	quietAfter = quickBeat + 200*time.Millisecond
	// firstSpares are followed then. All others are when these say nothing either for
	// as long again.
	firstSpares = 2
)

// noteWord notes a word of a node that is followed, for whoever holds the lock.
func (f *Follower) noteWord(s *followed, now time.Time) {
	if s.spare {
		return
	}
	f.heardAt = now
	if f.quiet != nil {
		f.quiet.Reset(quietAfter)
	}
}

// spares returns the nodes to follow beside the wanted ones, for whoever holds the lock.
func (f *Follower) spares(wanted []string, now time.Time) (spares []string) {
	quiet := now.Sub(f.heardAt)
	if f.Hello.role != RoleGateway || f.heardAt.IsZero() || quiet < quietAfter {
		return nil
	}
	for _, c := range inOrder(f.Hello.self, f.candidates(now)) {
		if !slices.Contains(wanted, c.address) {
			spares = append(spares, c.address)
		}
	}
	if quiet < 2*quietAfter {
		f.quiet.Reset(2*quietAfter - quiet)
		return spares[:min(firstSpares, len(spares))]
	}
	return spares
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
