package control

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
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
