package feed

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/internal/silenced"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

// silenceableLinks dials links that can be silenced.
type silenceableLinks struct {
	silenced.Conns
	redirect atomic.Pointer[string] // address to dial instead; nil for the requested one
}

func (s *silenceableLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	if to := s.redirect.Load(); to != nil {
		address = *to
	}
	return s.Dial(ctx, address)
}

// startSilenceableFollower starts a gateway's follower over links that can be silenced, and returns
// it once the first node is its primary.
func (c *testCluster) startSilenceableFollower(links *silenceableLinks, onUpdate func(string, Update)) *Follower {
	identity := vm.NewIdentity("gateway", 1, "", "hall-0", "gateway:7700")
	e := link.NewEndpoint(link.Config{
		Self: identity, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(),
		PingInterval: time.Hour, PingTimeout: time.Hour, Dial: links.dial,
	})
	c.t.Cleanup(e.Close)
	f := &Follower{
		Endpoint: e, Hello: NewHello(RoleGateway, identity, "", "", nil, false), Seeds: func() []string { return c.nodes()[:1] },
		DocumentNumber: func() uint64 { return math.MaxUint64 }, OnUpdate: onUpdate, Logger: log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	c.eventually("the node is the primary", func() bool { return f.Gateways() == 1 })
	return f
}

// wasLost reports whether a node was ever marked lost.
func (f *Follower) wasLost(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, lost := f.lostAt[address]
	return lost
}

// Guards against this failure: all open connections went silent while new ones worked; gateways
// received no loads for seconds and then switched to other control nodes. A follower waited two and
// a half update intervals and counted its node as lost, since it could not distinguish a silent
// link from a lost node. A follower that checks its link after one interval reconnects to its node,
// keeps it as the primary and never marks it lost, and the node counts the follower once.
func TestFollowerReconnectsOverNewLink(t *testing.T) {
	c := &testCluster{t: t, loads: map[string]int{}}
	node, links := c.startNode("hall-0"), &silenceableLinks{}
	var updates atomic.Int64
	f := c.startSilenceableFollower(links, func(string, Update) { updates.Add(1) })
	links.Silence()
	before := updates.Load()
	c.eventually("an Update of the node arrives again", func() bool { return updates.Load() > before })
	c.eventually("the node is the primary again", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.primary != nil
	})
	c.eventually("the node counts the follower once", func() bool {
		node.mu.Lock()
		defer node.mu.Unlock()
		return node.inventory.gateways() == 1
	})
	if address := c.nodes()[0]; f.wasLost(address) {
		t.Errorf("%s was marked lost", address)
	}
}

// If another process answers at the address, the node has restarted. It counts few followers at
// first, and is marked lost like one that was partitioned.
func TestRestartedNodeIsMarkedLost(t *testing.T) {
	c := &testCluster{t: t, loads: map[string]int{}}
	c.startNode("hall-0")
	links := &silenceableLinks{}
	f := c.startSilenceableFollower(links, func(string, Update) {})
	c.startNode("hall-1")
	other := c.nodes()[1]
	links.redirect.Store(&other)
	links.Silence()
	c.eventually("the node is marked lost", func() bool { return f.wasLost(c.nodes()[0]) })
}
