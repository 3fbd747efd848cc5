package feed

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/vm"
)

// The size of the users' largest deployment today.
const (
	herdNodes    = 5
	herdGateways = 149
	herdStagers  = 120
)

// patience ends a test that waits for what does not come; it is no bound on how
// long things may take.
const patience = time.Minute

// herd is control nodes and followers on loopback, each with an endpoint of its
// own, and the bytes that came over their links.
type herd struct {
	t     *testing.T
	bytes atomic.Int64

	mu    sync.Mutex
	addrs []string // of the nodes
	loads map[string]int
}

// counted counts what is read from a connection and written to it.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (h *herd) endpoint(identity vm.Identity) *link.Endpoint {
	e := link.NewEndpoint(link.Config{
		Own: identity, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return counted{conn, &h.bytes}, nil
		},
	})
	h.t.Cleanup(e.Close)
	return e
}

func (h *herd) nodes() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.addrs...)
}

// startNode starts a control node of a failure domain of its own.
func (h *herd) startNode(domain string) *Publisher {
	p, _ := h.startNodeWith(domain, func(*Source) {}, func(Update) {})
	return p
}

// startNodeWith starts one after a change of what it tells, which takes what other nodes
// tell.
func (h *herd) startNodeWith(domain string, change func(*Source), take func(Update)) (*Publisher, *Follower) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	identity := vm.NewIdentity(vm.ID("node-"+domain), 1, domain, domain, l.Addr().String())
	e := h.endpoint(identity)
	table := registry.NewTable(nil)
	source := Source{
		Self: identity, Number: func() uint64 { return 0 }, Weights: func() []Weights { return nil },
		Registrations: table.All, Nodes: h.nodes, Confirmed: func() bool { return true },
	}
	change(&source)
	p := NewPublisher(source)
	e.Handle(link.KindFeed, p.Serve)
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(func() { cancel(); _ = l.Close() })
	go func() { _ = e.Serve(ctx, l) }()
	h.mu.Lock()
	h.addrs = append(h.addrs, l.Addr().String())
	h.mu.Unlock()
	f := h.follow(e, NewHello(RoleNode, identity, "", "", nil, false), func(node string, u Update) {
		take(u)
		p.Relayed(node, u)
	})
	return p, f
}

// follow starts a follower.
func (h *herd) follow(e *link.Endpoint, hello Hello, take func(string, Update)) *Follower {
	f := &Follower{
		Endpoint: e, Hello: hello, Seeds: func() []string { return h.nodes()[:min(3, len(h.nodes()))] },
		Held: func() uint64 { return math.MaxUint64 }, Take: take, Logger: log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	return f
}

func (h *herd) startFollower(role Role, i int, take func(string, Update)) *Follower {
	name := fmt.Sprintf("%s-%d", role, i)
	identity := vm.NewIdentity(vm.ID(name), 1, "", fmt.Sprintf("hall-%d", i%herdNodes), name+":7700")
	return h.follow(h.endpoint(identity), NewHello(role, identity, "menu", name+":80", nil, false), take)
}

func (h *herd) eventually(what string, done func() bool) {
	h.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(patience)
	for !done() {
		select {
		case <-ticker.C:
		case <-deadline:
			h.t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// Followers that start together hear of each other in bytes that grow as their
// number, and not as its square: told whole to everybody at each start, 274
// followers of 5 nodes would be told 274 x 274 x 5 times of 125 peers.
func TestFollowersThatStartTogether(t *testing.T) {
	h := &herd{t: t, loads: map[string]int{}}
	for i := range herdNodes {
		h.startNode(fmt.Sprintf("hall-%d", i))
	}
	var gateways, stagers []*Follower
	for i := range herdGateways {
		gateways = append(gateways, h.startFollower(RoleGateway, i, h.countLoads))
	}
	for i := range herdStagers {
		stagers = append(stagers, h.startFollower(RoleStager, i, func(string, Update) {}))
	}
	h.eventually("every gateway knows how many there are", func() bool {
		return all(gateways, func(f *Follower) bool { return f.Gateways() == herdGateways })
	})
	h.eventually("every gateway knows the others", func() bool {
		return all(gateways, func(f *Follower) bool { return len(f.Peers()) == herdGateways })
	})
	h.eventually("every stager knows the others", func() bool {
		return all(stagers, func(f *Follower) bool { return len(f.Peers()) == herdStagers })
	})
	// 269 followers with two streams each, 120 stagers told of 120 others, and room
	// for handshakes and the beats of a slow machine.
	const most = 32 << 20
	if got := h.bytes.Load(); got > most {
		t.Errorf("%d bytes over all links until all know each other, over %d", got, most)
	}
	for _, f := range stagers {
		f.Tell(NewLoad("menu", f.Hello.Engine(), "menu", 1, 1, 0, 1, false, false))
	}
	h.eventually("every gateway hears of every engine", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, f := range stagers {
			if h.loads[f.Hello.Engine()] < herdGateways {
				return false
			}
		}
		return true
	})
}

func (h *herd) countLoads(_ string, u Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range u.Loads() {
		h.loads[l.Engine()]++
	}
}

func all(followers []*Follower, holds func(*Follower) bool) bool {
	for _, f := range followers {
		if !holds(f) {
			return false
		}
	}
	return true
}
