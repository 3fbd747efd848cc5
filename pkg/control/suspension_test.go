package control

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/suspension"
)

// The clock does not advance while a VM is suspended: after a suspension the last contact with a
// leader is not recent, and versions are older.
func TestSuspensionAgesLeaderAndVersions(t *testing.T) {
	const suspended = 4 * time.Second
	m := &member{started: time.Now().Add(-time.Minute)}
	m.leaderKnownAt.Store(int64(time.Since(m.started)))
	if !m.quorumConfirmed() {
		t.Fatal("a leader that was just known does not confirm a quorum")
	}
	m.forgetLeader(suspended)
	if m.quorumConfirmed() {
		t.Error("a leader that was known before the suspension confirms a quorum")
	}
	s := NewState(func() {})
	s.mergeNamed([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 0)}, sourceLog)
	s.addSuspension(suspended)
	if age := s.NamedVersions()[0].Age(); age < suspended {
		t.Errorf("age of the version: %s", age)
	}
}

// Guards against versions that expire too early everywhere: an age that arrived after the VM had resumed, and
// before the suspension was detected, was increased by the suspension again, and so was that of a version
// named then. All processes take the greatest age that one of them knows.
func TestAgesLearnedAfterSuspensionAreNotIncreased(t *testing.T) {
	const suspended, age = 4 * time.Second, 5 * time.Second
	now := time.Unix(1000, 0)
	s := newStateWithClock(&now)
	var bootTime time.Duration
	watch := suspension.NewWithClocks(func() time.Duration { return 0 }, func() time.Duration { return bootTime })
	watch.OnResume(s.addSuspension)
	s.checkSuspension = watch.Check
	applyVersion(t, s, 2)
	bootTime += suspended
	s.MergeAges([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, age)}, "node", "10.0.0.9:7700")
	watch.Check()
	requireAges(t, s, map[uint64]time.Duration{2: age})
	bootTime += suspended
	applyVersion(t, s, 3)
	watch.Check()
	requireAges(t, s, map[uint64]time.Duration{2: age + suspended, 3: 0})
}
