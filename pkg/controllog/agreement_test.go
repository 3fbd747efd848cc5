// ================================================================
// The control log under random faults: what is agreed stays agreed, and each
// safeguard, when it is left out, is missed.
// ================================================================

package controllog

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/tidepost/tidepost/internal/fixedseed"
	"github.com/tidepost/tidepost/pkg/vm"
)

// TestMain fixes rapid's seed, unless a soak names one.
func TestMain(m *testing.M) {
	if err := fixedseed.Set(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

const stepsPerRun = 1200

// faultCount counts the faults of a run, for the report.
type faultCount int

// runRandomSteps makes random steps: mostly time and messages, now and then a fault.
func (c *simulatedCluster) runRandomSteps(steps int) faultCount {
	faults := faultCount(0)
	if err := c.members[0].runner.replica.Bootstrap(c.members[0].self); err != nil {
		c.fail("bootstrap: %v", err)
	}
	c.processAllReady(c.members[0])
	for range steps {
		c.step++
		m := c.members[c.random.IntN(len(c.members))]
		asked := c.chooseTarget(m)
		switch p := c.random.IntN(1000); {
		case p < 250:
			c.tick(m)
		case p < 700 && len(c.inFlight) > 0:
			c.deliver(c.random.IntN(min(len(c.inFlight), 6)), c.random.IntN(20) == 0)
		case p < 800 && c.running(asked):
			c.write(asked, c.randomKey(), fmt.Sprintf("v%d", c.step))
		case p < 880 && c.running(asked):
			c.read(asked, c.randomKey())
		case p < 920:
			c.changeMembers()
		default:
			faults += c.injectFault(m, p)
		}
		c.collectResults()
		if c.violation != "" {
			break
		}
	}
	return faults
}

// chooseTarget returns whom a client asks: mostly some leader, at times anybody, as
// one does that has not heard of a change of the lead.
func (c *simulatedCluster) chooseTarget(m *simulatedMember) *simulatedMember {
	if c.random.IntN(4) == 0 {
		return m
	}
	for _, other := range c.members {
		if c.running(other) && other.runner.replica.Role() == Leader && c.random.IntN(2) == 0 {
			return other
		}
	}
	return m
}

func (c *simulatedCluster) randomKey() string { return fmt.Sprintf("k%d", c.random.IntN(3)) }

// changeMembers has the leader add a VM that is no member, or now and then
// remove one.
func (c *simulatedCluster) changeMembers() {
	leader := c.leader()
	if leader == nil {
		return
	}
	for _, m := range c.members {
		if _, ok := leader.runner.replica.member(m.self.MemberID()); !ok {
			_ = leader.runner.replica.AddMember(m.self)
			c.processAllReady(leader)
			return
		}
	}
	if c.random.IntN(10) == 0 {
		victim := c.members[c.random.IntN(len(c.members))]
		_ = leader.runner.replica.RemoveMember(victim.self.MemberID())
		c.processAllReady(leader)
	}
}

func (c *simulatedCluster) injectFault(m *simulatedMember, p int) faultCount {
	switch {
	case p < 935:
		c.crash(m)
	case p < 960:
		if m.runner == nil {
			c.start(m)
		}
		return 0
	case p < 970:
		m.frozen = !m.frozen
	case p < 985:
		other := c.members[c.random.IntN(len(c.members))]
		pair := [2]vm.ID{m.self.ID(), other.self.ID()}
		c.blocked[pair] = !c.blocked[pair]
	case p < 992 && len(c.inFlight) > 0:
		i := c.random.IntN(len(c.inFlight))
		c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	case p < 994 && c.canReplaceDisk(m):
		c.replaceDisk(m)
	case p < 997 && c.killBeforeSyncs && m.runner != nil:
		// Its process dies at its next write, before the sync.
		m.disk.FailSync = func(string) error { return errKilled }
	default:
		c.blocked = map[[2]vm.ID]bool{}
		return 0
	}
	return 1
}

// canReplaceDisk allows the loss of one disk at a time: the log promises no more.
func (c *simulatedCluster) canReplaceDisk(m *simulatedMember) bool {
	leader := c.leader()
	if leader == nil || leader == m {
		return false
	}
	voters := leader.runner.replica.Members()
	for _, v := range voters {
		member := c.currentMember(v.ID())
		if member == nil || member.self.MemberID() != v.MemberID() || v.learner {
			return false
		}
	}
	return len(voters) >= 3 && leader.runner.replica.checkMemberChange() == nil
}

// runRandomHistory runs one random history and returns what is wrong with it.
func runRandomHistory(seed uint64, faults Faults, skipSync bool) (string, faultCount, *simulatedCluster) {
	c := newSimulatedCluster(rand.New(rand.NewPCG(seed, 1)), 3+int(seed%3), faults, skipSync)
	// A seeded fault shows in few histories, and members that die more often leave fewer.
	c.killBeforeSyncs = faults == Faults{} && !skipSync
	n := c.runRandomSteps(stepsPerRun)
	if c.violation == "" {
		c.recoverAll()
	}
	if c.violation == "" && !c.linearizable() {
		c.violation = "the history is not linearizable"
	}
	return c.violation, n, c
}

func TestAgreementHoldsUnderRandomFaults(t *testing.T) {
	total, writes := faultCount(0), 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		broken, n, c := runRandomHistory(seed, Faults{}, false)
		if broken != "" {
			rt.Fatalf("seed %d: %s", seed, broken)
		}
		total += n
		for _, o := range c.history {
			if !o.read && o.end != 0 && !o.failed {
				writes++
			}
		}
	})
	t.Logf("faults=%d accepted_writes=%d", total, writes)
	if writes == 0 {
		t.Fatal("no write was ever accepted: the run shows nothing")
	}
}

// seededFaults are the safeguards that a random run must be seen to miss. The
// ones that take a rare order of events are in scripted_test.go.
var seededFaults = []struct {
	name     string
	faults   Faults
	skipSync bool
}{
	{"unconfirmed_reads", Faults{UnconfirmedReads: true}, false},
	{"answer_before_sync", Faults{}, true},
}

// maxSeeds bounds the search for a history that shows a seeded fault.
const maxSeeds = 3000

func TestSeededFaultsAreCaught(t *testing.T) {
	for _, f := range seededFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSeeds) {
				if broken, _, _ := runRandomHistory(seed, f.faults, f.skipSync); broken != "" {
					t.Logf("caught by seed %d: %s", seed, broken)
					return
				}
			}
			t.Fatalf("%d runs did not notice the fault", maxSeeds)
		})
	}
}
