// ================================================================
// Tests with scripted histories, and helpers for them. Those with a safeguard to
// disable run with and without it, because 3,000 random runs detected neither
// fault.
// ================================================================

package controllog

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/pkg/vm"
)

// newVotingCluster returns a cluster whose members are all voters; entry-1 leads.
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

// messagesAmong returns a filter that allows only messages among the named members.
func messagesAmong(names ...vm.ID) func(Message) bool {
	allowed := map[vm.ID]bool{}
	for _, n := range names {
		allowed[n] = true
	}
	return func(m Message) bool { return allowed[m.from.VM()] && allowed[m.to.VM()] }
}

// deliverAllowed delivers the allowed messages in order and drops the others, until
// no message is in flight.
func (c *simulatedCluster) deliverAllowed(allow func(Message) bool) {
	for len(c.inFlight) > 0 {
		if !allow(c.inFlight[0]) {
			c.inFlight = c.inFlight[1:]
			continue
		}
		c.deliver(0, false)
	}
}

// campaign has a member start an election.
func (c *simulatedCluster) campaign(m *simulatedMember) {
	m.runner.replica.campaign()
	c.processAllReady(m)
}

// ----------------------------------------------------------------

// runTwoCandidates has two members campaign in the same term before the third
// member receives a vote request. It returns the violation found, or "".
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
	if violation := runTwoCandidates(t, Faults{}); violation != "" {
		t.Errorf("with the safeguard: %s", violation)
	}
	if violation := runTwoCandidates(t, Faults{VoteTwice: true}); !strings.Contains(violation, "has the leaders") {
		t.Errorf("without the safeguard: %q", violation)
	}
}

// runOldTermOnMajority runs figure 8 of the Raft paper: an entry of an old term
// reaches a majority under a later leader, which crashes before any entry of its
// own term does. It returns the violation found, or "".
func runOldTermOnMajority(t *testing.T, faults Faults) string {
	c := newVotingCluster(t, 5, faults)
	s1, s5 := c.members[0], c.members[4]

	// s1 appends an entry that fills a message of its own, and reaches s2 only.
	c.write(s1, "k", strings.Repeat("x", maxAppendBytes+1))
	c.deliverAllowed(messagesAmong("entry-1", "entry-2"))
	c.crash(s1)

	// s5 is elected by s3 and s4, and its appends do not reach them.
	for _, m := range c.members[1:] {
		m.runner.replica.becomeFollower(m.runner.replica.Term(), "")
	}
	c.campaign(s5)
	c.deliverAllowed(func(m Message) bool {
		return m.kind != MessageAppend && messagesAmong("entry-3", "entry-4", "entry-5")(m)
	})
	c.crash(s5)

	// s1 leads again and replicates only its old entry to s3.
	c.start(s1)
	for _, m := range c.members[1:4] {
		m.runner.replica.becomeFollower(m.runner.replica.Term(), "")
	}
	s1.runner.replica.hardState.term = c.members[2].runner.replica.Term()
	c.campaign(s1)
	onlyOldEntries := func(m Message) bool {
		own := false
		for _, e := range m.entries {
			own = own || e.term == s1.runner.replica.Term()
		}
		return !own && messagesAmong("entry-1", "entry-2", "entry-3")(m)
	}
	for range 2 * DefaultHeartbeatTicks {
		c.deliverAllowed(onlyOldEntries)
		c.tick(s1)
	}
	c.deliverAllowed(onlyOldEntries)
	c.crash(s1)

	// s5 restarts, leads, and replaces that entry on all members.
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
	if violation := runOldTermOnMajority(t, Faults{}); violation != "" {
		t.Errorf("with the safeguard: %s", violation)
	}
	if violation := runOldTermOnMajority(t, Faults{CommitOldTerms: true}); violation == "" {
		t.Error("without the safeguard no violation was detected")
	}
}

// TestLostDiskIsAnotherMember replaces a voter that lost its disk, and then
// crashes a second VM. The remaining members must still form a quorum.
func TestLostDiskIsAnotherMember(t *testing.T) {
	c := newVotingCluster(t, 3, Faults{})
	leader := c.members[0]
	lost := c.members[1]
	old := lost.self.MemberID()
	replacement := c.replaceDisk(lost)
	if replacement.self.MemberID() == old {
		t.Fatal("the member with an empty disk kept its id")
	}
	if err := leader.runner.replica.AddMember(replacement.self); err != nil {
		t.Fatal(err)
	}
	c.processAllReady(leader)
	for range 6 * DefaultHeartbeatTicks {
		c.tick(leader)
		c.deliverAllowed(allMessages)
	}
	members := leader.runner.replica.Members()
	if _, present := leader.runner.replica.member(old); present || countVoters(members) != 3 {
		t.Fatalf("after the replacement the members are %s", describeMembers(members))
	}
	c.crash(leader)
	for range 200 {
		for _, m := range c.members {
			c.tick(m)
		}
		c.deliverAllowed(allMessages)
	}
	if c.leader() == nil {
		t.Fatal("no leader after a second VM crashed right after the replacement")
	}
}

// TestDamagedLogIsRefusedAndTornTailIsTruncated checks that a torn write at the end of the
// log is truncated, and that damage before the end is an error.
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

// TestFailedSyncStopsTheVoter checks that a voter whose disk fails stops and does not
// accept the write.
func TestFailedSyncStopsTheVoter(t *testing.T) {
	c := newVotingCluster(t, 1, Faults{})
	m := c.members[0]
	m.disk.FailSync = func(string) error { return errDiskFull }
	c.write(m, "k", "v")
	c.collectResults()
	if m.runner != nil {
		t.Fatal("the voter runs on after a failed sync")
	}
	for _, o := range c.history {
		if o.end != 0 && !o.failed {
			t.Fatal("a write whose sync failed was accepted")
		}
	}
}

// TestEmptyFolderFormsNoCluster checks that members with empty folders form no cluster
// without a bootstrap.
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
