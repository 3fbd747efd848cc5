package staging

import (
	"io"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/settings"
)

// restartedMember returns a member that has just started and was told of versions 2 and 3 of a
// model, named some time ago.
func restartedMember(second, third time.Duration) *Member {
	m := &Member{versions: feed.NewVersionTable(), copies: map[string][]*weightsCopy{}}
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, second), feed.NewNamedVersion("menu", 3, third)}, time.Now())
	return m
}

// Found by reading, when nodes were to tell the earlier versions too: a stager or a
// cache that had just started took the newest version for one that is not to be had,
// since it was named long ago and nothing of it was here, and gathered the one before.
func TestRestartedMemberDownloadsNewestVersion(t *testing.T) {
	m := restartedMember(30*time.Second, 20*time.Second)
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("version %d is gathered", got)
	}
}

// While the origin is away nothing of the newest version comes. A cache then gathers
// the one before for engines that wait for it, and none that nobody can use any more.
func TestRestartedCacheSkipsObsoleteVersions(t *testing.T) {
	process, err := daemon.New(settings.Common{}, 1, daemon.Seams{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	k := NewCache(process, Protocol{}, func() []string { return nil }, nil)
	long := time.Now().Add(-2 * stallTimeout) // since then it tries in vain
	k.versions.Add([]feed.NamedVersion{
		feed.NewNamedVersion("menu", 2, 40*time.Minute), feed.NewNamedVersion("menu", 3, 20*time.Minute), feed.NewNamedVersion("menu", 4, 20*time.Second),
	}, long)
	if got := k.target("menu", 0).Version(); got != 3 {
		t.Fatalf("version %d is gathered", got)
	}
	if got := k.target("menu", 3).Version(); got != 4 {
		t.Fatalf("version %d is gathered where 3 is held", got)
	}
}

// A member is woken by a version that it did not know, also by an earlier one told
// late, not by an age that changes; and it tells its ages to nodes that start anew.
func TestMemberKeepsTheAgesOfAllNamedVersions(t *testing.T) {
	process, err := daemon.New(settings.Common{}, 1, daemon.Seams{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	m := NewCache(process, Protocol{}, func() []string { return nil }, nil).Member
	for _, step := range []struct {
		told []feed.NamedVersion
		wake bool
	}{
		{[]feed.NamedVersion{feed.NewNamedVersion("menu", 3, 0)}, true},
		{[]feed.NamedVersion{feed.NewNamedVersion("menu", 2, time.Second), feed.NewNamedVersion("menu", 3, 0)}, true},
		{[]feed.NamedVersion{feed.NewNamedVersion("menu", 2, time.Hour), feed.NewNamedVersion("menu", 3, time.Minute)}, false},
	} {
		m.applyUpdate("10.0.0.9:7700", feed.NewUpdate(0, nil, step.told, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil))
		select {
		case <-m.wake:
			if !step.wake {
				t.Fatalf("woken by %v", step.told)
			}
		default:
			if step.wake {
				t.Fatalf("not woken by %v", step.told)
			}
		}
	}
	told := m.follower.Versions()
	if len(told) != 2 || told[0].Version() != 2 || told[0].Age() < time.Hour || told[1].Age() < time.Minute {
		t.Fatalf("told %v", told)
	}
}

// Where all who knew the ages have lost power, the log names the versions all at one
// moment. Their times end together then, and only the last of them is worth having.
func TestVersionDueWithItsSuccessorIsSkipped(t *testing.T) {
	m := restartedMember(time.Second+3*time.Millisecond, time.Second)
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 4, 500*time.Millisecond)}, time.Now())
	if due := m.nextDue("menu", 0).Version(); due != 3 {
		t.Fatalf("version %d is the next where 2 and 3 were named together", due)
	}
	if due := m.nextDue("menu", 3).Version(); due != 4 {
		t.Fatalf("version %d is the next where 3 is served", due)
	}
}

// A version may be served until the time of the next one ends, so one whose
// successor is due as well is no engine's next.
func TestVersionWithDueSuccessorIsSkipped(t *testing.T) {
	m := restartedMember(30*time.Second, 20*time.Second)
	m.rolloutLimit = 8 * time.Second
	if due := m.nextDue("menu", 1).Version(); due != 3 {
		t.Fatalf("version %d is the next where 3 is due", due)
	}
	m = restartedMember(9*time.Second, 3*time.Second)
	m.rolloutLimit = 8 * time.Second
	if due := m.nextDue("menu", 1).Version(); due != 2 {
		t.Fatalf("version %d is the next where 3 is not due yet", due)
	}
	if due := m.nextDue("menu", 2).Version(); due != 3 {
		t.Fatalf("version %d is the next where 2 is served", due)
	}
}
