// ================================================================
// What was seen: an acknowledged configuration is gone after all nodes lost power and
// one lost its disk. How it comes about: a member is killed after it has written an
// entry and before the disk has it. Started again, it finds the entry in its file,
// where the kernel still holds it for the disk, and tells the leader that it has it
// for good. The leader counts that as a copy and acknowledges. Loss of power takes the
// kernel's copy away. What caused it: a log that was read back was taken to be synced.
// What proved it: this history, which loses the entry without the sync at the opening.
// ================================================================

package controllog

import (
	"testing"

	"github.com/pkg/errors"
)

var errKilled = errors.New("the process was killed before the sync")

// killBeforeSync has a member take an append in and die after the write of it.
func (c *simulatedCluster) killBeforeSync(t *testing.T, m *simulatedMember, take func()) {
	t.Helper()
	m.disk.FailSync = func(string) error { return errKilled }
	take()
	m.disk.FailSync = nil
	if m.runner != nil {
		t.Fatalf("%s has not written anything", m.self.MemberID())
	}
}

// runHeartbeats lets heartbeats of a leader pass between some members.
func (c *simulatedCluster) runHeartbeats(leader *simulatedMember, allow func(Message) bool) {
	for range 3 * DefaultHeartbeatTicks {
		c.tick(leader)
		c.deliverAllowed(allow)
	}
	c.collectResults()
}

func TestWrittenBeforeAKillSurvivesLossOfPower(t *testing.T) {
	c := newVotingCluster(t, 3, Faults{})
	s1, s2, s3 := c.members[0], c.members[1], c.members[2]
	pair := messagesAmong("entry-1", "entry-2")
	c.killBeforeSync(t, s2, func() {
		c.write(s1, "k", "v")
		c.deliverAllowed(pair)
	})
	c.start(s2)
	c.step++
	c.runHeartbeats(s1, pair)
	if o := c.history[0]; o.end == 0 || o.failed {
		t.Fatal("the write was not acknowledged: the history shows nothing")
	}

	// s1 loses its disk, and the others lose power.
	c.replaceDisk(s1)
	for _, m := range []*simulatedMember{s2, s3} {
		m.runner = nil
		m.disk.Crash(0)
	}
	c.recoverAll()
	leader := c.leader()
	if leader == nil {
		t.Fatal("nobody leads")
	}
	if got := leader.values["k"]; got != "v" {
		t.Errorf("after the loss of power the acknowledged value is %q", got)
	}
}
