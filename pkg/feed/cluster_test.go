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

// The size of the users' largest deployment.
const (
	clusterNodes    = 5
	clusterGateways = 149
	clusterStagers  = 120
)

// testTimeout ends a test that waits for an event that never comes. It does not bound how long the
// event may take.
const testTimeout = time.Minute

// testCluster is a set of control nodes and followers on loopback, each with its own endpoint, and
// the count of bytes on their links.
type testCluster struct {
	t     *testing.T
	bytes atomic.Int64

	mu            sync.Mutex
	nodeAddresses []string // of the control nodes
	loads         map[string]int
}

// countingConn counts the bytes read from and written to a connection.
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

func (c *testCluster) endpoint(identity vm.Identity) *link.Endpoint {
	e := link.NewEndpoint(link.Config{
		Self: identity, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, &c.bytes}, nil
		},
	})
	c.t.Cleanup(e.Close)
	return e
}

func (c *testCluster) nodes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.nodeAddresses...)
}

// startNode starts a control node in the given failure domain.
func (c *testCluster) startNode(domain string) *Publisher {
	p, _ := c.startCustomNode(domain, func(*PublisherConfig) {}, func(Update) {})
	return p
}

// startCustomNode starts a control node with a modified PublisherConfig and a handler for the
// Updates of other nodes.
func (c *testCluster) startCustomNode(domain string, modify func(*PublisherConfig), onUpdate func(Update)) (*Publisher, *Follower) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	identity := vm.NewIdentity(vm.ID("node-"+domain), 1, domain, domain, listener.Addr().String())
	e := c.endpoint(identity)
	table := registry.NewTable(nil)
	source := PublisherConfig{
		Self: identity, DocumentNumber: func() uint64 { return 0 }, NamedVersions: func() []NamedVersion { return nil },
		Registrations: table.All, Nodes: c.nodes, QuorumConfirmed: func() bool { return true },
	}
	modify(&source)
	p := NewPublisher(source)
	e.Handle(link.KindFeed, p.Serve)
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(func() { cancel(); _ = listener.Close() })
	go func() { _ = e.Serve(ctx, listener) }()
	c.mu.Lock()
	c.nodeAddresses = append(c.nodeAddresses, listener.Addr().String())
	c.mu.Unlock()
	f := c.runFollower(e, NewHello(RoleNode, identity, "", "", nil, false), func(node string, u Update) {
		onUpdate(u)
		p.ReceiveNodeUpdate(node, u)
	})
	return p, f
}

// runFollower starts a follower that ends with the test.
func (c *testCluster) runFollower(e *link.Endpoint, hello Hello, onUpdate func(string, Update)) *Follower {
	f := &Follower{
		Endpoint: e, Hello: hello, Seeds: func() []string { return c.nodes()[:min(3, len(c.nodes()))] },
		DocumentNumber: func() uint64 { return math.MaxUint64 }, OnUpdate: onUpdate, Logger: log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	return f
}

func (c *testCluster) startFollower(role Role, i int, onUpdate func(string, Update)) *Follower {
	name := fmt.Sprintf("%s-%d", role, i)
	identity := vm.NewIdentity(vm.ID(name), 1, "", fmt.Sprintf("hall-%d", i%clusterNodes), name+":7700")
	return c.runFollower(c.endpoint(identity), NewHello(role, identity, "menu", name+":80", nil, false), onUpdate)
}

func (c *testCluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(testTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			c.t.Fatalf("not within %s: %s", testTimeout, description)
		}
	}
}

// Followers that start together must learn of each other with bytes that grow linearly with their
// number. If each start sent the complete list to everybody, 274 followers of 5 nodes would receive
// 274 x 274 x 5 lists of 125 peers.
func TestSimultaneousFollowerStart(t *testing.T) {
	c := &testCluster{t: t, loads: map[string]int{}}
	for i := range clusterNodes {
		c.startNode(fmt.Sprintf("hall-%d", i))
	}
	var gateways, stagers []*Follower
	for i := range clusterGateways {
		gateways = append(gateways, c.startFollower(RoleGateway, i, c.countLoads))
	}
	for i := range clusterStagers {
		stagers = append(stagers, c.startFollower(RoleStager, i, func(string, Update) {}))
	}
	c.eventually("every gateway knows the number of gateways", func() bool {
		return allFollowers(gateways, func(f *Follower) bool { return f.Gateways() == clusterGateways })
	})
	c.eventually("every gateway knows the others", func() bool {
		return allFollowers(gateways, func(f *Follower) bool { return len(f.Peers()) == clusterGateways })
	})
	c.eventually("every stager knows the others", func() bool {
		return allFollowers(stagers, func(f *Follower) bool { return len(f.Peers()) == clusterStagers })
	})
	// 269 followers with two streams each, 120 stagers that receive 120 others, and room for
	// handshakes and for the periodic Updates of a slow machine.
	const maxBytes = 32 << 20
	if got := c.bytes.Load(); got > maxBytes {
		t.Errorf("%d bytes on all links until all followers know each other, want at most %d", got, maxBytes)
	}
	for _, f := range stagers {
		f.ReportLoad(NewLoad("menu", f.Hello.Engine(), "menu", 1, 1, 0, 1, false, false))
	}
	c.eventually("every gateway receives the load of every engine", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, f := range stagers {
			if c.loads[f.Hello.Engine()] < clusterGateways {
				return false
			}
		}
		return true
	})
}

func (c *testCluster) countLoads(_ string, u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range u.Loads() {
		c.loads[l.Engine()]++
	}
}

func allFollowers(followers []*Follower, condition func(*Follower) bool) bool {
	for _, f := range followers {
		if !condition(f) {
			return false
		}
	}
	return true
}
