// ================================================================
// The links to the other control nodes in doubt. Messages of the log go one way, each
// node's over the link that it dialed, so nobody is told when they are lost. What shows
// is that heartbeats, or the answers to them, do not come: then the own link there may
// be as silent as theirs, and is looked at in time before an election is called.
//
// Rejected: to wait for the election. It takes a second, and its votes are lost on the
// same links.
// ================================================================

package control

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/daemon"
)

const (
	// linkCheckInterval is the time between looks for nodes that are not heard: half a tick
	// of the log, so that a new link carries the heartbeat after next.
	linkCheckInterval = controllog.DefaultTick / 2
	// followerSilenceTicks without an answer have a leader doubt its link: one heartbeat was
	// missed and half the next.
	followerSilenceTicks = controllog.DefaultHeartbeatTicks + 1
	// leaderSilence is the same for the others, who know the time.
	leaderSilence = (controllog.DefaultHeartbeatTicks*2 + 1) * controllog.DefaultTick / 2
)

// watchLinks doubts the links to members that are not heard until the context ends.
func (m *member) watchLinks(ctx context.Context) {
	_ = daemon.Every(ctx, linkCheckInterval, func() { m.checkLinks(time.Now()) })
}

func (m *member) checkLinks(now time.Time) {
	self, state := m.self.Load(), m.state()
	if self == nil {
		return
	}
	silent := now.Sub(m.started)-time.Duration(m.leaderMessageAt.Load()) > leaderSilence
	for _, v := range state.Members {
		if v.ID() == self.ID() {
			continue
		}
		if state.Role == controllog.Leader {
			silent = state.TicksSinceResponse[v.MemberID()] >= followerSilenceTicks
		}
		if silent {
			m.config.endpoint.Probe(v.Address(), now)
		}
	}
}
