// ================================================================
// What was seen: members whose disks were lost were no voters again after 6 s, on busy
// machines at loopback; between regions with 20 Mbit/s it takes longer. If disks are lost
// once more meanwhile, nobody leads any more, and what was acknowledged is gone. How it
// comes about: a new member is sent the log entry by entry, and of a log of whole
// configurations one counts. What proved it: the bytes that go to a new member.
// ================================================================

package controllog

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// countBytesTo counts the data that goes to a member while messages pass.
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
	fresh := c.newMember("entry-4")
	sent := 0
	allow := countBytesTo(c, fresh.self.MemberID(), &sent)
	leader.runner.handleRequest(request{step: func(r *Runner) error { return r.addMember(fresh.self) }, reply: make(chan result, 1)})
	c.processAllReady(leader)
	c.runHeartbeats(leader, allow)
	c.runHeartbeats(leader, allow)
	if v, ok := leader.runner.replica.member(fresh.self.MemberID()); !ok || v.Learner() {
		t.Fatal("the new member does not vote")
	}
	if got := fresh.values["k"]; !strings.HasPrefix(got, fmt.Sprint(writes-1)+"x") {
		t.Errorf("it holds %.10q", got)
	}
	if sent > 3*size {
		t.Errorf("%d bytes went to it; the state has %d", sent, size)
	}
}

// Answers that come slowly ask for no part twice.
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
	fresh := c.newMember("entry-2")
	leader.runner.handleRequest(request{step: func(r *Runner) error { return r.addMember(fresh.self) }, reply: make(chan result, 1)})
	c.processAllReady(leader)
	parts := map[int64]int{}
	for range 40 {
		c.tick(leader)
		// One message a tick in each direction: heartbeats overtake nothing, and many
		// are answered while a part is on its way.
		for n := min(len(c.inFlight), 2); n > 0; n-- {
			if m := c.inFlight[0]; m.kind == MessageSnapshot {
				parts[m.snapshot.offset]++
			}
			c.deliver(0, false)
		}
	}
	if len(parts) < size/snapshotPartSize {
		t.Fatalf("%d parts went out", len(parts))
	}
	for offset, n := range parts {
		if n > 1 {
			t.Errorf("the part at %d went out %d times", offset, n)
		}
	}
}
