// ================================================================
// How an acknowledged entry may be lost: a member that has it, and does not know yet that
// it is committed, gets a snapshot from before it, and starts its log anew from there. One
// copy fewer than was counted is left. A new leader sends such a snapshot when a heartbeat
// is answered before its first append is. What caused it: a snapshot took the place of the
// log also where the log went on behind it. What proved it: this history.
// ================================================================

package controllog

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestSnapshotLeavesEntriesBehindIt(t *testing.T) {
	c := newVotingCluster(t, 3, Faults{})
	s1, s2 := c.members[0], c.members[1]
	c.write(s1, "k", "old")
	c.runHeartbeats(s1, allMessages)
	snapshot := s1.runner.replica.MakeSnapshot(s1.runner.replica.Applied(), []byte("k=old"))
	c.write(s1, "k", "new")
	c.runHeartbeats(s1, allMessages)

	// As after a start with what the disk says of commits.
	member := s2.runner.replica
	last := member.LastIndex()
	member.hardState.commit = snapshot.index - 1
	encoded, err := msgpack.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	err = member.Step(Message{
		kind: MessageSnapshot, from: s1.self.MemberID(), to: s2.self.MemberID(), term: member.Term(),
		snapshot: SnapshotPart{index: snapshot.index, term: snapshot.term, data: encoded, last: true},
	})
	if err != nil {
		t.Fatal(err)
	}
	c.processAllReady(s2)
	if member.LastIndex() != last {
		t.Errorf("the log ended with entry %d and ends with %d", last, member.LastIndex())
	}
	c.crash(s2)
	c.start(s2)
	if got := s2.runner.replica.LastIndex(); got != last {
		t.Errorf("after a loss of power it ends with entry %d; it had %d", got, last)
	}
}
