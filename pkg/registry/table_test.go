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
	if changed := table.Sweep(Patience{Direct: 5 * time.Second, Relayed: 30 * time.Second, Forget: time.Minute}); len(changed) != 1 || changed[0].State() != Silent {
		t.Fatalf("swept %v", changed)
	}
	if !table.Hear(word(2, Ready)) {
		t.Fatal("a heartbeat after silence is a change")
	}
}

// A backend server whose heartbeats go to another node is not silent because none
// come here.
func TestRelayedWordsAreNotSilentEarly(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	patience := Patience{Direct: 5 * time.Second, Relayed: 30 * time.Second, Forget: time.Minute}
	if _, tell := table.HearRelayed(word(1, Ready)); !tell {
		t.Fatal("a new backend server is news")
	}
	now = now.Add(10 * time.Second)
	if changed := table.Sweep(patience); len(changed) != 0 {
		t.Fatalf("swept %v", changed)
	}
	if _, tell := table.HearRelayed(word(9, Ready)); tell {
		t.Fatal("the same word of a later time is no news")
	}
	if !table.Hear(word(10, Ready)) {
		t.Fatal("the node that told of it has to hear that its heartbeats come here now")
	}
	now = now.Add(6 * time.Second)
	if changed := table.Sweep(patience); len(changed) != 1 {
		t.Fatalf("swept %v", changed)
	}
}

// The node that a backend server called before calls it silent; the one that it
// calls now sets that right.
func TestSilenceElsewhereIsCorrected(t *testing.T) {
	table := NewTable(nil)
	table.Hear(word(57, Ready))
	table.Hear(word(58, Ready))
	held, tell := table.HearRelayed(word(57, Silent))
	if !tell || held.State() != Ready || held.Sequence() != 58 {
		t.Fatalf("told %v: %s, %d", tell, held.State(), held.Sequence())
	}
	if r, _ := table.Get("i-1"); r.State() != Ready {
		t.Fatalf("state is %s", r.State())
	}
}

// A word that comes back from another node leaves the heartbeats here.
func TestOwnWordComesBack(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	table.Hear(word(3, Ready))
	table.HearRelayed(word(3, Ready))
	if direct := table.Direct(); len(direct) != 1 {
		t.Fatalf("direct %v", direct)
	}
	if _, tell := table.HearRelayed(word(4, Gone)); !tell {
		t.Fatal("a departure is news")
	}
	if _, tell := table.HearRelayed(word(5, Ready)); tell {
		t.Fatal("nothing brings it back")
	}
}
