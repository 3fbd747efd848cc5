// ================================================================
// Tests that a new member receives the state and not each entry of a log of whole
// configurations. Sent entry by entry, members that lost their disks took 6 s to become
// voters again on busy machines over loopback, and longer between regions with 20 Mbit/s.
// If further disks are lost during that time, the quorum and acknowledged data are lost too.
// ================================================================

package controllog

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// countBytesTo returns a filter that allows all messages and adds the data sent to a member
// to count.
func countBytesTo(c *simulatedCluster, to MemberID, count *int) func(Message) bool {
	return func(m Message) bool {
		if m.to == to {
			*count += len(m.snapshot.data)
			for _, e := range m.entries {
				*count += len(e.data)
			}
		}
		return true
	}
}

func TestNewMemberReceivesSnapshotInsteadOfLog(t *testing.T) {
	const writes, size = 12, 200 << 10
	c := newVotingCluster(t, 3, Faults{})
	leader := c.members[0]
	for i := range writes {
		c.write(leader, "k", fmt.Sprint(i)+strings.Repeat("x", size))
		c.deliverAllowed(allMessages)
		c.runHeartbeats(leader, allMessages)
	}
	added := c.newMember("entry-4")
	sent := 0
	countingFilter := countBytesTo(c, added.self.MemberID(), &sent)
	leader.runner.handleRequest(request{step: func(r *Runner) error { return r.addMember(added.self) }, reply: make(chan result, 1)})
	c.processAllReady(leader)
	c.runHeartbeats(leader, countingFilter)
	c.runHeartbeats(leader, countingFilter)
	if v, ok := leader.runner.replica.member(added.self.MemberID()); !ok || v.Learner() {
		t.Fatal("the new member does not vote")
	}
	if got := added.values["k"]; !strings.HasPrefix(got, fmt.Sprint(writes-1)+"x") {
		t.Errorf("it holds %.10q", got)
	}
	if sent > 3*size {
		t.Errorf("%d bytes were sent to it; the state has %d", sent, size)
	}
}

// Heartbeat responses that arrive while a part is in flight do not make the leader send it
// again.
func TestSnapshotPartsAreSentOnce(t *testing.T) {
	const size = 3 * snapshotPartSize
	r := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, size)
	for i := range value {
		value[i] = byte('a' + r.IntN(26))
	}
	c := newVotingCluster(t, 1, Faults{})
	leader := c.members[0]
	c.write(leader, "k", string(value))
	c.write(leader, "k", string(value))
	c.write(leader, "k", string(value))
	added := c.newMember("entry-2")
	leader.runner.handleRequest(request{step: func(r *Runner) error { return r.addMember(added.self) }, reply: make(chan result, 1)})
	c.processAllReady(leader)
	parts := map[int64]int{}
	for range 40 {
		c.tick(leader)
		// At most two messages are delivered per tick, in order, so that many heartbeats
		// are answered while a part is in flight.
		for n := min(len(c.inFlight), 2); n > 0; n-- {
			if m := c.inFlight[0]; m.kind == MessageSnapshot {
				parts[m.snapshot.offset]++
			}
			c.deliver(0, false)
		}
	}
	if len(parts) < size/snapshotPartSize {
		t.Fatalf("%d parts were sent", len(parts))
	}
	for offset, n := range parts {
		if n > 1 {
			t.Errorf("the part at %d was sent %d times", offset, n)
		}
	}
}
