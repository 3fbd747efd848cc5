package registry

import (
	"testing"
	"time"
)

func word(sequence uint64, state State) Registration {
	return NewRegistration("i-1", "menu", "10.0.0.1:80", "north", "v1", 16, state, 0, nil, sequence)
}

func TestLateWordIsIgnored(t *testing.T) {
	table := NewTable(nil)
	table.Hear(word(5, Draining))
	if table.Hear(word(4, Ready)) {
		t.Fatal("a late heartbeat changed the table")
	}
	if r, _ := table.Get("i-1"); r.State() != Draining {
		t.Fatalf("state is %s", r.State())
	}
}

func TestLeavingIsFinal(t *testing.T) {
	table := NewTable(nil)
	table.Hear(word(5, Ready))
	table.Leave("i-1")
	table.Hear(word(9, Ready))
	if r, _ := table.Get("i-1"); r.State() != Gone {
		t.Fatalf("a heartbeat after the leave brought it back as %s", r.State())
	}
}

// A backend server that talked to another node in between must be told again:
// that node will soon call it silent.
func TestGapInSequenceIsAChange(t *testing.T) {
	table := NewTable(nil)
	table.Hear(word(1, Ready))
	if table.Hear(word(2, Ready)) {
		t.Fatal("the next heartbeat is no change")
	}
	if !table.Hear(word(7, Ready)) {
		t.Fatal("a gap in the sequence is a change")
	}
}

func TestSweepMarksSilent(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	table.Hear(word(1, Ready))
	now = now.Add(6 * time.Second)
	if changed := table.Sweep(5*time.Second, time.Minute); len(changed) != 1 || changed[0].State() != Silent {
		t.Fatalf("swept %v", changed)
	}
	if !table.Hear(word(2, Ready)) {
		t.Fatal("a heartbeat after silence is a change")
	}
}
