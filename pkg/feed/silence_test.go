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

// silenceableLinks dials links that can go silent.
type silenceableLinks struct {
	silenced.Conns
	redirect atomic.Pointer[string] // where dials go in place of the address; nil is the address
}

func (s *silenceableLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	if to := s.redirect.Load(); to != nil {
		address = *to
	}
	return s.Dial(ctx, address)
}

// startSilenceableFollower starts a gateway's follower over links that can go silent and returns
// it once the first node is its primary.
func (h *testCluster) startSilenceableFollower(s *silenceableLinks, take func(string, Update)) *Follower {
	identity := vm.NewIdentity("gateway", 1, "", "hall-0", "gateway:7700")
	e := link.NewEndpoint(link.Config{
		Own: identity, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(),
		KeepAlive: time.Hour, Unanswered: time.Hour, Dial: s.dial,
	})
	h.t.Cleanup(e.Close)
	f := &Follower{
		Endpoint: e, Hello: NewHello(RoleGateway, identity, "", "", nil, false), Seeds: func() []string { return h.nodes()[:1] },
		DocumentNumber: func() uint64 { return math.MaxUint64 }, OnUpdate: take, Logger: log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	h.eventually("the node is the primary", func() bool { return f.Gateways() == 1 })
	return f
}

// wasLost tells whether a node was counted lost.
func (f *Follower) wasLost(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, lost := f.lostAt[address]
	return lost
}

// What was seen: when all open connections went silent while new ones worked, gateways
// heard no loads for seconds, and all of them then chose other control nodes.
// How it came about: a follower waited for two beats and a half and took its node for
// lost. What caused it: nothing told a silent link from a node that is gone, so the wait
// had to cover the slowest node. What proved it: a follower that looks at its link after
// one beat hears its node again, its primary as before, and counts it lost at no time;
// and the node counts that follower once.
func TestFollowerReconnectsOverNewLink(t *testing.T) {
	h := &testCluster{t: t, loads: map[string]int{}}
	node, s := h.startNode("hall-0"), &silenceableLinks{}
	var updates atomic.Int64
	f := h.startSilenceableFollower(s, func(string, Update) { updates.Add(1) })
	s.Silence()
	before := updates.Load()
	h.eventually("the node is heard again", func() bool { return updates.Load() > before })
	h.eventually("it is the primary again", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.primary != nil
	})
	h.eventually("it counts the follower once", func() bool {
		node.mu.Lock()
		defer node.mu.Unlock()
		return node.inventory.gateways() == 1
	})
	if address := h.nodes()[0]; f.wasLost(address) {
		t.Errorf("%s was counted lost", address)
	}
}

// Where another process answers at the address the node was started anew. It counts few
// followers at first, and is lost as one that was cut off is.
func TestRestartedNodeIsMarkedLost(t *testing.T) {
	h := &testCluster{t: t, loads: map[string]int{}}
	h.startNode("hall-0")
	s := &silenceableLinks{}
	f := h.startSilenceableFollower(s, func(string, Update) {})
	h.startNode("hall-1")
	other := h.nodes()[1]
	s.redirect.Store(&other)
	s.Silence()
	h.eventually("the node is counted lost", func() bool { return f.wasLost(h.nodes()[0]) })
}
