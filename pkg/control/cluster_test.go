package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/loopback"
	"github.com/tidepost/tidepost/internal/silenced"
	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/settings"
)

// cluster is a set of control nodes on loopback addresses with disks in memory.
type cluster struct {
	t           testing.TB
	nodes       []*testNode
	clockOffset atomic.Int64 // nanoseconds by which the clock of named versions is ahead
}

// testNode is one node and its disk, which is kept across restarts.
type testNode struct {
	name, linkAddress, httpAddress string
	bootstrap                      bool
	disk                           *disk.Memory
	unreachable                    map[string]bool // link addresses that the node cannot dial
	isolatedPublisher              bool            // what the node queues for its followers reaches nobody
	node                           *Node
	signals                        chan os.Signal
	result                         chan error
	silencer                       silenced.Conns // the links that the node dialed
}

func newCluster(t testing.TB, size int) *cluster {
	c := newUnstartedCluster(t, size)
	c.startAll()
	return c
}

// newUnstartedCluster returns a cluster whose nodes do not run yet.
func newUnstartedCluster(t testing.TB, size int) *cluster {
	c := &cluster{t: t}
	for i := range size {
		c.nodes = append(c.nodes, &testNode{
			name: fmt.Sprintf("control-%d", i), linkAddress: loopback.FreeAddress(t), httpAddress: loopback.FreeAddress(t), bootstrap: true, disk: disk.NewMemory(),
		})
	}
	return c
}

// startAll starts all nodes, which end with the test.
func (c *cluster) startAll() {
	for _, n := range c.nodes {
		c.start(n)
	}
	c.t.Cleanup(func() {
		for _, n := range c.nodes {
			c.stop(n)
		}
	})
}

func (c *cluster) start(n *testNode) {
	c.t.Helper()
	text := fmt.Sprintf(`
vm: {name: %s, region: north, failure_domain: hall-%s}
peers: {listen: "%s"}
data: {folder: unused}
control: {listen: "%s", bootstrap: %v, tolerate: 1}
`, n.name, n.name, n.linkAddress, n.httpAddress, n.bootstrap)
	path := filepath.Join(c.t.TempDir(), n.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	s, err := settings.LoadControl(path)
	if err != nil {
		c.t.Fatal(err)
	}
	n.node, err = New(s, "", NativeProtocol(), nil, Hooks{
		Hooks: daemon.Hooks{
			Log:    io.Discard,
			Listen: func(a string) (net.Listener, error) { return net.Listen("tcp", a) },
			Dial:   n.dial,
		},
		OpenFolder: func() (*disk.Folder, error) { return n.disk.Folder(), nil },
	})
	if err != nil {
		c.t.Fatal(err)
	}
	if n.isolatedPublisher {
		n.node.service.publisher = feed.NewPublisher(feed.PublisherConfig{})
	}
	n.node.service.state.now = func() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) }
	// The nodes of a test share an IP address, so the seeds need their ports.
	n.node.member.config.seeds = func() []string { return c.seeds() }
	n.node.nodeFollower.Seeds = n.node.member.config.seeds
	n.signals, n.result = make(chan os.Signal, 1), make(chan error, 1)
	node, signals, result := n.node, n.signals, n.result
	go func() {
		err := node.Run(signals)
		if err != nil {
			c.t.Logf("%s ended: %v", n.name, err)
		}
		result <- err
	}()
}

func (n *testNode) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.unreachable[address] {
		return nil, fmt.Errorf("%s is partitioned from %s", n.name, address)
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return n.silencer.Wrap(conn), nil
}

func (c *cluster) seeds() []string {
	var seeds []string
	for _, n := range c.nodes[:3] {
		seeds = append(seeds, n.linkAddress)
	}
	return seeds
}

func (c *cluster) stop(n *testNode) {
	if n.node == nil {
		return
	}
	n.signals <- os.Interrupt
	<-n.result
	n.node = nil
}

// waitTimeout ends a test whose condition does not come true. It does not bound how long an
// operation may take.
const waitTimeout = time.Minute

// eventually calls attempt until it succeeds.
func (c *cluster) eventually(what string, attempt func() error) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if err = attempt(); err == nil {
			return
		}
		<-time.After(10 * time.Millisecond)
	}
	c.t.Fatalf("%s: %v", what, err)
}

// awaitVoters waits until the voters of a leader are exactly the given nodes in their current
// incarnations.
func (c *cluster) awaitVoters(nodes ...*testNode) {
	c.t.Helper()
	c.eventually("voters", func() error {
		want := map[controllog.MemberID]bool{}
		for _, n := range nodes {
			self := n.node.member.self.Load()
			if self == nil {
				return fmt.Errorf("%s has no disk yet", n.name)
			}
			want[self.MemberID()] = true
		}
		for _, n := range nodes {
			if s := n.node.member.state(); s.Role == controllog.Leader && s.CanChangeMembers && sameVoters(s.Members, want) {
				return nil
			}
		}
		return fmt.Errorf("no leader has exactly these voters")
	})
}

func sameVoters(voters []controllog.Member, want map[controllog.MemberID]bool) bool {
	for _, v := range voters {
		if v.Learner() || !want[v.MemberID()] {
			return false
		}
	}
	return len(voters) == len(want)
}

func newTestConfiguration(number uint64) Configuration {
	d := serviceconfig.NewDocument(number, nil, []serviceconfig.Service{serviceconfig.NewService("menu", "", 0, "", serviceconfig.Engine{}, false, 0)}, nil, serviceconfig.Limits{})
	return NewConfiguration(d, []byte(fmt.Sprintf(`{"number": %d}`, number)))
}

func (c *cluster) put(n *testNode, number uint64) {
	c.t.Helper()
	c.eventually("put", func() error {
		return n.node.service.PutConfiguration(context.Background(), newTestConfiguration(number))
	})
}

func (c *cluster) requireRead(n *testNode, number uint64) {
	c.t.Helper()
	c.eventually("read", func() error {
		got, err := n.node.service.ReadConfiguration(context.Background())
		if err != nil {
			return err
		}
		if got.Document().Number() != number {
			c.t.Fatalf("%s reads configuration %d, want %d", n.name, got.Document().Number(), number)
		}
		return nil
	})
}

func TestNodesBootstrapAndReplicate(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.put(c.nodes[1], 7)
	for _, n := range c.nodes {
		c.requireRead(n, 7)
	}
	// The same number again and a lower one are acknowledged and change nothing.
	c.put(c.nodes[2], 7)
	c.put(c.nodes[0], 5)
	c.requireRead(c.nodes[2], 7)
	if err := c.nodes[0].node.service.NameVersion(context.Background(), "menu", 0); !failure.Is(err, failure.BadDocument) {
		t.Fatalf("version 0: %v", err)
	}
	c.eventually("name", func() error { return c.nodes[0].node.service.NameVersion(context.Background(), "menu", 3) })
}

// A node that loses its disk right after an acknowledgement rejoins as another voter, and the
// acknowledged change is kept.
func TestWipedNodeRejoins(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.put(c.nodes[0], 7)
	wiped := c.nodes[0]
	c.stop(wiped)
	wiped.disk, wiped.bootstrap = disk.NewMemory(), false
	c.start(wiped)
	c.awaitVoters(c.nodes...)
	c.requireRead(wiped, 7)
	c.put(wiped, 8)
	c.requireRead(c.nodes[2], 8)
}

// One node loses its disk while all others lose power: a change acknowledged just before is read
// from the remaining disks, whichever node lost its disk.
func TestDiskLossDuringPowerLoss(t *testing.T) {
	for i, name := range []string{"first", "second", "third"} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.awaitVoters(c.nodes...)
			c.put(c.nodes[0], 7)
			c.put(c.nodes[i], 8)
			for j, n := range c.nodes {
				c.stop(n)
				n.bootstrap = false
				n.disk.Crash(0)
				if j == i {
					n.disk = disk.NewMemory()
				}
			}
			for _, n := range c.nodes {
				c.start(n)
			}
			for _, n := range c.nodes {
				c.requireRead(n, 8)
			}
		})
	}
}

// All nodes lose power at once, and acknowledged changes are read from their disks.
func TestAllNodesRestart(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.put(c.nodes[0], 7)
	for _, n := range c.nodes {
		c.stop(n)
		n.disk.Crash(0)
		n.bootstrap = false
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	c.requireRead(c.nodes[1], 7)
}

// A node that does not come back is removed from the voters once another one has joined.
func TestReplacedVoterIsRemoved(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.put(c.nodes[0], 7)
	c.stop(c.nodes[2])
	fresh := &testNode{name: "control-9", linkAddress: loopback.FreeAddress(t), httpAddress: loopback.FreeAddress(t), disk: disk.NewMemory()}
	c.nodes = append(c.nodes, fresh)
	c.start(fresh)
	c.awaitVoters(c.nodes[0], c.nodes[1], fresh)
	c.stop(c.nodes[0])
	c.put(fresh, 8)
	c.requireRead(fresh, 8)
}

// A node whose disk fails leaves the control log but keeps running: it forwards calls, and takes
// part in the log again once the disk works.
func TestNodeForwardsCallsAfterDiskFailure(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	n := c.nodes[1]
	full := fmt.Errorf("no space")
	n.disk.SetFailAppend(func(string, int) (int, error) { return 0, full })
	c.put(c.nodes[0], 7)
	c.requireRead(n, 7)
	n.disk.SetFailAppend(nil)
	c.stop(c.nodes[2])
	c.put(c.nodes[0], 8)
	c.requireRead(n, 8)
}

func TestEmptyNodeWithoutBootstrapFormsNoCluster(t *testing.T) {
	c := &cluster{t: t}
	n := &testNode{name: "control-0", linkAddress: loopback.FreeAddress(t), httpAddress: loopback.FreeAddress(t), disk: disk.NewMemory()}
	c.nodes = []*testNode{n, n, n}
	c.start(n)
	defer c.stop(n)
	if err := n.node.service.PutConfiguration(context.Background(), newTestConfiguration(7)); err == nil {
		t.Fatal("an empty node that may not form a cluster acknowledged a configuration")
	}
}

// A node without contact with a quorum does not acknowledge that a backend server drains.
func TestDrainingRequiresQuorum(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	draining := registry.NewRegistration("i-1", "menu", "10.0.0.1:80", "north", "v1", 4, registry.Draining, 0, nil, 2, 0)
	c.eventually("drain", func() error { return c.nodes[0].node.service.ReceiveHeartbeat(draining) })
	c.stop(c.nodes[1])
	c.stop(c.nodes[2])
	c.eventually("refusal", func() error {
		if err := c.nodes[0].node.service.ReceiveHeartbeat(draining); err == nil || !strings.Contains(err.Error(), "quorum") {
			return fmt.Errorf("acknowledged without a quorum: %v", err)
		}
		return nil
	})
}
