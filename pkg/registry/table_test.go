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

func TestDeregistrationIsFinal(t *testing.T) {
	table := NewTable(nil)
	table.Receive(newTestRegistration(5, Ready))
	table.MarkGone("i-1")
	table.Receive(newTestRegistration(9, Ready))
	if r, _ := table.Get("i-1"); r.State() != Gone {
		t.Fatalf("a heartbeat after the deregistration set the state to %s", r.State())
	}
}

// A backend server that sent reports to another node in between must be forwarded again: that node
// will soon report it as silent.
func TestGapInSequenceIsAChange(t *testing.T) {
	table := NewTable(nil)
	table.Receive(newTestRegistration(1, Ready))
	if table.Receive(newTestRegistration(2, Ready)) {
		t.Fatal("the next heartbeat counts as a change")
	}
	if !table.Receive(newTestRegistration(7, Ready)) {
		t.Fatal("a gap in the sequence does not count as a change")
	}
}

func TestSweepMarksSilent(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	table.Receive(newTestRegistration(1, Ready))
	now = now.Add(6 * time.Second)
	if changed := table.Sweep(Timeouts{Direct: 5 * time.Second, Relayed: 30 * time.Second, Expiry: time.Minute}); len(changed) != 1 || changed[0].State() != Silent {
		t.Fatalf("Sweep changed %v", changed)
	}
	if !table.Receive(newTestRegistration(2, Ready)) {
		t.Fatal("a heartbeat after silence does not count as a change")
	}
}

// A backend server whose heartbeats go to another node must not be marked silent because none
// arrive here.
func TestRelayedRegistrationUsesRelayedTimeout(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	timeouts := Timeouts{Direct: 5 * time.Second, Relayed: 30 * time.Second, Expiry: time.Minute}
	if _, forwarded := table.ReceiveRelayed(newTestRegistration(1, Ready)); !forwarded {
		t.Fatal("a new backend server is not forwarded")
	}
	now = now.Add(10 * time.Second)
	if changed := table.Sweep(timeouts); len(changed) != 0 {
		t.Fatalf("Sweep changed %v", changed)
	}
	if _, forwarded := table.ReceiveRelayed(newTestRegistration(9, Ready)); forwarded {
		t.Fatal("an unchanged registration is forwarded")
	}
	if !table.Receive(newTestRegistration(10, Ready)) {
		t.Fatal("the first direct heartbeat is not forwarded to the node that relayed the registration before")
	}
	now = now.Add(6 * time.Second)
	if changed := table.Sweep(timeouts); len(changed) != 1 {
		t.Fatalf("Sweep changed %v", changed)
	}
}

// The node that a backend server used before reports it as silent; the node that it uses now
// corrects this.
func TestSilentStateFromOtherNodeIsCorrected(t *testing.T) {
	table := NewTable(nil)
	table.Receive(newTestRegistration(57, Ready))
	table.Receive(newTestRegistration(58, Ready))
	current, forwarded := table.ReceiveRelayed(newTestRegistration(57, Silent))
	if !forwarded || current.State() != Ready || current.Sequence() != 58 {
		t.Fatalf("forwarded %v: %s, %d", forwarded, current.State(), current.Sequence())
	}
	if r, _ := table.Get("i-1"); r.State() != Ready {
		t.Fatalf("state is %s", r.State())
	}
}

// A registration that another node sends back must not mark the backend server as relayed.
func TestOwnRegistrationRelayedBack(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	table.Receive(newTestRegistration(3, Ready))
	table.ReceiveRelayed(newTestRegistration(3, Ready))
	if direct := table.Direct(); len(direct) != 1 {
		t.Fatalf("direct registrations %v", direct)
	}
	if _, forwarded := table.ReceiveRelayed(newTestRegistration(4, Gone)); !forwarded {
		t.Fatal("a deregistration is not forwarded")
	}
	if _, forwarded := table.ReceiveRelayed(newTestRegistration(5, Ready)); forwarded {
		t.Fatal("a later heartbeat is accepted after the deregistration")
	}
}

// registrationOfStart returns a registration of one start of a backend server that keeps its
// incarnation.
func registrationOfStart(startedAt, sequence uint64, state State, holdings ...Holding) Registration {
	return NewRegistration("i-1", "menu", "10.0.0.1:80", "north", "v1", 16, state, 0, holdings, sequence, startedAt)
}

// A backend server that restarts under its incarnation restarts its sequence and has no holdings.
func TestLaterStartReplacesEarlierStart(t *testing.T) {
	for _, state := range []State{Ready, Silent, Draining} {
		table := NewTable(nil)
		table.Receive(registrationOfStart(1000, 40, state, NewHolding("menu", 3, 0, 16)))
		if !table.Receive(registrationOfStart(2000, 1, Ready)) {
			t.Errorf("after %s the later start does not count as a change", state)
		}
		if r, _ := table.Get("i-1"); r.State() != Ready || r.Sequence() != 1 || len(r.Holdings()) != 0 {
			t.Errorf("after %s the registration is %v", state, r)
		}
		if table.Receive(registrationOfStart(1000, 41, Ready, NewHolding("menu", 3, 0, 16))) {
			t.Errorf("after %s a heartbeat of the earlier start was accepted", state)
		}
		if r, _ := table.Get("i-1"); len(r.Holdings()) != 0 {
			t.Errorf("it has the holdings of the earlier start: %v", r)
		}
	}
}

// A deregistration applies to all starts until then; a later start is valid again.
func TestDeregistrationCoversEarlierStarts(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	for _, known := range []bool{true, false} {
		table := NewTable(func() time.Time { return now })
		if known {
			table.Receive(registrationOfStart(900_000, 40, Ready))
		}
		gone, _ := table.MarkGone("i-1")
		if table.Receive(registrationOfStart(900_000, 41, Ready)) {
			t.Errorf("known %t: a late heartbeat was accepted after the deregistration", known)
		}
		if !table.Receive(registrationOfStart(1_003_000, 1, Ready)) {
			t.Errorf("known %t: the next start was not accepted", known)
		}
		other := NewTable(nil)
		other.Receive(registrationOfStart(1_003_000, 1, Ready))
		if _, forwarded := other.ReceiveRelayed(gone); forwarded {
			t.Errorf("known %t: the deregistration of an earlier start was applied to the next one at another node", known)
		}
	}
}

// A start time that is ahead because of clock skew must not prevent the deregistration.
func TestDeregistrationOfStartWithClockAhead(t *testing.T) {
	table := NewTable(func() time.Time { return time.UnixMilli(1_000_000) })
	table.Receive(registrationOfStart(1_004_000, 2, Ready))
	table.MarkGone("i-1")
	if r, _ := table.Get("i-1"); r.State() != Gone {
		t.Errorf("state is %s", r.State())
	}
}

// Two nodes that both received the deregistration send it to each other repeatedly. It must still
// expire.
func TestGoneExpiresDespiteResends(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	clock := func() time.Time { return now }
	nodes := []*Table{NewTable(clock), NewTable(clock)}
	for _, n := range nodes {
		n.Receive(registrationOfStart(900_000, 4, Ready))
		n.MarkGone("i-1")
	}
	timeouts := Timeouts{Direct: time.Hour, Relayed: time.Hour, Expiry: 2 * time.Minute}
	for range 12 {
		now = now.Add(30 * time.Second)
		for i, n := range nodes {
			for _, r := range n.Direct() {
				nodes[1-i].ReceiveRelayed(r)
			}
			n.Sweep(timeouts)
		}
	}
	for i, n := range nodes {
		if _, known := n.Get("i-1"); known {
			t.Errorf("node %d still has the registration", i)
		}
	}
}

func newWarmingRegistration(sequence uint64, left time.Duration) Registration {
	return NewRegistration("i-1", "menu", "10.0.0.1:80", "north", "v1", 16, Ready, left, nil, sequence, 0)
}

// What is left of a warm-up shrinks while the registration is stored, so that a follower that connects
// late does not take the server for one that has just started.
func TestWarmupEndsWhileStored(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	table.Receive(newWarmingRegistration(1, 3*time.Second))
	for _, want := range []time.Duration{3 * time.Second, 2 * time.Second, time.Second, 0, 0} {
		r, _ := table.Get("i-1")
		if all := table.All(); r.WarmupLeft() != want || all[0].WarmupLeft() != want {
			t.Errorf("%s and %s left, want %s", r.WarmupLeft(), all[0].WarmupLeft(), want)
		}
		now = now.Add(time.Second)
	}
}

// A server may begin to warm up at any moment, and again before it has ended: followers are told. They
// are not told of the time that passes.
func TestChangedWarmupIsForwarded(t *testing.T) {
	now := time.Unix(100, 0)
	table := NewTable(func() time.Time { return now })
	for i, step := range []struct {
		after, left time.Duration
		forwarded   bool
	}{
		{0, 3 * time.Second, true},
		{1200 * time.Millisecond, 1800 * time.Millisecond, false},
		{1200 * time.Millisecond, 3 * time.Second, true},
		{1200 * time.Millisecond, 1700 * time.Millisecond, false},
		{1200 * time.Millisecond, 0, true},
		{1200 * time.Millisecond, 0, false},
		{1200 * time.Millisecond, 3 * time.Second, true},
	} {
		now = now.Add(step.after)
		if got := table.Receive(newWarmingRegistration(uint64(i+1), step.left)); got != step.forwarded {
			t.Errorf("heartbeat %d with %s left: forwarded: %t", i+1, step.left, got)
		}
	}
}
