// ================================================================
// Histories that chance finds too rarely, each played with its safeguard and
// without it. 3,000 random runs did not show either fault.
// ================================================================

package controllog

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/pkg/vm"
)

// newVotingCluster returns a cluster whose members all vote, with entry-1 leading.
func newVotingCluster(t *testing.T, size int, faults Faults) *simulatedCluster {
	t.Helper()
	c := newSimulatedCluster(rand.New(rand.NewPCG(1, 1)), size, faults, false)
	first := c.members[0]
	if err := first.runner.replica.Bootstrap(first.self); err != nil {
		t.Fatal(err)
	}
	c.processAllReady(first)
	for _, m := range c.members[1:] {
		if err := first.runner.replica.AddMember(m.self); err != nil {
			t.Fatal(err)
		}
		c.processAllReady(first)
		for range 3 * DefaultHeartbeatTicks {
			c.tick(first)
			c.deliverAllowed(allMessages)
		}
	}
	if n := countVoters(first.runner.replica.Members()); n != size {
		t.Fatalf("%d of %d members vote", n, size)
	}
	return c
}

func allMessages(Message) bool { return true }

// messagesAmong allows messages among the named members only.
func messagesAmong(names ...vm.ID) func(Message) bool {
	among := map[vm.ID]bool{}
	for _, n := range names {
		among[n] = true
	}
	return func(m Message) bool { return among[m.from.VM()] && among[m.to.VM()] }
}

// deliverAllowed delivers what is allowed, in order, and drops the rest, until nothing
// waits.
func (c *simulatedCluster) deliverAllowed(allow func(Message) bool) {
	for len(c.inFlight) > 0 {
		if !allow(c.inFlight[0]) {
			c.inFlight = c.inFlight[1:]
			continue
		}
		c.deliver(0, false)
	}
}

// campaign has a member campaign now.
func (c *simulatedCluster) campaign(m *simulatedMember) {
	m.runner.replica.campaign()
	c.processAllReady(m)
}

// ----------------------------------------------------------------

// runTwoCandidates has two members campaign in one term before a common voter
// hears of either.
func runTwoCandidates(t *testing.T, faults Faults) string {
	c := newVotingCluster(t, 3, faults)
	c.crash(c.members[0])
	c.start(c.members[0])
	for _, m := range c.members {
		m.runner.replica.becomeFollower(m.runner.replica.Term(), "")
	}
	c.campaign(c.members[1])
	c.campaign(c.members[2])
	c.deliverAllowed(func(m Message) bool {
		return messagesAmong("entry-1", "entry-2")(m) || messagesAmong("entry-1", "entry-3")(m)
	})
	return c.violation
}

func TestOneVotePerTerm(t *testing.T) {
	if broken := runTwoCandidates(t, Faults{}); broken != "" {
		t.Errorf("with the safeguard: %s", broken)
	}
	if broken := runTwoCandidates(t, Faults{VoteTwice: true}); !strings.Contains(broken, "has the leaders") {
		t.Errorf("without the safeguard: %q", broken)
	}
}

// runOldTermOnMajority is figure 8 of the Raft paper: an entry of an old term
// reaches a majority under a later leader, who is lost before any entry of its
// own term does.
func runOldTermOnMajority(t *testing.T, faults Faults) string {
	c := newVotingCluster(t, 5, faults)
	s1, s5 := c.members[0], c.members[4]

	// s1 appends a large entry, so that it travels alone, and reaches s2 only.
	c.write(s1, "k", strings.Repeat("x", maxAppendBytes+1))
	c.deliverAllowed(messagesAmong("entry-1", "entry-2"))
	c.crash(s1)

	// s5 leads with the votes of s3 and s4, and appends without reaching them.
	for _, m := range c.members[1:] {
		m.runner.replica.becomeFollower(m.runner.replica.Term(), "")
	}
	c.campaign(s5)
	c.deliverAllowed(func(m Message) bool {
		return m.kind != MessageAppend && messagesAmong("entry-3", "entry-4", "entry-5")(m)
	})
	c.crash(s5)

	// s1 leads again and brings its old entry, and no more, to s3.
	c.start(s1)
	for _, m := range c.members[1:4] {
		m.runner.replica.becomeFollower(m.runner.replica.Term(), "")
	}
	s1.runner.replica.hardState.term = c.members[2].runner.replica.Term()
	c.campaign(s1)
	withoutOwn := func(m Message) bool {
		own := false
		for _, e := range m.entries {
			own = own || e.term == s1.runner.replica.Term()
		}
		return !own && messagesAmong("entry-1", "entry-2", "entry-3")(m)
	}
	for range 2 * DefaultHeartbeatTicks {
		c.deliverAllowed(withoutOwn)
		c.tick(s1)
	}
	c.deliverAllowed(withoutOwn)
	c.crash(s1)

	// s5 comes back, leads, and replaces that entry everywhere.
	c.start(s5)
	for _, m := range c.members[1:4] {
		m.runner.replica.becomeFollower(m.runner.replica.Term(), "")
	}
	s5.runner.replica.hardState.term = c.members[2].runner.replica.Term()
	c.campaign(s5)
	for range 3 * DefaultHeartbeatTicks {
		c.deliverAllowed(messagesAmong("entry-2", "entry-3", "entry-4", "entry-5"))
		c.tick(s5)
	}
	c.recoverAll()
	return c.violation
}

func TestOnlyCurrentTermEntriesAreCounted(t *testing.T) {
	if broken := runOldTermOnMajority(t, Faults{}); broken != "" {
		t.Errorf("with the safeguard: %s", broken)
	}
	if broken := runOldTermOnMajority(t, Faults{CommitOldTerms: true}); broken == "" {
		t.Error("without the safeguard nothing was noticed")
	}
}

// TestLostDiskIsAnotherMember replaces a voter that lost its disk and then
// loses a second VM: a quorum is left.
func TestLostDiskIsAnotherMember(t *testing.T) {
	c := newVotingCluster(t, 3, Faults{})
	leader := c.members[0]
	lost := c.members[1]
	old := lost.self.MemberID()
	renewed := c.replaceDisk(lost)
	if renewed.self.MemberID() == old {
		t.Fatal("an emptied disk kept its identity")
	}
	if err := leader.runner.replica.AddMember(renewed.self); err != nil {
		t.Fatal(err)
	}
	c.processAllReady(leader)
	for range 6 * DefaultHeartbeatTicks {
		c.tick(leader)
		c.deliverAllowed(allMessages)
	}
	voters := leader.runner.replica.Members()
	if _, there := leader.runner.replica.member(old); there || countVoters(voters) != 3 {
		t.Fatalf("after the repair the voters are %s", describeMembers(voters))
	}
	c.crash(leader)
	for range 200 {
		for _, m := range c.members {
			c.tick(m)
		}
		c.deliverAllowed(allMessages)
	}
	if c.leader() == nil {
		t.Fatal("no leader after a second VM was lost right after the repair")
	}
}

// TestDamagedLogIsRefusedAndTornTailIsTruncated tells the two kinds of damage apart.
func TestDamagedLogIsRefusedAndTornTailIsTruncated(t *testing.T) {
	c := newVotingCluster(t, 1, Faults{})
	m := c.members[0]
	for range 5 {
		c.write(m, "k", "v")
	}
	name := m.runner.store.logName()
	raw, err := m.disk.Folder().Read(name)
	if err != nil {
		t.Fatal(err)
	}
	torn := m.disk.Folder()
	if err := torn.Replace(name, raw[:len(raw)-3]); err != nil {
		t.Fatal(err)
	}
	if _, _, repair, err := OpenStore(torn); err != nil || repair.Bytes == 0 {
		t.Errorf("torn tail: repair %+v, error %v", repair, err)
	}
	m.disk.Corrupt(name, len(raw)/2)
	if _, _, _, err := OpenStore(m.disk.Folder()); err == nil || !strings.Contains(err.Error(), "corrupt_log") {
		t.Errorf("damage in the middle: %v", err)
	}
}

// TestFailedSyncStopsTheVoter shows that a voter whose disk fails promises
// nothing more.
func TestFailedSyncStopsTheVoter(t *testing.T) {
	c := newVotingCluster(t, 1, Faults{})
	m := c.members[0]
	m.disk.FailSync = func(string) error { return errDisk }
	c.write(m, "k", "v")
	c.collectResults()
	if m.runner != nil {
		t.Fatal("the voter goes on after a failed sync")
	}
	for _, o := range c.history {
		if o.end != 0 && !o.failed {
			t.Fatal("a write was accepted whose sync failed")
		}
	}
}

// TestEmptyFolderFormsNoCluster shows that members wait for a bootstrap.
func TestEmptyFolderFormsNoCluster(t *testing.T) {
	c := newSimulatedCluster(rand.New(rand.NewPCG(1, 1)), 3, Faults{}, false)
	for range 20 * DefaultElectionTicks {
		for _, m := range c.members {
			c.tick(m)
		}
		c.deliverAllowed(allMessages)
	}
	if c.leader() != nil {
		t.Fatal("empty folders formed a cluster")
	}
}
