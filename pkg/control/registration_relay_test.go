package control

import (
	"fmt"
	"testing"

	"github.com/tidepost/tidepost/internal/loopback"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/registry"
)

func heartbeat(state registry.State, sequence uint64) registry.Registration {
	return registry.NewRegistration("i-1", "menu", "10.0.0.1:80", "north", "v1", 4, state, 0, nil, sequence, 0)
}

// awaitState waits until the backend server has the given state on a node.
func (c *cluster) awaitState(n *testNode, state registry.State) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%s at %s", state, n.name), func() error {
		r, known := n.node.service.registry.Get("i-1")
		if !known || r.State() != state {
			return fmt.Errorf("known %v, state %q", known, r.State())
		}
		return nil
	})
}

// A backend server sends heartbeats to one node and is known to all. It may deregister at any node.
func TestNodesRelayRegistrations(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.eventually("heartbeat", func() error { return c.nodes[0].node.service.ReceiveHeartbeat(heartbeat(registry.Ready, 1)) })
	for _, n := range c.nodes {
		c.awaitState(n, registry.Ready)
	}
	c.eventually("leave", func() error { return c.nodes[1].node.service.Deregister("i-1") })
	for _, n := range c.nodes {
		c.awaitState(n, registry.Gone)
	}
}

// Two nodes that cannot reach each other both reach the third, which relays registrations between
// them: gateways must not send requests to a draining backend server, whichever node they follow.
func TestRegistrationsRelayedAroundPartition(t *testing.T) {
	c := &cluster{t: t}
	for i := range 3 {
		c.nodes = append(c.nodes, &testNode{
			name: fmt.Sprintf("control-%d", i), linkAddress: loopback.FreeAddress(t), httpAddress: loopback.FreeAddress(t), bootstrap: true, disk: disk.NewMemory(),
		})
	}
	first, last := c.nodes[0], c.nodes[2]
	first.unreachable = map[string]bool{last.linkAddress: true}
	last.unreachable = map[string]bool{first.linkAddress: true}
	for _, n := range c.nodes {
		c.start(n)
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			c.stop(n)
		}
	})
	if err := first.node.service.ReceiveHeartbeat(heartbeat(registry.Ready, 1)); err != nil {
		t.Fatal(err)
	}
	c.awaitState(last, registry.Ready)
	// The state is relayed even if the call is not acknowledged, since the last node may lead.
	_ = first.node.service.ReceiveHeartbeat(heartbeat(registry.Draining, 2))
	c.awaitState(last, registry.Draining)
}

// Another program sends a heartbeat for an unconfigured service with the incarnation of a backend
// server: it is rejected. With an incarnation of its own it is accepted, since the service may be
// configured later.
func TestUnknownServiceCannotReplaceRegistration(t *testing.T) {
	c := newCluster(t, 3)
	n := c.nodes[0]
	c.put(n, 1)
	c.eventually("heartbeat", func() error { return n.node.service.ReceiveHeartbeat(heartbeat(registry.Ready, 1)) })
	c.eventually("configuration", func() error {
		if n.node.service.state.DocumentNumber() == 0 {
			return fmt.Errorf("not applied on this node yet")
		}
		return nil
	})
	unknownService := func(incarnation string) registry.Registration {
		return registry.NewRegistration(incarnation, "nowhere", "10.0.0.9:80", "north", "v1", 4, registry.Ready, 0, nil, 9, 5)
	}
	if err := n.node.service.ReceiveHeartbeat(unknownService("i-1")); !failure.Is(err, failure.BadRequest) {
		t.Errorf("heartbeat with the incarnation of another service: %v", err)
	}
	if r, _ := n.node.service.registry.Get("i-1"); r.Service() != "menu" {
		t.Errorf("service of the backend server: %s", r.Service())
	}
	if err := n.node.service.ReceiveHeartbeat(unknownService("i-9")); err != nil {
		t.Errorf("heartbeat with an incarnation of its own: %v", err)
	}
}
