package staging

import (
	"io"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/suspension"
)

// restartedMember returns a member that has just started and has received versions 2 and 3 of a
// model with the given ages.
func restartedMember(second, third time.Duration) *Member {
	m := &Member{versions: feed.NewVersionTable(), copies: map[string][]*weightsCopy{}}
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, second), feed.NewNamedVersion("menu", 3, third)}, time.Now())
	return m
}

// Guards against this failure: a restarted stager or cache counted the newest version as stalled,
// since it was named long ago and no chunk of it was here, and downloaded the previous one.
func TestRestartedMemberDownloadsNewestVersion(t *testing.T) {
	m := restartedMember(30*time.Second, 20*time.Second)
	if got := m.target("menu", 1).Version(); got != 3 {
		t.Fatalf("target is version %d", got)
	}
}

// While the origin is down, no chunk of the newest version arrives. A cache then downloads the
// previous version for engines that wait for it, but no version that requests may no longer use.
func TestRestartedCacheSkipsObsoleteVersions(t *testing.T) {
	process, err := daemon.New(settings.Common{}, 1, daemon.Hooks{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	k := NewCache(process, Protocol{}, func() []string { return nil }, nil)
	firstSeen := time.Now().Add(-2 * stallTimeout) // the versions have been known and stalled since then
	k.versions.Add([]feed.NamedVersion{
		feed.NewNamedVersion("menu", 2, 40*time.Minute), feed.NewNamedVersion("menu", 3, 20*time.Minute), feed.NewNamedVersion("menu", 4, 20*time.Second),
	}, firstSeen)
	if got := k.target("menu", 0).Version(); got != 3 {
		t.Fatalf("target is version %d", got)
	}
	if got := k.target("menu", 3).Version(); got != 4 {
		t.Fatalf("target is version %d where 3 is held", got)
	}
}

// A member is woken by a version that it did not know, also by an earlier one that arrives late,
// but not by a change of age. It sends its ages to restarted nodes.
func TestMemberKeepsTheAgesOfAllNamedVersions(t *testing.T) {
	process, err := daemon.New(settings.Common{}, 1, daemon.Hooks{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	m := NewCache(process, Protocol{}, func() []string { return nil }, nil).Member
	for _, step := range []struct {
		versions []feed.NamedVersion
		wake     bool
	}{
		{[]feed.NamedVersion{feed.NewNamedVersion("menu", 3, 0)}, true},
		{[]feed.NamedVersion{feed.NewNamedVersion("menu", 2, time.Second), feed.NewNamedVersion("menu", 3, 0)}, true},
		{[]feed.NamedVersion{feed.NewNamedVersion("menu", 2, time.Hour), feed.NewNamedVersion("menu", 3, time.Minute)}, false},
	} {
		m.applyUpdate("10.0.0.9:7700", feed.NewUpdate(0, nil, step.versions, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil, nil))
		select {
		case <-m.wake:
			if !step.wake {
				t.Fatalf("woken by %v", step.versions)
			}
		default:
			if step.wake {
				t.Fatalf("not woken by %v", step.versions)
			}
		}
	}
	versions := m.follower.NamedVersions()
	if len(versions) != 2 || versions[0].Version() != 2 || versions[0].Age() < time.Hour || versions[1].Age() < time.Minute {
		t.Fatalf("versions %v", versions)
	}
}

// If all processes that knew the ages have lost power, a control node names the versions of its log
// together. They become due together, and only the last one is worth a download.
func TestVersionDueWithItsSuccessorIsSkipped(t *testing.T) {
	m := restartedMember(time.Second+3*time.Millisecond, time.Second)
	m.versions.Add([]feed.NamedVersion{feed.NewNamedVersion("menu", 4, 500*time.Millisecond)}, time.Now())
	if due := m.nextDue("menu", 0).Version(); due != 3 {
		t.Fatalf("next due version is %d where 2 and 3 were named together", due)
	}
	if due := m.nextDue("menu", 3).Version(); due != 4 {
		t.Fatalf("next due version is %d where 3 is served", due)
	}
}

// A version may be served until the next one is due, so a version whose successor is due is
// skipped.
func TestVersionWithDueSuccessorIsSkipped(t *testing.T) {
	m := restartedMember(30*time.Second, 20*time.Second)
	m.rolloutLimit = 8 * time.Second
	if due := m.nextDue("menu", 1).Version(); due != 3 {
		t.Fatalf("next due version is %d where 3 is due", due)
	}
	m = restartedMember(9*time.Second, 3*time.Second)
	m.rolloutLimit = 8 * time.Second
	if due := m.nextDue("menu", 1).Version(); due != 2 {
		t.Fatalf("next due version is %d where 3 is not due yet", due)
	}
	if due := m.nextDue("menu", 2).Version(); due != 3 {
		t.Fatalf("next due version is %d where 2 is served", due)
	}
}

// Guards against versions that expire too early everywhere: an age that arrived after the VM had resumed,
// and before the suspension was detected, was increased by the suspension again.
func TestAgeLearnedAfterSuspensionIsNotIncreased(t *testing.T) {
	const suspended, age = 4 * time.Second, 5 * time.Second
	process, err := daemon.New(settings.Common{}, 1, daemon.Hooks{Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	m := NewCache(process, Protocol{}, func() []string { return nil }, nil).Member
	var bootTime time.Duration
	watch := suspension.NewWithClocks(func() time.Duration { return 0 }, func() time.Duration { return bootTime })
	watch.OnResume(m.versions.AddSuspension)
	m.checkSuspension = watch.Check
	bootTime += suspended
	versions := []feed.NamedVersion{feed.NewNamedVersion("menu", 2, age)}
	m.applyUpdate("10.0.0.9:7700", feed.NewUpdate(0, nil, versions, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil, nil))
	watch.Check()
	if got := m.versions.Current(time.Now())[0].Age(); got >= age+suspended {
		t.Errorf("an age of %s became %s", age, got)
	}
}
