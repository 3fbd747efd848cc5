package control

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// A node that was suspended heard of a leader longer ago than its clock says, and versions
// are older.
func TestSuspensionAgesLeaderAndVersions(t *testing.T) {
	const suspended = 4 * time.Second
	m := &member{started: time.Now().Add(-time.Minute)}
	m.leaderKnownAt.Store(int64(time.Since(m.started)))
	if !m.quorumConfirmed() {
		t.Fatal("a leader that was just heard of does not count")
	}
	m.forgetLeader(suspended)
	if m.quorumConfirmed() {
		t.Error("a leader that was heard of before the suspension counts")
	}
	s := NewState(func() {})
	s.mergeNamed([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 0)}, sourceLog)
	s.addSuspension(suspended)
	if age := s.NamedVersions()[0].Age(); age < suspended {
		t.Errorf("the version is %s old", age)
	}
}
