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
	// quietTimeout is how long the two may say nothing: a beat of the primary and time on the
	// way. The backup beats less often, so a primary that is lost alone brings spares for a
	// moment.
	quietTimeout = gatewayUpdateInterval + 200*time.Millisecond
	// firstFallbacks are followed then. All others are when the two say nothing at all for as
	// long again; that they hear of no leader may be an election.
	firstFallbacks = 2
)

// recordActivity notes a word of a node that is followed, for whoever holds the lock.
func (f *Follower) recordActivity(s *followedNode, confirmed bool, now time.Time) {
	if s.fallback {
		return
	}
	f.lastUpdateAt = now
	if confirmed {
		f.lastQuorumAt = now
	}
	if f.quietTimer == nil {
		return
	}
	if unsure := now.Sub(f.lastQuorumAt); unsure < quietTimeout {
		f.quietTimer.Reset(quietTimeout - unsure)
		return
	}
	f.quietTimer.Reset(quietTimeout)
	daemon.Wake(f.wake)
}

// fallbackNodes returns the nodes to follow beside the wanted ones, for whoever holds the lock.
func (f *Follower) fallbackNodes(wanted []string, now time.Time) (spares []string) {
	quiet, unsure := now.Sub(f.lastUpdateAt), now.Sub(f.lastQuorumAt)
	if f.Hello.role != RoleGateway || f.lastQuorumAt.IsZero() || unsure < quietTimeout {
		return nil
	}
	for _, c := range sortCandidates(f.Hello.self, f.candidates(now)) {
		if !slices.Contains(wanted, c.address) {
			spares = append(spares, c.address)
		}
	}
	if quiet >= 2*quietTimeout {
		return spares
	}
	if quiet >= quietTimeout {
		f.quietTimer.Reset(2*quietTimeout - quiet)
	}
	return spares[:min(firstFallbacks, len(spares))]
}

// promoteFallbacks has spares that are wanted by now tell everything, and returns the words for that.
// It is for whoever holds the lock.
func (f *Follower) promoteFallbacks(wanted []string) map[*link.Stream]FollowerMessage {
	words := map[*link.Stream]FollowerMessage{}
	for _, address := range wanted {
		if s := f.streams[address]; s.fallback && s.stream != nil {
			s.fallback = false
			words[s.stream] = FollowerMessage{subscription: Backup}
		}
	}
	return words
}

// isFallback tells whether a node is followed as a spare.
func (f *Follower) isFallback(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[address]
	return s != nil && s.fallback
}
