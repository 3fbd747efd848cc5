// ================================================================
// The other control nodes: each node follows all others and takes from them what
// their followers and backend servers told. So a follower needs to hear of two
// nodes only, and a heartbeat, a load or a new stager is told once between two
// nodes and not once to every follower.
// ================================================================

package control

import (
	"context"
	"math"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// maxMissedHeartbeats heartbeats missed make a backend server silent.
	maxMissedHeartbeats = 4
	// resendInterval is how often a node tells the others of the backend servers
	// that it hears, and relayedSilence how long they wait for that: two times
	// and a half.
	resendInterval = 30 * time.Second
	relayedTimeout = 75 * time.Second
	// forgetAfter is when a registration is forgotten.
	forgetAfter   = 2 * time.Minute
	sweepInterval = time.Second
)

// newNodeFollower returns the follower of the other control nodes.
func (n *Node) newNodeFollower() *feed.Follower {
	return &feed.Follower{
		Endpoint: n.process.Endpoint,
		Hello:    feed.NewHello(feed.RoleNode, n.process.Identity, "", "", nil, false),
		Seeds:    func() []string { return append(n.seedAddresses(), n.member.memberAddresses()...) },
		// Documents come by the control log.
		DocumentNumber: func() uint64 { return math.MaxUint64 },
		OnUpdate:       n.receiveNodeUpdate,
		Versions:       n.service.state.NamedVersions,
		Records:        n.service.quarantine.Records,
		Logger:         n.process.Logger,
	}
}

// mergeFollowerAges takes the ages of versions that a new follower knows of.
func (n *Node) mergeFollowerAges(f feed.Hello) {
	n.service.state.MergeAges(f.Versions(), string(f.Role()), f.Self().Address())
}

// receiveNodeUpdate takes what another control node tells.
func (n *Node) receiveNodeUpdate(address string, u feed.Update) {
	for _, r := range u.Registrations() {
		if accepted, changed := n.service.registry.ReceiveRelayed(r); changed {
			n.service.publisher.QueueRegistrations(accepted)
			n.service.logRegistration(accepted)
		}
	}
	n.service.state.MergeAges(u.Versions(), string(feed.RoleNode), address)
	n.service.mergeRecords(u.Records())
	n.service.publisher.ReceiveNodeUpdate(address, u)
}

// expireRegistrations tells of backend servers that have gone silent, and forgets what nodes
// told that have.
func (n *Node) expireRegistrations(ctx context.Context) error {
	timeouts := registry.Timeouts{Direct: maxMissedHeartbeats * n.settings.Heartbeat(), Relayed: relayedTimeout, Forget: forgetAfter}
	return daemon.Every(ctx, sweepInterval, func() {
		changed := n.service.registry.Sweep(timeouts)
		n.service.publisher.QueueRegistrations(changed...)
		for _, r := range changed {
			n.service.logRegistration(r)
		}
		n.service.publisher.Sweep()
		n.service.quarantine.Sweep()
	})
}

// resendRegistrations tells the other nodes which backend servers are heard here.
func (n *Node) resendRegistrations(ctx context.Context) error {
	return daemon.Every(ctx, resendInterval, func() { n.service.publisher.ResendToNodes(n.service.registry.Direct()) })
}
