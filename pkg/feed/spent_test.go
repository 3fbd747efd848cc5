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

// life is one life of a gateway at an address.
type life struct {
	follower *Follower
	told     atomic.Int64 // how often it was told what the one before had spent
	end      func()
}

// startLife starts a gateway that always has the same link address.
func (h *herd) startLife(incarnation uint64, nodes func() []string) *life {
	identity := vm.NewIdentity("gateway-1", incarnation, "", "hall-0", "gateway-1:7700")
	e := h.endpoint(identity)
	l := &life{}
	l.follower = &Follower{
		Endpoint: e, Hello: NewHello(RoleGateway, identity, "", "", nil, false), Seeds: nodes,
		Held: func() uint64 { return math.MaxUint64 }, Logger: log.NewNopLogger(),
		Take: func(_ string, u Update) {
			if u.Spent() != nil {
				l.told.Add(1)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.end = func() { cancel(); e.Close() }
	h.t.Cleanup(l.end)
	go func() { _ = l.follower.Run(ctx) }()
	h.eventually("the gateway knows how many there are", func() bool { return l.follower.Gateways() > 0 })
	return l
}

// keeps tells whether a node keeps a last word.
func (p *Publisher) keeps() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.spent) > 0
}

// The next life at an address is told what the one before had spent, and no later one is: a
// word that two of them took would be spent twice.
func TestLastWordIsHandedOnOnce(t *testing.T) {
	h := &herd{t: t, loads: map[string]int{}}
	var nodes []*Publisher
	for i := range 3 {
		nodes = append(nodes, h.startNode(fmt.Sprintf("hall-%d", i)))
	}
	kept := func() bool {
		for _, p := range nodes {
			if p.keeps() {
				return true
			}
		}
		return false
	}
	first := h.startLife(1, h.nodes)
	first.follower.TellSpent(NewSpent(1, time.Second, 0, []ServiceSpent{NewServiceSpent("menu", []int{3}, []int{1})}))
	h.eventually("the last word is kept", kept)
	first.end()
	second := h.startLife(2, h.nodes)
	h.eventually("the next one is told", func() bool { return second.told.Load() > 0 })
	h.eventually("no node keeps it", func() bool { return !kept() })
	second.end()
	third := h.startLife(3, h.nodes)
	if n := third.told.Load(); n > 0 {
		t.Errorf("a later one was told %d times", n)
	}
}

// A node that the next life does not follow hears of it from the others, and forgets.
func TestNodeForgetsAWordThatAnotherMayHaveHandedOn(t *testing.T) {
	h := &herd{t: t, loads: map[string]int{}}
	apart := h.startNode("hall-0")
	h.startNode("hall-1")
	only := func(i int) func() []string { return func() []string { return h.nodes()[i : i+1] } }
	apart.mu.Lock()
	apart.spent["gateway-1:7700"] = toldSpent{Spent{}, time.Now()}
	apart.mu.Unlock()
	// The second node names no others to its followers, so the first is never asked.
	h.followOne(only(1))
	h.eventually("the node has forgotten it", func() bool { return !apart.keeps() })
}

// followOne starts a gateway that knows the nodes of its seeds, and tells the first that it is
// its primary, without taking any others.
func (h *herd) followOne(nodes func() []string) {
	identity := vm.NewIdentity("gateway-1", 2, "", "hall-1", "gateway-1:7700")
	e := h.endpoint(identity)
	stream, err := e.Open(h.t.Context(), nodes()[0], link.KindFeed, "")
	if err != nil {
		h.t.Fatal(err)
	}
	if err := stream.Send(NewHello(RoleGateway, identity, "", "", nil, false)); err != nil {
		h.t.Fatal(err)
	}
	if err := stream.Send(Word{subscription: Primary}); err != nil {
		h.t.Fatal(err)
	}
}
