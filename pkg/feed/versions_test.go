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
	if n := table.Next("menu", above); n.Version() != version || testTime.Sub(n.Since()) != age {
		t.Fatalf("above version %d: version %d, named %s ago; wanted %d, %s", above, n.Version(), testTime.Sub(n.Since()), version, age)
	}
}

// Seen: an engine on old weights got requests after the agreed time. A gateway
// heard of two versions from a node that had started anew, and so took both for
// younger than they were. A node that had lived through told their ages, and only
// that of the last version was put right: the time of the one before, which ends
// first, stayed too late.
func TestGreaterAgeIsTakenForEveryVersion(t *testing.T) {
	table := NewVersionTable()
	table.Add([]NamedVersion{NewNamedVersion("menu", 2, 0)}, testTime)
	table.Add([]NamedVersion{NewNamedVersion("menu", 3, 0)}, testTime)
	if table.Add([]NamedVersion{NewNamedVersion("menu", 2, 5*time.Second), NewNamedVersion("menu", 3, 2*time.Second)}, testTime) {
		t.Fatal("a version that was known counts as newly heard")
	}
	checkNext(t, table, 1, 2, 5*time.Second)
	checkNext(t, table, 2, 3, 2*time.Second)
	// A node that knows less moves nothing.
	table.Add([]NamedVersion{NewNamedVersion("menu", 2, time.Second), NewNamedVersion("menu", 3, 0)}, testTime)
	checkNext(t, table, 1, 2, 5*time.Second)
}

// Seen: as above, where the gateway had heard of the last version alone, from a
// node that told no other. The one before was then told by another node and was
// dropped, being lower than what was held.
func TestOlderVersionLearnedLateKeepsItsOwnAge(t *testing.T) {
	table := NewVersionTable()
	table.Add([]NamedVersion{NewNamedVersion("menu", 3, time.Second)}, testTime)
	both := []NamedVersion{NewNamedVersion("menu", 2, 3*time.Second), NewNamedVersion("menu", 3, time.Second)}
	if !table.Add(both, testTime) {
		t.Fatal("a version that was not known does not count as newly heard")
	}
	if table.Add(both, testTime) {
		t.Fatal("versions that are known count as newly heard")
	}
	checkNext(t, table, 1, 2, 3*time.Second)
	checkNext(t, table, 2, 3, time.Second)
	if newest := table.Newest("menu").Version(); newest != 3 {
		t.Fatalf("the newest version is %d", newest)
	}
	if due := table.Due("menu", 2*time.Second, testTime); due != 2 {
		t.Fatalf("version %d has been named for 2 s", due)
	}
	if due := table.Due("menu", time.Second, testTime); due != 3 {
		t.Fatalf("version %d has been named for 1 s", due)
	}
}

// Versions are named in order, so whoever knows the age of one knows that the
// earlier ones are no younger: a node that started anew and heard of the last
// one's age alone must not tell that an earlier one has all of its time.
func TestEarlierVersionIsNoYoungerThanALaterOne(t *testing.T) {
	table := NewVersionTable()
	table.Add([]NamedVersion{NewNamedVersion("menu", 2, 0), NewNamedVersion("menu", 3, 4*time.Second)}, testTime)
	checkNext(t, table, 1, 2, 4*time.Second)
	table.Add([]NamedVersion{NewNamedVersion("menu", 4, 6*time.Second)}, testTime)
	checkNext(t, table, 1, 2, 6*time.Second)
	checkNext(t, table, 2, 3, 6*time.Second)
}

// The table is bounded, and what fell out of it is told again with each Update: it
// must not wake those who wait for something new each time.
func TestEvictedVersionIsNotNew(t *testing.T) {
	table := NewVersionTable()
	for version := range uint64(maxVersionsPerModel) {
		table.Add([]NamedVersion{NewNamedVersion("menu", 10+version, 0)}, testTime)
	}
	if table.Add([]NamedVersion{NewNamedVersion("menu", 9, 0)}, testTime) {
		t.Fatal("a version older than all of a full table counts as newly heard")
	}
	checkNext(t, table, 1, 10, 0)
	if newest := table.Newest("menu").Version(); newest != 10+maxVersionsPerModel-1 {
		t.Fatalf("the newest version is %d", newest)
	}
}

// What nobody can wait for is not told each second; the newest version always is,
// and of those that are due the last one.
func TestObsoleteVersionsAreNotSent(t *testing.T) {
	table := NewVersionTable()
	table.Add([]NamedVersion{
		NewNamedVersion("menu", 2, 5*obsoleteAfter), NewNamedVersion("menu", 3, 4*obsoleteAfter), NewNamedVersion("menu", 4, time.Second),
		NewNamedVersion("broth", 7, 9*obsoleteAfter),
	}, testTime)
	want := []NamedVersion{NewNamedVersion("broth", 7, 9*obsoleteAfter), NewNamedVersion("menu", 3, 4*obsoleteAfter), NewNamedVersion("menu", 4, time.Second)}
	if got := table.Current(testTime); !slices.Equal(got, want) {
		t.Fatalf("told %v", got)
	}
}

// The log tells when a process learnt of a version or of its age, from whom, and by
// how much that moved it; what the way of an Update makes is left out.
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

// A follower of an earlier release says nothing of versions in its Hello.
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
		t.Fatalf("read as %+v", hello)
	}
}
