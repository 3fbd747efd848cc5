package control

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

// newStateWithClock returns a state that uses the given clock.
func newStateWithClock(clock *time.Time) *State {
	s := NewState(func() {})
	s.now = func() time.Time { return *clock }
	return s
}

// applyVersion applies the command that names a version.
func applyVersion(t *testing.T, s *State, version uint64) {
	t.Helper()
	data, err := msgpack.Marshal(command{version: &ModelVersion{"menu", version}})
	if err != nil {
		t.Fatal(err)
	}
	s.apply(0, data)
}

// namedAges returns the ages of the named versions, by version.
func namedAges(s *State) map[uint64]time.Duration {
	ages := map[uint64]time.Duration{}
	for _, v := range s.NamedVersions() {
		ages[v.Version()] = v.Age()
	}
	return ages
}

// requireAges fails the test unless a state has exactly the given ages, by version.
func requireAges(t *testing.T, s *State, want map[uint64]time.Duration) {
	t.Helper()
	got := namedAges(s)
	if len(got) != len(want) {
		t.Fatalf("ages %v, want %v", got, want)
	}
	for version, age := range want {
		if got[version] != age {
			t.Fatalf("ages %v, want %v", got, want)
		}
	}
}

// awaitAge waits until the age of a version on a node is at least age.
func (c *cluster) awaitAge(n *testNode, version uint64, age time.Duration) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("age at %s", n.name), func() error {
		if got := namedAges(n.node.service.state); got[version] < age {
			return fmt.Errorf("age of version %d: %s, want at least %s", version, got[version], age)
		}
		return nil
	})
}

// clockAdvance is more time than a test takes.
const clockAdvance = time.Hour

// Guards against this failure: an engine with old weights gets a request after the time limit for
// them. A restarted node takes the time at which it replays its log as the time at which the
// version was named, and publishes that; a gateway that starts then gives the old engine the full
// time again. The node has to take the age from the other nodes.
func TestRestartedNodeGetsVersionAgeFromOtherNodes(t *testing.T) {
	for name, replaceDisk := range map[string]func(*testNode){
		"from its disk":          func(*testNode) {},
		"with its disk replaced": func(n *testNode) { n.disk = disk.NewMemory() },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.awaitVoters(c.nodes...)
			c.eventually("name", func() error { return c.nodes[0].node.service.NameVersion(context.Background(), "menu", 2) })
			for _, n := range c.nodes {
				c.awaitAge(n, 2, 1)
			}
			c.clockOffset.Add(int64(clockAdvance))
			restarted := c.nodes[2]
			c.stop(restarted)
			replaceDisk(restarted)
			restarted.bootstrap = false
			c.start(restarted)
			c.awaitAge(restarted, 2, clockAdvance)
		})
	}
}

// The same failure with a node that joins late: if a snapshot contains no age, the node takes the
// time at which it joins as the time at which the version was named.
func TestSnapshotKeepsVersionAges(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStateWithClock(&now)
	applyVersion(t, s, 2)
	now = now.Add(6 * time.Second)
	applyVersion(t, s, 3)
	now = now.Add(time.Second)
	raw, err := s.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	// The clock of another machine differs.
	joiningNow := time.Unix(5, 0)
	joining := newStateWithClock(&joiningNow)
	if err := joining.restore(raw); err != nil {
		t.Fatal(err)
	}
	requireAges(t, joining, map[uint64]time.Duration{2: 7 * time.Second, 3: time.Second})
	joiningNow = joiningNow.Add(2 * time.Second)
	requireAges(t, joining, map[uint64]time.Duration{2: 9 * time.Second, 3: 3 * time.Second})
	// A node that reopens its disk keeps the ages that it knows.
	now = now.Add(10 * time.Second)
	if err := s.restore(raw); err != nil {
		t.Fatal(err)
	}
	requireAges(t, s, map[uint64]time.Duration{2: 17 * time.Second, 3: 11 * time.Second})
}

// Snapshots are exchanged with earlier releases in both directions. An earlier release writes one
// version of each model, without an age, and reads the first two fields of each version.
func TestSnapshotCompatibilityWithEarlierRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStateWithClock(&now)
	earlier, err := msgpack.Marshal([]any{nil, []ModelVersion{{"menu", 3}, {"soup", 8}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.restore(earlier); err != nil {
		t.Fatal(err)
	}
	if s.NewestVersion("menu") != 3 || s.NewestVersion("soup") != 8 {
		t.Fatalf("versions %d and %d", s.NewestVersion("menu"), s.NewestVersion("soup"))
	}
	applyVersion(t, s, 4)
	raw, err := s.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var parts []msgpack.RawMessage
	if err := msgpack.Unmarshal(raw, &parts); err != nil {
		t.Fatal(err)
	}
	var names []ModelVersion
	if err := msgpack.Unmarshal(parts[1], &names); err != nil {
		t.Fatal(err)
	}
	newest := map[string]uint64{}
	for _, n := range names {
		newest[n.Model()] = max(newest[n.Model()], n.Version())
	}
	if newest["menu"] != 4 || newest["soup"] != 8 {
		t.Fatalf("an earlier release would read %v", names)
	}
}

// Guards against this failure: an engine with old weights gets requests until the time limit of the
// later of two versions. If nodes publish only the later version, a gateway that starts after both
// were named does not know that the earlier one is due first.
func TestNewFollowerReceivesEarlierVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStateWithClock(&now)
	applyVersion(t, s, 2)
	now = now.Add(5 * time.Second)
	applyVersion(t, s, 3)
	now = now.Add(time.Second)
	follower := feed.NewVersionTable()
	follower.Add(s.NamedVersions(), now)
	if next := follower.Next("menu", 1); next.Version() != 2 || now.Sub(next.NamedAt()) != 6*time.Second {
		t.Fatalf("next version above 1: %d, named %s ago", next.Version(), now.Sub(next.NamedAt()))
	}
	if due := follower.Due("menu", 6*time.Second, now); due != 2 {
		t.Fatalf("version due after 6 s: %d", due)
	}
	if s.NewestVersion("menu") != 3 || follower.Newest("menu").Version() != 3 {
		t.Fatal("the newest version is not the last one named")
	}
}

// A follower or another node may report the age of a version before the log names the version here.
// The report alone does not name it.
func TestAgeReportedBeforeVersionIsApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStateWithClock(&now)
	s.MergeAges([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 7*time.Second), feed.NewNamedVersion("menu", 3, 4*time.Second)}, "gateway", "front-1")
	requireAges(t, s, nil)
	now = now.Add(time.Second)
	applyVersion(t, s, 2)
	requireAges(t, s, map[uint64]time.Duration{2: 8 * time.Second})
	applyVersion(t, s, 1)
	requireAges(t, s, map[uint64]time.Duration{2: 8 * time.Second})
	applyVersion(t, s, 3)
	requireAges(t, s, map[uint64]time.Duration{2: 8 * time.Second, 3: 5 * time.Second})
}

// Nodes send each other the ages with each Update. An increase by no more than the transit time of
// an Update is stored but not published, or nodes would trigger each other's Updates endlessly.
func TestOnlySignificantAgeChangeNotifies(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStateWithClock(&now)
	notifications := 0
	s.onChange = func() { notifications++ }
	applyVersion(t, s, 2)
	for _, step := range []struct {
		age           time.Duration
		notifications int
	}{{10 * time.Millisecond, 1}, {40 * time.Millisecond, 1}, {20 * time.Millisecond, 1}, {5 * time.Second, 2}, {5 * time.Second, 2}, {4 * time.Second, 2}} {
		s.MergeAges([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, step.age)}, "node", "control-2")
		if notifications != step.notifications || namedAges(s)[2] < step.age {
			t.Fatalf("after an age of %s: notified %d times, age %s", step.age, notifications, namedAges(s)[2])
		}
	}
}

// The same failure as in the first test if all nodes crash at once: only gateways and stagers know
// the age of the version then. Nodes have to take it from these followers, for versions that the
// log names only.
func TestFollowerRestoresVersionAges(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.eventually("name", func() error { return c.nodes[0].node.service.NameVersion(context.Background(), "menu", 2) })
	for _, n := range c.nodes {
		c.stop(n)
		n.disk.Crash(0)
		n.bootstrap = false
	}
	c.startFollower([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, clockAdvance), feed.NewNamedVersion("menu", 9, clockAdvance)})
	for _, n := range c.nodes {
		c.start(n)
	}
	for _, n := range c.nodes {
		c.awaitAge(n, 2, clockAdvance)
		if version := n.node.service.state.NewestVersion("menu"); version != 2 {
			t.Fatalf("newest version on %s: %d, which only a follower reported", n.name, version)
		}
	}
}

// startFollower starts a gateway's follower that reports the given versions.
func (c *cluster) startFollower(known []feed.NamedVersion) {
	c.startFollowerAs("front-1", func(f *feed.Follower) { f.NamedVersions = func() []feed.NamedVersion { return known } })
}

// startFollowerAs starts the follower of a gateway with the given name, after configure has
// modified it.
func (c *cluster) startFollowerAs(name string, configure func(f *feed.Follower)) *feed.Follower {
	identity := vm.NewIdentity(vm.ID(name), 1, "north", "hall-"+name, name+":1")
	e := link.NewEndpoint(link.Config{
		Self: identity, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(), Dial: (&testNode{name: name}).dial,
	})
	f := &feed.Follower{
		Endpoint: e, Hello: feed.NewHello(feed.RoleGateway, identity, "", "", nil, false), Seeds: c.seeds,
		DocumentNumber: func() uint64 { return math.MaxUint64 }, OnUpdate: func(string, feed.Update) {}, Logger: log.NewNopLogger(),
	}
	configure(f)
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(func() {
		cancel()
		e.Close()
	})
	go func() { _ = f.Run(ctx) }()
	return f
}
