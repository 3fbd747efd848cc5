package registry

import (
	"testing"
	"time"
)

func newTestRegistration(sequence uint64, state State) Registration {
	return NewRegistration("i-1", "menu", "10.0.0.1:80", "north", "v1", 16, state, 0, nil, sequence, 0)
}

func TestLateHeartbeatIsIgnored(t *testing.T) {
	table := NewTable(nil)
	table.Receive(newTestRegistration(5, Draining))
	if table.Receive(newTestRegistration(4, Ready)) {
		t.Fatal("a late heartbeat changed the table")
	}
	if r, _ := table.Get("i-1"); r.State() != Draining {
		t.Fatalf("state is %s", r.State())
	}
}

func TestLeavingIsFinal(t *testing.T) {
	table := NewTable(nil)
	table.Receive(newTestRegistration(5, Ready))
	table.Leave("i-1")
	table.Receive(newTestRegistration(9, Ready))
	if r, _ := table.Get("i-1"); r.State() != Gone {
		t.Fatalf("a heartbeat after the leave brought it back as %s", r.State())
	}
}

// A backend server that talked to another node in between must be told again:
// that node will soon call it silent.
func TestGapInSequenceIsAChange(t *testing.T) {
	table := NewTable(nil)
	table.Receive(newTestRegistration(1, Ready))
	if table.Receive(newTestRegistration(2, Ready)) {
		t.Fatal("the next heartbeat is no change")
	}
	if !table.Receive(newTestRegistration(7, Ready)) {
		t.Fatal("a gap in the sequence is a change")
	}
}

func TestSweepMarksSilent(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	table.Receive(newTestRegistration(1, Ready))
	now = now.Add(6 * time.Second)
	if changed := table.Sweep(Timeouts{Direct: 5 * time.Second, Relayed: 30 * time.Second, Forget: time.Minute}); len(changed) != 1 || changed[0].State() != Silent {
		t.Fatalf("swept %v", changed)
	}
	if !table.Receive(newTestRegistration(2, Ready)) {
		t.Fatal("a heartbeat after silence is a change")
	}
}

// A backend server whose heartbeats go to another node is not silent because none
// come here.
func TestRelayedRegistrationUsesRelayedTimeout(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	patience := Timeouts{Direct: 5 * time.Second, Relayed: 30 * time.Second, Forget: time.Minute}
	if _, tell := table.ReceiveRelayed(newTestRegistration(1, Ready)); !tell {
		t.Fatal("a new backend server is news")
	}
	now = now.Add(10 * time.Second)
	if changed := table.Sweep(patience); len(changed) != 0 {
		t.Fatalf("swept %v", changed)
	}
	if _, tell := table.ReceiveRelayed(newTestRegistration(9, Ready)); tell {
		t.Fatal("the same word of a later time is no news")
	}
	if !table.Receive(newTestRegistration(10, Ready)) {
		t.Fatal("the node that told of it has to hear that its heartbeats come here now")
	}
	now = now.Add(6 * time.Second)
	if changed := table.Sweep(patience); len(changed) != 1 {
		t.Fatalf("swept %v", changed)
	}
}

// The node that a backend server called before calls it silent; the one that it
// calls now sets that right.
func TestSilentStateFromOtherNodeIsCorrected(t *testing.T) {
	table := NewTable(nil)
	table.Receive(newTestRegistration(57, Ready))
	table.Receive(newTestRegistration(58, Ready))
	held, tell := table.ReceiveRelayed(newTestRegistration(57, Silent))
	if !tell || held.State() != Ready || held.Sequence() != 58 {
		t.Fatalf("told %v: %s, %d", tell, held.State(), held.Sequence())
	}
	if r, _ := table.Get("i-1"); r.State() != Ready {
		t.Fatalf("state is %s", r.State())
	}
}

// A word that comes back from another node leaves the heartbeats here.
func TestOwnRegistrationRelayedBack(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	table.Receive(newTestRegistration(3, Ready))
	table.ReceiveRelayed(newTestRegistration(3, Ready))
	if direct := table.Direct(); len(direct) != 1 {
		t.Fatalf("direct %v", direct)
	}
	if _, tell := table.ReceiveRelayed(newTestRegistration(4, Gone)); !tell {
		t.Fatal("a departure is news")
	}
	if _, tell := table.ReceiveRelayed(newTestRegistration(5, Ready)); tell {
		t.Fatal("nothing brings it back")
	}
}

// registrationOfStart is a word of one start of a backend server that keeps its incarnation.
func registrationOfStart(born, sequence uint64, state State, holdings ...Holding) Registration {
	return NewRegistration("i-1", "menu", "10.0.0.1:80", "north", "v1", 16, state, 0, holdings, sequence, born)
}

// A backend server that starts again under its incarnation counts anew and holds nothing.
func TestLaterStartReplacesEarlierStart(t *testing.T) {
	for _, state := range []State{Ready, Silent, Draining} {
		table := NewTable(nil)
		table.Receive(registrationOfStart(1000, 40, state, NewHolding("menu", 3, 0, 16)))
		if !table.Receive(registrationOfStart(2000, 1, Ready)) {
			t.Errorf("after %s the later start is no change", state)
		}
		if r, _ := table.Get("i-1"); r.State() != Ready || r.Sequence() != 1 || len(r.Holdings()) != 0 {
			t.Errorf("after %s it is %v", state, r)
		}
		if table.Receive(registrationOfStart(1000, 41, Ready, NewHolding("menu", 3, 0, 16))) {
			t.Errorf("after %s a word of the earlier start was taken", state)
		}
		if r, _ := table.Get("i-1"); len(r.Holdings()) != 0 {
			t.Errorf("it holds what the earlier start did: %v", r)
		}
	}
}

// A leave is of all starts until then; one that comes later is there again.
func TestLeaveCoversStartsUntilThen(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for _, known := range []bool{true, false} {
		table := NewTable(func() time.Time { return now })
		if known {
			table.Receive(registrationOfStart(900_000, 40, Ready))
		}
		gone, _ := table.Leave("i-1")
		if table.Receive(registrationOfStart(900_000, 41, Ready)) {
			t.Errorf("known %t: a late heartbeat brought it back", known)
		}
		if !table.Receive(registrationOfStart(1_003_000, 1, Ready)) {
			t.Errorf("known %t: the next start is not there", known)
		}
		other := NewTable(nil)
		other.Receive(registrationOfStart(1_003_000, 1, Ready))
		if _, tell := other.ReceiveRelayed(gone); tell {
			t.Errorf("known %t: the leave of an earlier start ended the next one at another node", known)
		}
	}
}

// A start that has only just begun by another clock is gone when it leaves.
func TestLeaveOfAStartWithClockAhead(t *testing.T) {
	table := NewTable(func() time.Time { return time.UnixMilli(1_000_000) })
	table.Receive(registrationOfStart(1_004_000, 2, Ready))
	table.Leave("i-1")
	if r, _ := table.Get("i-1"); r.State() != Gone {
		t.Errorf("it is %s", r.State())
	}
}

// Two nodes that both took the leave tell each other of it again and again: it is forgotten
// all the same.
func TestGoneExpiresDespiteResends(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	clock := func() time.Time { return now }
	nodes := []*Table{NewTable(clock), NewTable(clock)}
	for _, n := range nodes {
		n.Receive(registrationOfStart(900_000, 4, Ready))
		n.Leave("i-1")
	}
	patience := Timeouts{Direct: time.Hour, Relayed: time.Hour, Forget: 2 * time.Minute}
	for range 12 {
		now = now.Add(30 * time.Second)
		for i, n := range nodes {
			for _, r := range n.Direct() {
				nodes[1-i].ReceiveRelayed(r)
			}
			n.Sweep(patience)
		}
	}
	for i, n := range nodes {
		if _, known := n.Get("i-1"); known {
			t.Errorf("node %d still knows of it", i)
		}
	}
}
