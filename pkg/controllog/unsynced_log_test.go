// ================================================================
// Test that a member syncs the log that it reads at the start. A member may be killed
// between the write and the sync of an entry, and then reads the entry from the page cache.
// If it acknowledged the entry without a sync, a power loss would remove the copy that the
// leader has counted. An acknowledged configuration was lost in this way after all nodes
// lost power and one of them its disk.
// ================================================================

package controllog

import (
	"testing"

	"github.com/pkg/errors"
)

var errKilled = errors.New("the process was killed before the sync")

// killBeforeSync calls action, which makes a member write, and kills the member between the
// write and its sync.
func (c *simulatedCluster) killBeforeSync(t *testing.T, m *simulatedMember, action func()) {
	t.Helper()
	m.disk.FailSync = func(string) error { return errKilled }
	action()
	m.disk.FailSync = nil
	if m.runner != nil {
		t.Fatalf("%s was not killed, since it did not write", m.self.MemberID())
	}
}

// runHeartbeats ticks a leader for three heartbeats and delivers the allowed messages.
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
		t.Fatal("the write was not acknowledged, so the test checks nothing")
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
		t.Fatal("no member leads")
	}
	if got := leader.values["k"]; got != "v" {
		t.Errorf("after the power loss the acknowledged value is %q", got)
	}
}
