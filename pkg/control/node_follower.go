// ================================================================
// Exchange between control nodes: each node follows all others and receives what their followers
// and backend servers report. So a gateway or stager needs to follow two nodes only, and a
// heartbeat, a load or a new stager is sent once between two nodes instead of once per follower.
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
	// maxMissedHeartbeats is the number of missed heartbeats after which a backend server that
	// sends them to this node is marked silent.
	maxMissedHeartbeats = 4
	// resendInterval is the time between two transmissions of the registrations that a node receives
	// itself to the other nodes.
	resendInterval = 30 * time.Second
	// relayedTimeout is the time after which a registration relayed by another node is marked
	// silent: 2.5 times resendInterval.
	relayedTimeout = 75 * time.Second
	// registrationTTL is the time without a report of a registration after which it is removed.
	registrationTTL = 2 * time.Minute
	sweepInterval   = time.Second
)

// newNodeFollower returns the follower of the other control nodes.
func (n *Node) newNodeFollower() *feed.Follower {
	return &feed.Follower{
		Endpoint: n.process.Endpoint,
		Hello:    feed.NewHello(feed.RoleNode, n.process.Identity, "", "", nil, false),
		Seeds:    func() []string { return append(n.seedAddresses(), n.member.memberAddresses()...) },
		// Documents arrive through the control log: with the highest number none is sent here.
		DocumentNumber: func() uint64 { return math.MaxUint64 },
		OnUpdate:       n.receiveNodeUpdate,
		NamedVersions:  n.service.state.NamedVersions,
		Records:        n.service.quarantine.Records,
		Logger:         n.process.Logger,
	}
}

// mergeFollowerAges takes the ages of versions from the Hello of a new follower.
func (n *Node) mergeFollowerAges(f feed.Hello) {
	n.service.state.MergeAges(f.NamedVersions(), string(f.Role()), f.Self().Address())
}

// receiveNodeUpdate processes an Update from the control node at address.
func (n *Node) receiveNodeUpdate(address string, u feed.Update) {
	n.service.receiveRelayed(address, u.Registrations())
	n.service.state.MergeAges(u.NamedVersions(), string(feed.RoleNode), address)
	n.service.mergeRecords(u.Records())
	n.service.publisher.ReceiveNodeUpdate(address, u)
}

// receiveRelayed processes registrations that came from a source other than the backend servers themselves.
func (s *Service) receiveRelayed(source string, registrations []registry.Registration) {
	for _, r := range registrations {
		if accepted, changed := s.registry.ReceiveRelayed(r); changed {
			s.publisher.QueueRegistrations(accepted)
			s.logRegistration(accepted, source)
		}
	}
}

// expireRegistrations publishes backend servers that have become silent, and removes what nodes and
// followers reported once it is outdated.
func (n *Node) expireRegistrations(ctx context.Context) error {
	timeouts := registry.Timeouts{Direct: maxMissedHeartbeats * n.settings.Heartbeat(), Relayed: relayedTimeout, Expiry: registrationTTL}
	return daemon.Every(ctx, sweepInterval, func() {
		changed := n.service.registry.Sweep(timeouts)
		n.service.publisher.QueueRegistrations(changed...)
		for _, r := range changed {
			n.service.logRegistration(r, sourceTimeout)
		}
		n.service.publisher.Sweep()
		n.service.quarantine.Sweep()
	})
}

// resendRegistrations sends the registrations that this node receives itself to the other nodes.
func (n *Node) resendRegistrations(ctx context.Context) error {
	return daemon.Every(ctx, resendInterval, func() { n.service.publisher.ResendToNodes(n.service.registry.Direct()) })
}
