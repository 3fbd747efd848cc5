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
	// silentBeats heartbeats missed make a backend server silent.
	silentBeats = 4
	// retellEvery is how often a node tells the others of the backend servers
	// that it hears, and relayedSilence how long they wait for that: two times
	// and a half.
	retellEvery    = 30 * time.Second
	relayedSilence = 75 * time.Second
	// forgetAfter is when a registration is forgotten.
	forgetAfter = 2 * time.Minute
	sweepEvery  = time.Second
)

// newOthers returns the follower of the other control nodes.
func (n *Node) newOthers() *feed.Follower {
	return &feed.Follower{
		Endpoint: n.process.Endpoint,
		Hello:    feed.NewHello(feed.RoleNode, n.process.Identity, "", "", nil, false),
		Seeds:    func() []string { return append(n.seedLinks(), n.member.nodes()...) },
		// Documents come by the control log.
		DocumentNumber: func() uint64 { return math.MaxUint64 },
		OnUpdate:       n.takeOther,
		Versions:       n.service.state.Weights,
		Records:        n.service.quarantine.Records,
		Logger:         n.process.Logger,
	}
}

// learnFrom takes the ages of versions that a new follower knows of.
func (n *Node) learnFrom(f feed.Hello) {
	n.service.state.Learn(f.Versions(), string(f.Role()), f.Self().Address())
}

// takeOther takes what another control node tells.
func (n *Node) takeOther(address string, u feed.Update) {
	for _, r := range u.Registrations() {
		if word, tell := n.service.registry.ReceiveRelayed(r); tell {
			n.service.publisher.QueueRegistrations(word)
			n.service.logRegistration(word)
		}
	}
	n.service.state.Learn(u.Versions(), string(feed.RoleNode), address)
	n.service.learnRecords(u.Records())
	n.service.publisher.ReceiveNodeUpdate(address, u)
}

// sweep tells of backend servers that have gone silent, and forgets what nodes
// told that have.
func (n *Node) sweep(ctx context.Context) error {
	patience := registry.Timeouts{Direct: silentBeats * n.settings.Heartbeat(), Relayed: relayedSilence, Forget: forgetAfter}
	return daemon.Every(ctx, sweepEvery, func() {
		changed := n.service.registry.Sweep(patience)
		n.service.publisher.QueueRegistrations(changed...)
		for _, r := range changed {
			n.service.logRegistration(r)
		}
		n.service.publisher.Sweep()
		n.service.quarantine.Sweep()
	})
}

// retell tells the other nodes which backend servers are heard here.
func (n *Node) retell(ctx context.Context) error {
	return daemon.Every(ctx, retellEvery, func() { n.service.publisher.ResendToNodes(n.service.registry.Direct()) })
}
