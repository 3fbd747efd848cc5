package control

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// A node that was suspended heard of a leader longer ago than its clock says, and versions
// are older.
func TestNodeCountsASuspension(t *testing.T) {
	const suspended = 4 * time.Second
	m := &member{started: time.Now().Add(-time.Minute)}
	m.heardLeader.Store(int64(time.Since(m.started)))
	if !m.confirmed() {
		t.Fatal("a leader that was just heard of does not count")
	}
	m.suspended(suspended)
	if m.confirmed() {
		t.Error("a leader that was heard of before the suspension counts")
	}
	s := NewState(func() {})
	s.name([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, 0)}, sourceLog)
	s.suspended(suspended)
	if age := s.Weights()[0].Age(); age < suspended {
		t.Errorf("the version is %s old", age)
	}
}
