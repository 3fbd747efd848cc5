package feed

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/vm"
)

var testTime = time.Unix(1000, 0)

func checkNext(t *testing.T, table *VersionTable, above, version uint64, age time.Duration) {
	t.Helper()
	if n := table.Next("menu", above); n.Version() != version || testTime.Sub(n.NamedAt()) != age {
		t.Fatalf("above version %d: version %d, named %s ago; wanted %d, %s", above, n.Version(), testTime.Sub(n.NamedAt()), version, age)
	}
}

// Guards against this failure: an engine with old weights got requests after the agreed time. A
// gateway learned of two versions from a restarted node, with ages that were too low. Another node
// then sent the right ages, but only that of the last version was taken, so the previous version,
// which is due first, became due too late.
func TestGreaterAgeIsTakenForEveryVersion(t *testing.T) {
	table := NewVersionTable()
	table.Add([]NamedVersion{NewNamedVersion("menu", 2, 0)}, testTime)
	table.Add([]NamedVersion{NewNamedVersion("menu", 3, 0)}, testTime)
	if table.Add([]NamedVersion{NewNamedVersion("menu", 2, 5*time.Second), NewNamedVersion("menu", 3, 2*time.Second)}, testTime) {
		t.Fatal("a known version counts as new")
	}
	checkNext(t, table, 1, 2, 5*time.Second)
	checkNext(t, table, 2, 3, 2*time.Second)
	// A node that knows lower ages changes nothing.
	table.Add([]NamedVersion{NewNamedVersion("menu", 2, time.Second), NewNamedVersion("menu", 3, 0)}, testTime)
	checkNext(t, table, 1, 2, 5*time.Second)
}

// The same failure with another cause: the gateway knew only the last version. The previous one was
// then sent by another node and was dropped, because it was lower than the one held.
func TestOlderVersionLearnedLateKeepsItsOwnAge(t *testing.T) {
	table := NewVersionTable()
	table.Add([]NamedVersion{NewNamedVersion("menu", 3, time.Second)}, testTime)
	both := []NamedVersion{NewNamedVersion("menu", 2, 3*time.Second), NewNamedVersion("menu", 3, time.Second)}
	if !table.Add(both, testTime) {
		t.Fatal("an unknown version does not count as new")
	}
	if table.Add(both, testTime) {
		t.Fatal("known versions count as new")
	}
	checkNext(t, table, 1, 2, 3*time.Second)
	checkNext(t, table, 2, 3, time.Second)
	if newest := table.Newest("menu").Version(); newest != 3 {
		t.Fatalf("the newest version is %d", newest)
	}
	if due := table.Due("menu", 2*time.Second, testTime); due != 2 {
		t.Fatalf("version %d is due after 2 s, want 2", due)
	}
	if due := table.Due("menu", time.Second, testTime); due != 3 {
		t.Fatalf("version %d is due after 1 s, want 3", due)
	}
}

// Versions are named in order, so an earlier version is at least as old as a later one. A restarted
// node that learns only the age of the last version must not report a lower age for an earlier one.
func TestEarlierVersionIsNoYoungerThanALaterOne(t *testing.T) {
	table := NewVersionTable()
	table.Add([]NamedVersion{NewNamedVersion("menu", 2, 0), NewNamedVersion("menu", 3, 4*time.Second)}, testTime)
	checkNext(t, table, 1, 2, 4*time.Second)
	table.Add([]NamedVersion{NewNamedVersion("menu", 4, 6*time.Second)}, testTime)
	checkNext(t, table, 1, 2, 6*time.Second)
	checkNext(t, table, 2, 3, 6*time.Second)
}

// The table is bounded, and a version evicted from it is sent again with each Update. It must not
// wake the processes that wait for a new version.
func TestEvictedVersionIsNotNew(t *testing.T) {
	table := NewVersionTable()
	for version := range uint64(maxVersionsPerModel) {
		table.Add([]NamedVersion{NewNamedVersion("menu", 10+version, 0)}, testTime)
	}
	if table.Add([]NamedVersion{NewNamedVersion("menu", 9, 0)}, testTime) {
		t.Fatal("a version older than all of a full table counts as new")
	}
	checkNext(t, table, 1, 10, 0)
	if newest := table.Newest("menu").Version(); newest != 10+maxVersionsPerModel-1 {
		t.Fatalf("the newest version is %d", newest)
	}
}

// Versions that no process waits for are not sent. The newest version always is, and so is the last
// one of those that are due.
func TestObsoleteVersionsAreNotSent(t *testing.T) {
	table := NewVersionTable()
	table.Add([]NamedVersion{
		NewNamedVersion("menu", 2, 5*obsoleteAfter), NewNamedVersion("menu", 3, 4*obsoleteAfter), NewNamedVersion("menu", 4, time.Second),
		NewNamedVersion("broth", 7, 9*obsoleteAfter),
	}, testTime)
	want := []NamedVersion{NewNamedVersion("broth", 7, 9*obsoleteAfter), NewNamedVersion("menu", 3, 4*obsoleteAfter), NewNamedVersion("menu", 4, time.Second)}
	if got := table.Current(testTime); !slices.Equal(got, want) {
		t.Fatalf("current versions %v", got)
	}
}

// The log shows when a process learned of a version or its age, from whom, and by how much the age
// changed. Differences within the transit time of an Update are not logged.
func TestVersionChangesAreLogged(t *testing.T) {
	table := NewVersionTable()
	var lines bytes.Buffer
	for _, age := range []time.Duration{time.Second, time.Second + minAgeIncrease/2, 9 * time.Second} {
		LogVersionChanges(log.NewLogfmtLogger(&lines), table.Merge([]NamedVersion{NewNamedVersion("menu", 2, age)}, testTime), "node", "10.0.0.9:7700")
	}
	want := `level=info msg="age of a named version" model=menu version=2 age_ms=1000 new=true moved_ms=0 source=node from=10.0.0.9:7700
level=info msg="age of a named version" model=menu version=2 age_ms=9000 new=false moved_ms=7975 source=node from=10.0.0.9:7700
`
	if lines.String() != want {
		t.Fatalf("logged\n%s", lines.String())
	}
}

// The Hello of a follower of an earlier release has no versions.
func TestHelloOfEarlierReleaseIsDecoded(t *testing.T) {
	raw, err := msgpack.Marshal([]any{RoleStager, vm.NewIdentity("s", 1, "north", "hall-a", "10.0.0.1:7700"), "menu", "10.0.0.1:80"})
	if err != nil {
		t.Fatal(err)
	}
	var hello Hello
	if err := msgpack.Unmarshal(raw, &hello); err != nil {
		t.Fatal(err)
	}
	if hello.Role() != RoleStager || hello.Self().Domain() != "hall-a" || hello.Engine() != "10.0.0.1:80" {
		t.Fatalf("decoded as %+v", hello)
	}
}
