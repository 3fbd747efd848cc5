package feed

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

// gatewayRun is one start of a gateway at an address.
type gatewayRun struct {
	follower      *Follower
	usageReceived atomic.Int64 // number of Updates with a predecessor's retry usage
	stop          func()
}

// startGatewayRun starts a gateway at a fixed link address.
func (c *testCluster) startGatewayRun(incarnation uint64, nodes func() []string) *gatewayRun {
	identity := vm.NewIdentity("gateway-1", incarnation, "", "hall-0", "gateway-1:7700")
	e := c.endpoint(identity)
	r := &gatewayRun{}
	r.follower = &Follower{
		Endpoint: e, Hello: NewHello(RoleGateway, identity, "", "", nil, false), Seeds: nodes,
		DocumentNumber: func() uint64 { return math.MaxUint64 }, Logger: log.NewNopLogger(),
		OnUpdate: func(_ string, u Update) {
			if u.RetryUsage() != nil {
				r.usageReceived.Add(1)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = func() { cancel(); e.Close() }
	c.t.Cleanup(r.stop)
	go func() { _ = r.follower.Run(ctx) }()
	c.eventually("the gateway knows the number of gateways", func() bool { return r.follower.Gateways() > 0 })
	return r
}

// hasRetryUsage reports whether a node holds a retry usage.
func (p *Publisher) hasRetryUsage() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.retryUsage) > 0
}

// Only the next gateway at an address receives the retry usage of its predecessor: if two received
// it, the same retries would be used twice.
func TestRetryUsageIsHandedOverOnce(t *testing.T) {
	c := &testCluster{t: t, loads: map[string]int{}}
	var nodes []*Publisher
	for i := range 3 {
		nodes = append(nodes, c.startNode(fmt.Sprintf("hall-%d", i)))
	}
	isStored := func() bool {
		for _, p := range nodes {
			if p.hasRetryUsage() {
				return true
			}
		}
		return false
	}
	first := c.startGatewayRun(1, c.nodes)
	first.follower.ReportRetryUsage(NewRetryUsage(1, time.Second, 0, []ServiceRetryUsage{NewServiceRetryUsage("menu", []int{3}, []int{1})}))
	c.eventually("a node stores the retry usage", isStored)
	first.stop()
	second := c.startGatewayRun(2, c.nodes)
	c.eventually("the next gateway receives the retry usage", func() bool { return second.usageReceived.Load() > 0 })
	c.eventually("no node stores it any more", func() bool { return !isStored() })
	second.stop()
	third := c.startGatewayRun(3, c.nodes)
	if n := third.usageReceived.Load(); n > 0 {
		t.Errorf("a later gateway received the retry usage %d times", n)
	}
}

// A node that the next gateway does not follow learns of its start from the other nodes, and drops
// the retry usage.
func TestNodeDropsRetryUsageOnceGatewayStartsElsewhere(t *testing.T) {
	c := &testCluster{t: t, loads: map[string]int{}}
	unfollowed := c.startNode("hall-0")
	c.startNode("hall-1")
	nodeAt := func(i int) func() []string { return func() []string { return c.nodes()[i : i+1] } }
	unfollowed.mu.Lock()
	unfollowed.retryUsage["gateway-1:7700"] = storedRetryUsage{RetryUsage{}, time.Now()}
	unfollowed.mu.Unlock()
	// The second node reports no other nodes to its followers, so the gateway never contacts the
	// first one.
	c.openPrimaryStream(nodeAt(1))
	c.eventually("the node has dropped the retry usage", func() bool { return !unfollowed.hasRetryUsage() })
}

// openPrimaryStream opens a gateway's stream to the first of the nodes and makes it the primary. It
// follows no other nodes.
func (c *testCluster) openPrimaryStream(nodes func() []string) {
	identity := vm.NewIdentity("gateway-1", 2, "", "hall-1", "gateway-1:7700")
	e := c.endpoint(identity)
	stream, err := e.Open(c.t.Context(), nodes()[0], link.KindFeed, "")
	if err != nil {
		c.t.Fatal(err)
	}
	if err := stream.Send(NewHello(RoleGateway, identity, "", "", nil, false)); err != nil {
		c.t.Fatal(err)
	}
	if err := stream.Send(FollowerMessage{subscription: Primary}); err != nil {
		c.t.Fatal(err)
	}
}
