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

// awaitState waits until a node knows the backend server in a state.
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

// A backend server calls one node; followers of the others hear of it too, and of
// its end wherever it says so.
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

// Two nodes that do not reach each other both reach the third, which tells each of
// them what the other one heard: a backend server that leaves must get nothing from
// gateways that follow any node.
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
	// It is told on also where it is not acknowledged, since the last node may lead.
	_ = first.node.service.ReceiveHeartbeat(heartbeat(registry.Draining, 2))
	c.awaitState(last, registry.Draining)
}

// Another program writes an entry of a service that nobody has configured under the
// incarnation of a backend server: that one holds. An entry of its own may stay, since the
// service may be configured yet.
func TestUnknownServiceCannotReplaceRegistration(t *testing.T) {
	c := newCluster(t, 3)
	n := c.nodes[0]
	c.put(n, 1)
	c.eventually("heartbeat", func() error { return n.node.service.ReceiveHeartbeat(heartbeat(registry.Ready, 1)) })
	c.eventually("configuration", func() error {
		if n.node.service.state.ConfigurationNumber() == 0 {
			return fmt.Errorf("not applied here yet")
		}
		return nil
	})
	unknownService := func(incarnation string) registry.Registration {
		return registry.NewRegistration(incarnation, "nowhere", "10.0.0.9:80", "north", "v1", 4, registry.Ready, 0, nil, 9, 5)
	}
	if err := n.node.service.ReceiveHeartbeat(unknownService("i-1")); !failure.Is(err, failure.BadRequest) {
		t.Errorf("it was taken: %v", err)
	}
	if r, _ := n.node.service.registry.Get("i-1"); r.Service() != "menu" {
		t.Errorf("the backend server is of service %s", r.Service())
	}
	if err := n.node.service.ReceiveHeartbeat(unknownService("i-9")); err != nil {
		t.Errorf("an entry of its own: %v", err)
	}
}
