// ================================================================
// A fleet of control nodes and followers in virtual time, on an in-memory network that counts bytes.
// ================================================================

package feed

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/internal/memnet"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// simLinkLatency is the latency of the network, and simSeeds the number of nodes that followers know
	// from their settings.
	simLinkLatency = time.Millisecond
	simSeeds       = 3
	// simLoadInterval is the time between two load reports of a stager, and simHeartbeatInterval that
	// between two heartbeats of an engine.
	simLoadInterval      = 500 * time.Millisecond
	simHeartbeatInterval = 1200 * time.Millisecond
)

// fleetSize is the number of processes of a fleet. They are spread over the failure domains in turn.
type fleetSize struct {
	domains, nodes, gateways, engines int
}

// fleetSim is a running fleet. It must be created in a synctest bubble, and stopped before its end.
type fleetSim struct {
	t       testing.TB
	size    fleetSize
	network *memnet.Network
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// nodes are in the order of their addresses; the first ones are the seeds.
	nodes    []*simNode
	gateways []*simFollower
	stagers  []*simFollower

	mu      sync.Mutex
	domains map[string]string // by address
	traffic simTraffic
}

// simTraffic counts the bytes that were sent and received.
type simTraffic struct {
	byProcess      map[string]int64 // by address
	betweenDomains int64
}

// simNode is a control node.
type simNode struct {
	identity  vm.Identity
	endpoint  *link.Endpoint
	listener  net.Listener
	publisher *Publisher
	table     *registry.Table
	cancel    context.CancelFunc

	leaderless atomic.Bool  // it has no contact with a leader
	hellos     atomic.Int64 // streams that were opened, other than fallback ones

	mu sync.Mutex
	// loadsFrom counts the loads that other nodes sent, by the failure domain of the engine and that of
	// the node.
	loadsFrom map[[2]string]int
}

// simFollower is a gateway or stager.
type simFollower struct {
	*Follower
	domain string

	mu    sync.Mutex
	loads map[string]time.Time             // when the last load of an engine arrived
	known map[string]registry.Registration // by incarnation
	// copies counts how often each registration was received, by incarnation.
	copies map[string]int
}

// startFleet starts the nodes, and the followers as soon as they listen.
func startFleet(t testing.TB, size fleetSize) *fleetSim {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleetSim{
		t: t, size: size, network: memnet.New(simLinkLatency), ctx: ctx, cancel: cancel,
		domains: map[string]string{}, traffic: simTraffic{byProcess: map[string]int64{}},
	}
	for i := range size.nodes {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	for _, n := range f.nodes {
		f.startNode(n)
	}
	for i := range size.gateways {
		f.gateways = append(f.gateways, f.startFollower(RoleGateway, 2, i))
	}
	for i := range size.engines {
		f.stagers = append(f.stagers, f.startFollower(RoleStager, 3, i))
	}
	return f
}

// stop ends all processes.
func (f *fleetSim) stop() {
	f.cancel()
	for _, n := range f.nodes {
		f.stopNode(n)
	}
	f.running.Wait()
	time.Sleep(time.Second) // the network delivers what is in transit
}

// identity returns the identity of a process, and records its failure domain.
func (f *fleetSim) identity(kind, index int) vm.Identity {
	domain := index % f.size.domains
	address := fmt.Sprintf("10.%d.%d.%d:7700", kind*16+domain, index/200, index%200+1)
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprintf("hall-%d", domain)
	f.domains[address] = name
	return vm.NewIdentity(vm.ID(fmt.Sprintf("vm-%d-%d", kind, index)), 1, name, name, address)
}

func (f *fleetSim) newEndpoint(self vm.Identity) *link.Endpoint {
	dial := f.network.Dial(string(self.ID()))
	return link.NewEndpoint(link.Config{
		Self: self, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(), MaxConnections: maxFollowers,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return simConn{conn, f, self.Address(), address}, nil
		},
	})
}

// simConn counts the bytes of a connection for both of its ends.
type simConn struct {
	net.Conn
	fleet    *fleetSim
	from, to string
}

func (c simConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.fleet.countBytes(c.from, c.to, n)
	return n, err
}

func (c simConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.fleet.countBytes(c.from, c.to, n)
	return n, err
}

func (f *fleetSim) countBytes(a, b string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traffic.byProcess[a] += int64(n)
	f.traffic.byProcess[b] += int64(n)
	if f.domains[a] != f.domains[b] {
		f.traffic.betweenDomains += int64(n)
	}
}

// ----------------------------------------------------------------
// Processes

func (f *fleetSim) newNode(index int) *simNode {
	identity := f.identity(1, index)
	return &simNode{identity: identity, table: registry.NewTable(nil), loadsFrom: map[[2]string]int{}}
}

// startNode starts a node, or starts it again without what it knew.
func (f *fleetSim) startNode(n *simNode) {
	var ctx context.Context
	ctx, n.cancel = context.WithCancel(f.ctx)
	n.endpoint, n.table = f.newEndpoint(n.identity), registry.NewTable(nil)
	n.publisher = NewPublisher(PublisherConfig{
		Self: n.identity, DocumentNumber: func() uint64 { return 1 }, NamedVersions: func() []NamedVersion { return nil },
		Registrations: n.table.All, Nodes: f.nodeAddresses, QuorumConfirmed: func() bool { return !n.leaderless.Load() },
		OnHello: func(h Hello) {
			if !h.fallback {
				n.hellos.Add(1)
			}
		},
	})
	n.endpoint.Handle(link.KindFeed, n.publisher.Serve)
	listener, err := f.network.Listen(string(n.identity.ID()))(n.identity.Address())
	if err != nil {
		f.t.Fatal(err)
	}
	n.listener = listener
	f.running.Go(func() { _ = n.endpoint.Serve(ctx, listener) })
	f.follow(ctx, n.endpoint, NewHello(RoleNode, n.identity, "", "", nil, false), f.nodeAddresses, func(address string, u Update) { f.receiveAtNode(n, address, u) })
}

func (f *fleetSim) stopNode(n *simNode) {
	n.cancel()
	_ = n.listener.Close()
	n.endpoint.Close()
	f.network.DisconnectHost(string(n.identity.ID()))
}

// receiveAtNode does what a control node does with the Update of another one.
func (f *fleetSim) receiveAtNode(n *simNode, address string, u Update) {
	f.mu.Lock()
	from := f.domains[address]
	f.mu.Unlock()
	n.mu.Lock()
	for _, l := range u.loads {
		n.loadsFrom[[2]string{l.service, from}]++
	}
	n.mu.Unlock()
	for _, r := range u.registrations {
		if accepted, changed := n.table.ReceiveRelayed(r); changed {
			n.publisher.QueueRegistrations(accepted)
		}
	}
	n.publisher.ReceiveNodeUpdate(address, u)
}

func (f *fleetSim) nodeAddresses() []string {
	var addresses []string
	for _, n := range f.nodes {
		addresses = append(addresses, n.identity.Address())
	}
	return addresses
}

func (f *fleetSim) follow(ctx context.Context, e *link.Endpoint, hello Hello, seeds func() []string, onUpdate func(string, Update)) *Follower {
	follower := &Follower{
		Endpoint: e, Hello: hello, Seeds: seeds, DocumentNumber: func() uint64 { return math.MaxUint64 }, OnUpdate: onUpdate, Logger: log.NewNopLogger(),
	}
	f.running.Go(func() { _ = follower.Run(ctx) })
	return follower
}

// startFollower starts a gateway, or a stager with an engine that sends heartbeats.
func (f *fleetSim) startFollower(role Role, kind, index int) *simFollower {
	identity := f.identity(kind, index)
	e := f.newEndpoint(identity)
	s := &simFollower{domain: identity.Domain(), loads: map[string]time.Time{}, known: map[string]registry.Registration{}, copies: map[string]int{}}
	// The service names the failure domain, so that a load shows where it comes from.
	service, engine := "", ""
	if role == RoleStager {
		service, engine = identity.Domain(), identity.Address()
	}
	seeds := func() []string { return f.nodeAddresses()[:min(simSeeds, len(f.nodes))] }
	s.Follower = f.follow(f.ctx, e, NewHello(role, identity, service, engine, nil, false), seeds, s.receive)
	f.running.Go(func() {
		<-f.ctx.Done()
		e.Close()
	})
	if role == RoleStager {
		f.running.Go(func() { f.reportLoads(s, index) })
		f.running.Go(func() { f.sendHeartbeats(s, index) })
	}
	return s
}

func (s *simFollower) receive(_ string, u Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range u.loads {
		s.loads[l.engine] = time.Now()
	}
	for _, r := range u.registrations {
		s.known[r.Incarnation()] = r
		s.copies[r.Incarnation()]++
	}
}

// reportLoads reports a load that changes every time.
func (f *fleetSim) reportLoads(s *simFollower, index int) {
	random := rand.New(rand.NewPCG(uint64(index), 1))
	for f.sleep(jittered(random, simLoadInterval)) {
		s.ReportLoad(NewLoad(s.Hello.service, s.Hello.engine, "menu", 1, random.IntN(12), random.IntN(3), 1, false, false))
	}
}

// sendHeartbeats sends the heartbeats of an engine to one node.
func (f *fleetSim) sendHeartbeats(s *simFollower, index int) {
	random := rand.New(rand.NewPCG(uint64(index), 2))
	n := f.nodes[random.IntN(len(f.nodes))]
	for sequence := uint64(1); f.sleep(jittered(random, simHeartbeatInterval)); sequence++ {
		r := registry.NewRegistration(fmt.Sprintf("e-%d", index), s.Hello.service, s.Hello.engine, s.domain, "v1", 8, registry.Ready, 0, []registry.Holding{registry.NewHolding("menu", 1, 0, 16)}, sequence, 1)
		if n.table.Receive(r) {
			n.publisher.QueueRegistrations(r)
		}
	}
}

func jittered(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(mean))
}

// sleep sleeps and reports whether the fleet still runs.
func (f *fleetSim) sleep(d time.Duration) bool {
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
