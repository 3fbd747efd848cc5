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

// newStateWithClock returns a state on a clock.
func newStateWithClock(clock *time.Time) *State {
	s := NewState(func() {})
	s.now = func() time.Time { return *clock }
	return s
}

func applyVersion(t *testing.T, s *State, version uint64) {
	t.Helper()
	data, err := msgpack.Marshal(command{version: &ModelVersion{"menu", version}})
	if err != nil {
		t.Fatal(err)
	}
	s.apply(0, data)
}

// namedAges returns the ages that a state tells, by version.
func namedAges(s *State) map[uint64]time.Duration {
	ages := map[uint64]time.Duration{}
	for _, w := range s.NamedVersions() {
		ages[w.Version()] = w.Age()
	}
	return ages
}

func requireAges(t *testing.T, s *State, ages map[uint64]time.Duration) {
	t.Helper()
	got := namedAges(s)
	if len(got) != len(ages) {
		t.Fatalf("told %v, wanted %v", got, ages)
	}
	for version, age := range ages {
		if got[version] != age {
			t.Fatalf("told %v, wanted %v", got, ages)
		}
	}
}

// awaitAge waits until a node tells that a version was named at least age ago.
func (c *cluster) awaitAge(n *testNode, version uint64, age time.Duration) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("age at %s", n.name), func() error {
		if got := namedAges(n.node.service.state); got[version] < age {
			return fmt.Errorf("version %d is told to be %s old, not %s", version, got[version], age)
		}
		return nil
	})
}

// clockAdvance is more than passes while a test waits.
const clockAdvance = time.Hour

// Seen: an engine on old weights got a request after the agreed time. A node that
// had started anew stamped the version with the time at which it read its own log
// again, told the feed so, and a gateway that had started beside it gave the old
// engine as much time as if the version had just been named, although other nodes
// knew better all the while. Proved by the age that the node goes on telling.
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

// Seen: as above, where the node joined late. The snapshot that it took named the
// version and held no time, so it stamped that with the moment of its joining.
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
	// Another machine's clock shows another time.
	joiningNow := time.Unix(5, 0)
	joining := newStateWithClock(&joiningNow)
	if err := joining.restore(raw); err != nil {
		t.Fatal(err)
	}
	requireAges(t, joining, map[uint64]time.Duration{2: 7 * time.Second, 3: time.Second})
	joiningNow = joiningNow.Add(2 * time.Second)
	requireAges(t, joining, map[uint64]time.Duration{2: 9 * time.Second, 3: 3 * time.Second})
	// A node that opens its disk again keeps what it knows.
	now = now.Add(10 * time.Second)
	if err := s.restore(raw); err != nil {
		t.Fatal(err)
	}
	requireAges(t, s, map[uint64]time.Duration{2: 17 * time.Second, 3: 11 * time.Second})
}

// Snapshots go between releases both ways: an earlier one writes a version's name
// alone, one of each model, and reads the first two parts of each.
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
		t.Fatalf("an earlier release reads %v", names)
	}
}

// Seen: an engine on old weights got requests until the time of the later of two
// versions. A gateway had started anew after the later one was named; nodes told
// only that one, so it could not know that the earlier one was due before. Only
// gateways that had lived through both sent nothing there.
func TestNewFollowerReceivesEarlierVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStateWithClock(&now)
	applyVersion(t, s, 2)
	now = now.Add(5 * time.Second)
	applyVersion(t, s, 3)
	now = now.Add(time.Second)
	follower := feed.NewVersionTable()
	follower.Add(s.NamedVersions(), now)
	if next := follower.Next("menu", 1); next.Version() != 2 || now.Sub(next.Since()) != 6*time.Second {
		t.Fatalf("version %d, named %s ago, is the next above 1", next.Version(), now.Sub(next.Since()))
	}
	if due := follower.Due("menu", 6*time.Second, now); due != 2 {
		t.Fatalf("version %d has been named for 6 s", due)
	}
	if s.NewestVersion("menu") != 3 || follower.Newest("menu").Version() != 3 {
		t.Fatal("the newest version is not the last one named")
	}
}

// A follower or another node may tell before the log has brought the version here;
// what they tell names none.
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

// Nodes tell each other the ages with each Update. A change that the way of an Update
// makes is taken and wakes nobody, or they would wake each other without end.
func TestOnlySignificantAgeChangeNotifies(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newStateWithClock(&now)
	notifications := 0
	s.onChange = func() { notifications++ }
	applyVersion(t, s, 2)
	for _, step := range []struct {
		age  time.Duration
		told int
	}{{10 * time.Millisecond, 1}, {40 * time.Millisecond, 1}, {20 * time.Millisecond, 1}, {5 * time.Second, 2}, {5 * time.Second, 2}, {4 * time.Second, 2}} {
		s.MergeAges([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, step.age)}, "node", "control-2")
		if notifications != step.told || namedAges(s)[2] < step.age {
			t.Fatalf("after an age of %s: told %d times, age %s", step.age, notifications, namedAges(s)[2])
		}
	}
}

// Seen: as in the first test, with all nodes killed at one moment: none of them
// knew the version's age then, but gateways and stagers did, and nobody asked
// them. What they tell counts for versions that the log holds, and names none.
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
			t.Fatalf("%s takes version %d as named, which only a follower told", n.name, version)
		}
	}
}

// startFollower starts a gateway's follower that knows of versions.
func (c *cluster) startFollower(known []feed.NamedVersion) {
	c.startFollowerAs("front-1", func(f *feed.Follower) { f.Versions = func() []feed.NamedVersion { return known } })
}

// startFollowerAs starts a gateway's follower of a name, after a change to it.
func (c *cluster) startFollowerAs(name string, configure func(f *feed.Follower)) *feed.Follower {
	identity := vm.NewIdentity(vm.ID(name), 1, "north", "hall-"+name, name+":1")
	e := link.NewEndpoint(link.Config{
		Own: identity, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(), Dial: (&testNode{name: name}).dial,
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
