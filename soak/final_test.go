//go:build bench

// ================================================================
// Checks that acknowledged configurations survive when control nodes lose their disks,
// alone or at the moment when all control nodes are killed. The test is run by hand:
// make final-faults SEED=1 ROUNDS=14.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// At most maxLostDisks of the controlNodes lose their disks at one moment. The log must
	// have all its replicas again catchUpTime after the last node has started.
	controlNodes = 6
	maxLostDisks = 2
	catchUpTime  = 6 * time.Second
	// recoveryTime is the time within which every node must respond again.
	recoveryTime = 15 * time.Second
	// maxChanges is the largest number of configuration changes before a fault unless
	// TIDEPOST_CHANGES is set. maxExtraRoutes is the largest number of routes that a
	// changed configuration has beyond the default ones.
	maxChanges     = 3
	maxExtraRoutes = 1400
)

// TestAcknowledgedSurvivesLostDisks makes rounds of random changes with a fault right after
// the last acknowledgement, and checks that every node has the acknowledged configuration.
func TestAcknowledgedSurvivesLostDisks(t *testing.T) {
	cl := startCluster(t, clusterConfig{control: controlNodes, gateways: 1, engines: 1, plain: 1, plainServiceTime: 20 * time.Millisecond, rolloutDeadline: longRolloutDeadline, toleratedLosses: maxLostDisks}, logFolder(t))
	time.Sleep(startupWait)
	random := rand.New(rand.NewPCG(seed(t), 2))
	burnCPU(t.Context(), int(envNumber(t, "TIDEPOST_BUSY", 0)))
	changes := int(envNumber(t, "TIDEPOST_CHANGES", maxChanges))
	acknowledged := uint64(1)
	for round := range int(envNumber(t, "TIDEPOST_ROUNDS", 14)) {
		for range 1 + random.IntN(changes) {
			acknowledged++
			cl.must(cl.operator.Reconfigure(t.Context(), engineFigures, standin.ConfigurationChange{Version: acknowledged, ExtraRoutes: random.IntN(maxExtraRoutes)}))
		}
		killAll := random.IntN(3) > 0
		lost := random.Perm(controlNodes)[:1+random.IntN(maxLostDisks)]
		cl.loseDisks(random, lost, killAll)
		started := time.Now()
		took, err := cl.awaitConfiguration(t.Context(), acknowledged)
		fmt.Printf("final: seed %d round %d: disks of %v lost, all killed %t: all nodes returned configuration %d after %.2f s\n", seed(t), round, lost, killAll, acknowledged, took.Seconds())
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		time.Sleep(time.Until(started.Add(catchUpTime)))
	}
}

// loseDisks kills control nodes and starts them again, each within a second. The lost ones
// start with an empty data folder.
func (cl *cluster) loseDisks(random *rand.Rand, lost []int, killAll bool) {
	killed := lost
	if killAll {
		killed = random.Perm(controlNodes)
	}
	var exits []<-chan struct{}
	for _, i := range killed {
		exits = append(exits, cl.programs.requestStop(nameOf("control", i), syscall.SIGKILL))
	}
	for _, exited := range exits {
		<-exited
	}
	for _, i := range lost {
		cl.must(os.RemoveAll(cl.dataFolder(nameOf("control", i))))
	}
	var starts sync.WaitGroup
	for _, i := range killed {
		pause := time.Duration(random.Float64() * float64(time.Second))
		starts.Go(func() {
			time.Sleep(pause)
			cl.startControl(i, false)
		})
	}
	starts.Wait()
}

// awaitConfiguration waits until every control node returns a configuration, and returns how
// long that took. A node that returns an older one is an error at once.
func (cl *cluster) awaitConfiguration(ctx context.Context, acknowledged uint64) (time.Duration, error) {
	start := time.Now()
	for _, node := range cl.controlAddresses() {
		for {
			held, err := cl.operator.ConfigurationVersion(ctx, node)
			if err == nil && held == acknowledged {
				break
			}
			if err == nil {
				return time.Since(start), fmt.Errorf("%s returned configuration %d; %d was acknowledged", node, held, acknowledged)
			}
			if time.Since(start) > recoveryTime {
				return time.Since(start), fmt.Errorf("%s: %w", node, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(start), nil
}
