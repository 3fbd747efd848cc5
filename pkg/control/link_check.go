// ================================================================
// Checks of the links between control nodes. Messages of the control log are one-way, over the link
// that the sender dialed, so neither side learns that a message was lost. Missing heartbeats, or
// missing answers to them, show that a link may be silent; it is then probed before an election
// starts. An election takes a second, and its votes would be lost on the same links.
// ================================================================

package control

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/daemon"
)

const (
	// linkCheckInterval is the time between two checks for silent nodes: half a tick of the log, so
	// that a new link is up in time for the heartbeat after the next one.
	linkCheckInterval = controllog.DefaultTick / 2
	// followerSilenceTicks is the number of ticks without an answer after which the leader probes
	// its link to a member: one and a half heartbeat intervals.
	followerSilenceTicks = controllog.DefaultHeartbeatTicks + 1
	// leaderSilence is the time without a message of the leader after which other members probe
	// their links: a heartbeat interval and half a tick. They measure time and do not count ticks.
	leaderSilence = (controllog.DefaultHeartbeatTicks*2 + 1) * controllog.DefaultTick / 2
)

// watchLinks probes the links to silent members until the context ends.
func (m *member) watchLinks(ctx context.Context) {
	_ = daemon.Every(ctx, linkCheckInterval, func() { m.checkLinks(time.Now()) })
}

// checkLinks probes the links to members that are silent: on the leader each member that did not
// answer in time, on other nodes all members if the leader is silent.
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
