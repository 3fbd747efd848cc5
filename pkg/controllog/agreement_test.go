// ================================================================
// Tests of the control log under random faults: committed entries stay committed
// and the history is linearizable. With a safeguard disabled the same check must
// fail.
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

// TestMain sets a fixed seed for rapid unless a soak sets one.
func TestMain(m *testing.M) {
	if err := fixedseed.Set(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

const stepsPerRun = 1200

// faultCount is the number of faults injected in a run.
type faultCount int

// runRandomSteps runs random steps: mostly ticks and messages, some client operations,
// and a few changes of members and faults.
func (c *simulatedCluster) runRandomSteps(steps int) faultCount {
	faults := faultCount(0)
	if err := c.members[0].runner.replica.Bootstrap(c.members[0].self); err != nil {
		c.fail("bootstrap: %v", err)
	}
	c.processAllReady(c.members[0])
	for range steps {
		c.step++
		m := c.members[c.random.IntN(len(c.members))]
		target := c.chooseTarget(m)
		switch p := c.random.IntN(1000); {
		case p < 250:
			c.tick(m)
		case p < 700 && len(c.inFlight) > 0:
			c.deliver(c.random.IntN(min(len(c.inFlight), 6)), c.random.IntN(20) == 0)
		case p < 800 && c.running(target):
			c.write(target, c.randomKey(), fmt.Sprintf("v%d", c.step))
		case p < 880 && c.running(target):
			c.read(target, c.randomKey())
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

// chooseTarget returns the member that a client sends a request to: a leader in most
// cases, and else m, as for a client that does not know about a change of leader.
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

// changeMembers has the leader add a VM that is not a member or, in a tenth of the
// other cases, remove a member.
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
		removed := c.members[c.random.IntN(len(c.members))]
		_ = leader.runner.replica.RemoveMember(removed.self.MemberID())
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
		m.paused = !m.paused
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
		// The process is killed at its next write, before the sync.
		m.disk.FailSync = func(string) error { return errKilled }
	default:
		c.blocked = map[[2]vm.ID]bool{}
		return 0
	}
	return 1
}

// canReplaceDisk limits the loss of disks to one at a time, since the log does not
// tolerate more.
func (c *simulatedCluster) canReplaceDisk(m *simulatedMember) bool {
	leader := c.leader()
	if leader == nil || leader == m {
		return false
	}
	members := leader.runner.replica.Members()
	for _, v := range members {
		member := c.currentMember(v.ID())
		if member == nil || member.self.MemberID() != v.MemberID() || v.learner {
			return false
		}
	}
	return len(members) >= 3 && leader.runner.replica.checkMemberChange() == nil
}

// runRandomHistory runs a random history and returns the violation found, or "".
func runRandomHistory(seed uint64, faults Faults, skipSync bool) (string, faultCount, *simulatedCluster) {
	c := newSimulatedCluster(rand.New(rand.NewPCG(seed, 1)), 3+int(seed%3), faults, skipSync)
	// Few histories reveal a disabled safeguard, and fewer do when members crash more
	// often.
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
		violation, n, c := runRandomHistory(seed, Faults{}, false)
		if violation != "" {
			rt.Fatalf("seed %d: %s", seed, violation)
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
		t.Fatal("no write was accepted, so the run checks nothing")
	}
}

// seededFaults are the disabled safeguards that random runs must detect. Those
// that need a rare order of events are in scripted_test.go.
var seededFaults = []struct {
	name     string
	faults   Faults
	skipSync bool
}{
	{"unconfirmed_reads", Faults{UnconfirmedReads: true}, false},
	{"answer_before_sync", Faults{}, true},
}

// maxSeeds bounds the search for a history that reveals a seeded fault.
const maxSeeds = 3000

func TestSeededFaultsAreCaught(t *testing.T) {
	for _, f := range seededFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSeeds) {
				if violation, _, _ := runRandomHistory(seed, f.faults, f.skipSync); violation != "" {
					t.Logf("detected with seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("%d runs did not detect the fault", maxSeeds)
		})
	}
}
