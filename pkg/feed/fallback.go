// ================================================================
// Fallback nodes: control nodes that a gateway follows in addition to its two while these send
// nothing, or have lost contact with the leader because they are partitioned from the other nodes.
// A change that the other nodes agree on must be in force within seconds, and the detection of two
// lost nodes takes as long, so a gateway does not wait for it. It uses the shorter update interval
// of its primary as the timeout, and drops the fallback nodes as soon as one of the two is in
// contact with the leader again, except one that it has requested a document from.
//
// A fallback node sends documents and versions only. Registrations and peers are many, and in a
// partition all gateways look for fallback nodes at the same moment.
//
// A permanent third stream would add half as many streams to every node, and the third node may be
// partitioned together with the two.
// ================================================================

package feed

import (
	"slices"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// fallbackTimeout is how long the two nodes may send nothing: an update interval of the primary
	// and the transit time. The backup sends less often, so the loss of the primary alone adds
	// fallback nodes for a moment.
	fallbackTimeout = gatewayUpdateInterval + 200*time.Millisecond
	// firstFallbacks is the number of fallback nodes after fallbackTimeout. After twice that time
	// without any Update all other nodes are followed; missing contact with the leader alone may be
	// an election.
	firstFallbacks = 2
)

// recordActivity records an Update of a followed node and restarts the timer for fallback nodes.
// The caller holds the lock.
func (f *Follower) recordActivity(s *followedNode, quorumConfirmed bool, now time.Time) {
	if s.fallback {
		return
	}
	f.lastUpdateAt = now
	if quorumConfirmed {
		f.forgetQuorumLoss(now)
		f.lastQuorumAt = now
	}
	if f.fallbackTimer == nil {
		return
	}
	if sinceQuorum := now.Sub(f.lastQuorumAt); sinceQuorum < fallbackTimeout {
		f.fallbackTimer.Reset(fallbackTimeout - sinceQuorum)
		return
	}
	f.fallbackTimer.Reset(fallbackTimeout)
	daemon.Wake(f.wake)
}

// fallbackNodes returns the nodes to follow in addition to the wanted ones. The caller holds the
// lock.
func (f *Follower) fallbackNodes(wanted []string, now time.Time) (nodes []string) {
	sinceUpdate, sinceQuorum := now.Sub(f.lastUpdateAt), now.Sub(f.lastQuorumAt)
	if f.Hello.role != RoleGateway || f.lastQuorumAt.IsZero() || sinceQuorum < fallbackTimeout {
		return nil
	}
	for _, c := range sortCandidates(f.Hello.self, f.candidates(now)) {
		if !slices.Contains(wanted, c.address) {
			nodes = append(nodes, c.address)
		}
	}
	if sinceUpdate >= 2*fallbackTimeout {
		return nodes
	}
	if sinceUpdate >= fallbackTimeout {
		f.fallbackTimer.Reset(2*fallbackTimeout - sinceUpdate)
	}
	return nodes[:min(firstFallbacks, len(nodes))]
}

// promoteFallbacks turns fallback nodes that are wanted by now into regular ones, and returns the
// messages that subscribe to everything. The caller holds the lock.
func (f *Follower) promoteFallbacks(wanted []string) map[*link.Stream]FollowerMessage {
	messages := map[*link.Stream]FollowerMessage{}
	for _, address := range wanted {
		if s := f.streams[address]; s.fallback && s.stream != nil {
			s.fallback = false
			messages[s.stream] = FollowerMessage{subscription: Backup}
		}
	}
	return messages
}

// isFallback reports whether a node is followed as a fallback.
func (f *Follower) isFallback(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[address]
	return s != nil && s.fallback
}
