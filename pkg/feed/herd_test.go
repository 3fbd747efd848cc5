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
	clusterNodes    = 5
	clusterGateways = 149
	clusterStagers  = 120
)

// testTimeout ends a test that waits for what does not come; it is no bound on how
// long things may take.
const testTimeout = time.Minute

// testCluster is control nodes and followers on loopback, each with an endpoint of its
// own, and the bytes that came over their links.
type testCluster struct {
	t     *testing.T
	bytes atomic.Int64

	mu            sync.Mutex
	nodeAddresses []string // of the nodes
	loads         map[string]int
}

// countingConn counts what is read from a connection and written to it.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (h *testCluster) endpoint(identity vm.Identity) *link.Endpoint {
	e := link.NewEndpoint(link.Config{
		Own: identity, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, &h.bytes}, nil
		},
	})
	h.t.Cleanup(e.Close)
	return e
}

func (h *testCluster) nodes() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.nodeAddresses...)
}

// startNode starts a control node of a failure domain of its own.
func (h *testCluster) startNode(domain string) *Publisher {
	p, _ := h.startCustomNode(domain, func(*Source) {}, func(Update) {})
	return p
}

// startCustomNode starts one after a change of what it tells, which takes what other nodes
// tell.
func (h *testCluster) startCustomNode(domain string, change func(*Source), take func(Update)) (*Publisher, *Follower) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	identity := vm.NewIdentity(vm.ID("node-"+domain), 1, domain, domain, l.Addr().String())
	e := h.endpoint(identity)
	table := registry.NewTable(nil)
	source := Source{
		Self: identity, DocumentNumber: func() uint64 { return 0 }, Versions: func() []NamedVersion { return nil },
		Registrations: table.All, Nodes: h.nodes, QuorumConfirmed: func() bool { return true },
	}
	change(&source)
	p := NewPublisher(source)
	e.Handle(link.KindFeed, p.Serve)
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(func() { cancel(); _ = l.Close() })
	go func() { _ = e.Serve(ctx, l) }()
	h.mu.Lock()
	h.nodeAddresses = append(h.nodeAddresses, l.Addr().String())
	h.mu.Unlock()
	f := h.runFollower(e, NewHello(RoleNode, identity, "", "", nil, false), func(node string, u Update) {
		take(u)
		p.ReceiveNodeUpdate(node, u)
	})
	return p, f
}

// runFollower starts a follower.
func (h *testCluster) runFollower(e *link.Endpoint, hello Hello, take func(string, Update)) *Follower {
	f := &Follower{
		Endpoint: e, Hello: hello, Seeds: func() []string { return h.nodes()[:min(3, len(h.nodes()))] },
		DocumentNumber: func() uint64 { return math.MaxUint64 }, OnUpdate: take, Logger: log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	return f
}

func (h *testCluster) startFollower(role Role, i int, take func(string, Update)) *Follower {
	name := fmt.Sprintf("%s-%d", role, i)
	identity := vm.NewIdentity(vm.ID(name), 1, "", fmt.Sprintf("hall-%d", i%clusterNodes), name+":7700")
	return h.runFollower(h.endpoint(identity), NewHello(role, identity, "menu", name+":80", nil, false), take)
}

func (h *testCluster) eventually(what string, done func() bool) {
	h.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(testTimeout)
	for !done() {
		select {
		case <-ticker.C:
		case <-deadline:
			h.t.Fatalf("not within %s: %s", testTimeout, what)
		}
	}
}

// Followers that start together hear of each other in bytes that grow as their
// number, and not as its square: told whole to everybody at each start, 274
// followers of 5 nodes would be told 274 x 274 x 5 times of 125 peers.
func TestSimultaneousFollowerStart(t *testing.T) {
	h := &testCluster{t: t, loads: map[string]int{}}
	for i := range clusterNodes {
		h.startNode(fmt.Sprintf("hall-%d", i))
	}
	var gateways, stagers []*Follower
	for i := range clusterGateways {
		gateways = append(gateways, h.startFollower(RoleGateway, i, h.countLoads))
	}
	for i := range clusterStagers {
		stagers = append(stagers, h.startFollower(RoleStager, i, func(string, Update) {}))
	}
	h.eventually("every gateway knows how many there are", func() bool {
		return allFollowers(gateways, func(f *Follower) bool { return f.Gateways() == clusterGateways })
	})
	h.eventually("every gateway knows the others", func() bool {
		return allFollowers(gateways, func(f *Follower) bool { return len(f.Peers()) == clusterGateways })
	})
	h.eventually("every stager knows the others", func() bool {
		return allFollowers(stagers, func(f *Follower) bool { return len(f.Peers()) == clusterStagers })
	})
	// 269 followers with two streams each, 120 stagers told of 120 others, and room
	// for handshakes and the beats of a slow machine.
	const maxBytes = 32 << 20
	if got := h.bytes.Load(); got > maxBytes {
		t.Errorf("%d bytes over all links until all know each other, over %d", got, maxBytes)
	}
	for _, f := range stagers {
		f.ReportLoad(NewLoad("menu", f.Hello.Engine(), "menu", 1, 1, 0, 1, false, false))
	}
	h.eventually("every gateway hears of every engine", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, f := range stagers {
			if h.loads[f.Hello.Engine()] < clusterGateways {
				return false
			}
		}
		return true
	})
}

func (h *testCluster) countLoads(_ string, u Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range u.Loads() {
		h.loads[l.Engine()]++
	}
}

func allFollowers(followers []*Follower, holds func(*Follower) bool) bool {
	for _, f := range followers {
		if !holds(f) {
			return false
		}
	}
	return true
}
