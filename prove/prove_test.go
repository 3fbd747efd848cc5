// ================================================================
// The frame of a proof: random runs that hold, and one seeded fault that must
// be noticed.
// ================================================================

package prove

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/tidepost/tidepost/internal/bubble"
	"github.com/tidepost/tidepost/internal/fixedseed"
)

// TestMain fixes rapid's seed, unless a soak names one.
func TestMain(m *testing.M) {
	if err := fixedseed.Set(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", runsPerProof)
	}
	os.Exit(m.Run())
}

// runsPerProof is how many random runs each proof makes in CI.
const runsPerProof = "12"

// maxSeededRuns bounds the runs in which a seeded fault has to be noticed. The one that is
// hardest to notice shows in 9 to 11 of 40 seeds, and not in the same ones each time,
// since goroutines take turns as they like: 20 runs miss it once in some hundred times,
// 80 once in a hundred million.
const maxSeededRuns = 80

// proof is one promise with its scenario.
type proof struct {
	number int
	name   string
	// scenario plays one random run and reports to the ledger.
	scenario func(cl *cluster)
	// seededFaults leaves a safeguard out, by name.
	seededFaults map[string]func(cl *cluster)
}

// runOnce makes one run and returns what was violated.
func (p proof) runOnce(t *testing.T, seed uint64, seedFault func(cl *cluster)) (violations []string, faults int) {
	bubble.Run(t, func(t *testing.T) {
		cl := newCluster(t, seed)
		defer cl.stop()
		if seedFault != nil {
			seedFault(cl)
		}
		cl.start()
		p.scenario(cl)
		cl.record.mu.Lock()
		defer cl.record.mu.Unlock()
		violations, faults = cl.record.violations, cl.faultCount
	})
	return violations, faults
}

// run proves the promise and prints its line.
func (p proof) run(t *testing.T) {
	runs, faults := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<32).Draw(rt, "seed")
		violations, runFaults := p.runOnce(t, seed, nil)
		if len(violations) > 0 {
			rt.Fatalf("seed %d: %s", seed, strings.Join(violations, "; "))
		}
		runs++
		faults += runFaults
	})
	for name, seedFault := range p.seededFaults {
		if !p.detects(t, seedFault) {
			t.Fatalf("prove %d %s: %d runs did not notice the seeded fault %s", p.number, p.name, maxSeededRuns, name)
		}
	}
	if t.Failed() {
		return
	}
	fmt.Printf("prove %d %s: held runs=%d faults=%d seeded_fault=caught\n", p.number, p.name, runs, faults)
}

func (p proof) detects(t *testing.T, seedFault func(cl *cluster)) bool {
	for seed := range uint64(maxSeededRuns) {
		if violations, _ := p.runOnce(t, seed, seedFault); len(violations) > 0 {
			t.Logf("seeded fault noticed by seed %d: %s", seed, violations[0])
			return true
		}
	}
	return false
}
