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

// gatewayRun is one life of a gateway at an address.
type gatewayRun struct {
	follower      *Follower
	usageReceived atomic.Int64 // how often it was told what the one before had spent
	stop          func()
}

// startGatewayRun starts a gateway that always has the same link address.
func (h *testCluster) startGatewayRun(incarnation uint64, nodes func() []string) *gatewayRun {
	identity := vm.NewIdentity("gateway-1", incarnation, "", "hall-0", "gateway-1:7700")
	e := h.endpoint(identity)
	l := &gatewayRun{}
	l.follower = &Follower{
		Endpoint: e, Hello: NewHello(RoleGateway, identity, "", "", nil, false), Seeds: nodes,
		DocumentNumber: func() uint64 { return math.MaxUint64 }, Logger: log.NewNopLogger(),
		OnUpdate: func(_ string, u Update) {
			if u.RetryUsage() != nil {
				l.usageReceived.Add(1)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = func() { cancel(); e.Close() }
	h.t.Cleanup(l.stop)
	go func() { _ = l.follower.Run(ctx) }()
	h.eventually("the gateway knows how many there are", func() bool { return l.follower.Gateways() > 0 })
	return l
}

// hasRetryUsage tells whether a node keeps a last word.
func (p *Publisher) hasRetryUsage() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.retryUsage) > 0
}

// The next life at an address is told what the one before had spent, and no later one is: a
// word that two of them took would be spent twice.
func TestRetryUsageIsHandedOverOnce(t *testing.T) {
	h := &testCluster{t: t, loads: map[string]int{}}
	var nodes []*Publisher
	for i := range 3 {
		nodes = append(nodes, h.startNode(fmt.Sprintf("hall-%d", i)))
	}
	kept := func() bool {
		for _, p := range nodes {
			if p.hasRetryUsage() {
				return true
			}
		}
		return false
	}
	first := h.startGatewayRun(1, h.nodes)
	first.follower.ReportRetryUsage(NewRetryUsage(1, time.Second, 0, []ServiceRetryUsage{NewServiceRetryUsage("menu", []int{3}, []int{1})}))
	h.eventually("the last word is kept", kept)
	first.stop()
	second := h.startGatewayRun(2, h.nodes)
	h.eventually("the next one is told", func() bool { return second.usageReceived.Load() > 0 })
	h.eventually("no node keeps it", func() bool { return !kept() })
	second.stop()
	third := h.startGatewayRun(3, h.nodes)
	if n := third.usageReceived.Load(); n > 0 {
		t.Errorf("a later one was told %d times", n)
	}
}

// A node that the next life does not follow hears of it from the others, and forgets.
func TestNodeDropsRetryUsageOnceGatewayStartsElsewhere(t *testing.T) {
	h := &testCluster{t: t, loads: map[string]int{}}
	apart := h.startNode("hall-0")
	h.startNode("hall-1")
	only := func(i int) func() []string { return func() []string { return h.nodes()[i : i+1] } }
	apart.mu.Lock()
	apart.retryUsage["gateway-1:7700"] = storedRetryUsage{RetryUsage{}, time.Now()}
	apart.mu.Unlock()
	// The second node names no others to its followers, so the first is never asked.
	h.openPrimaryStream(only(1))
	h.eventually("the node has forgotten it", func() bool { return !apart.hasRetryUsage() })
}

// openPrimaryStream starts a gateway that knows the nodes of its seeds, and tells the first that it is
// its primary, without taking any others.
func (h *testCluster) openPrimaryStream(nodes func() []string) {
	identity := vm.NewIdentity("gateway-1", 2, "", "hall-1", "gateway-1:7700")
	e := h.endpoint(identity)
	stream, err := e.Open(h.t.Context(), nodes()[0], link.KindFeed, "")
	if err != nil {
		h.t.Fatal(err)
	}
	if err := stream.Send(NewHello(RoleGateway, identity, "", "", nil, false)); err != nil {
		h.t.Fatal(err)
	}
	if err := stream.Send(FollowerMessage{subscription: Primary}); err != nil {
		h.t.Fatal(err)
	}
}
