// ================================================================
// Test that a snapshot does not remove the entries after it from a member's log. The member
// may have been counted in the quorum that committed them, so an acknowledged entry could
// be lost. It happens when the member does not know yet that the entries are committed: a
// new leader sends it a snapshot if it responds to a heartbeat before the first append.
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

	// The commit index is that of a member just started, whose stored one lags.
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
		t.Errorf("the log ended with entry %d and now ends with entry %d", last, member.LastIndex())
	}
	c.crash(s2)
	c.start(s2)
	if got := s2.runner.replica.LastIndex(); got != last {
		t.Errorf("after a power loss the log ends with entry %d; it ended with entry %d", got, last)
	}
}
