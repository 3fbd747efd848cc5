// ================================================================
// The nodes that a follower prefers: the pair that it would choose if all working nodes were connected
// alike. It keeps streams to these besides its present pair, which it leaves once they have settled. So
// the followers spread over all nodes, although they know a few from their settings and first connect to
// those, and a node that has restarted gets its followers back.
// ================================================================

package feed

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSettlingTime is how long a node must have been connected before it replaces one of the pair, and
	// settlingJitter what is added to it, by follower: many move at the same time.
	minSettlingTime = primaryWarmup
	settlingJitter  = 2 * time.Second
	// preferredRetryDelay is how long after its loss a node is not preferred.
	preferredRetryDelay = 5 * time.Second
	// quorumLossMemory is how long a node that was left because it had no contact with the leader counts as
	// one without it, unless contact is found again. It would count as untried otherwise, and be tried again
	// and again.
	quorumLossMemory = 30 * time.Second
	// exploreInterval is the least time between two moments at which untried nodes are followed in place of a
	// pair that works but has no contact with the leader. Each sends all registrations or peers, and where a
	// leader is missing all followers look for one; gateways try fallback nodes meanwhile, which send
	// documents only.
	exploreInterval = 5 * time.Second
)

// preferredNodes returns the preferred pair; none for a control node, which follows all others. The caller
// holds the lock.
func (f *Follower) preferredNodes(now time.Time) []string {
	if f.Hello.role == RoleNode {
		return nil
	}
	all := f.pairCandidates(now)
	for i, c := range all {
		switch {
		case now.Sub(f.lostAt[c.address]) < preferredRetryDelay:
			all[i].rank = rankFailed
		case c.rank <= rankUntried:
			all[i].rank = rankHealthy
		}
	}
	return choosePair(f.Hello.self, all)
}

// pairCandidates returns the candidates for the pair. While no untried node may be followed, these
// rank behind those without contact with the leader. The caller holds the lock.
func (f *Follower) pairCandidates(now time.Time) []candidate {
	all := f.candidates(now)
	if f.mayExplore(now) {
		return all
	}
	for i := range all {
		if all[i].rank == rankUntried {
			all[i].rank = rankDeferred
		}
	}
	return all
}

// mayExplore reports whether an untried node may be followed as one of the pair.
func (f *Follower) mayExplore(now time.Time) bool {
	regular := 0
	for _, s := range f.streams {
		if s.stream == nil || s.fallback {
			continue
		}
		if now.Sub(s.quorumAt) < quorumTimeout {
			return true
		}
		regular++
	}
	return regular < 2 || now.Sub(f.openedAt) >= exploreInterval
}

// forgetQuorumLoss lets nodes be tried again once contact with the leader is found after its loss.
func (f *Follower) forgetQuorumLoss(now time.Time) {
	if now.Sub(f.lastQuorumAt) >= quorumTimeout {
		clear(f.withoutQuorumAt)
	}
}

// settlingTime is how long a node must have been connected before it replaces one of the pair.
func (f *Follower) settlingTime() time.Duration {
	return minSettlingTime + time.Duration(xxhash.Sum64String(f.Hello.self.Address())%uint64(settlingJitter))
}

// recordLeft records that a stream is closed although the node works. The caller holds the lock.
func (f *Follower) recordLeft(address string, now time.Time) {
	if f.rankOf(address, now) == rankNoQuorum {
		f.withoutQuorumAt[address] = now
	}
}
