//go:build bench

// ================================================================
// What is left of acknowledged configurations when control nodes lose their disks,
// alone or in the moment in which all processes die. By hand: make final-faults
// SEED=1 ROUNDS=14.
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
	// controlNodes lose two disks at most at one moment, and are to be whole again
	// caughtUp after the last of them has started.
	controlNodes = 6
	maxLostDisks = 2
	catchUpTime  = 6 * time.Second
	// recoveryTime is the time in which every node has to answer again.
	recoveryTime = 15 * time.Second
	// maxChanges go out in a row before a fault unless the run says otherwise, and mostMore is how many routes
	// each has at the most beyond the usual ones.
	maxChanges     = 3
	maxExtraRoutes = 1400
)

// TestAcknowledgedSurvivesLostDisks draws rounds of changes with a fault right after
// the last acknowledgement, and asks every node for what was acknowledged.
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
		all := random.IntN(3) > 0
		lost := random.Perm(controlNodes)[:1+random.IntN(maxLostDisks)]
		cl.loseDisks(random, lost, all)
		started := time.Now()
		took, err := cl.awaitConfiguration(t.Context(), acknowledged)
		fmt.Printf("final: seed %d round %d: disks of %v lost, all killed %t: %d answered by all after %.2f s\n", seed(t), round, lost, all, acknowledged, took.Seconds())
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		time.Sleep(time.Until(started.Add(catchUpTime)))
	}
}

// loseDisks kills control nodes and starts them again, each within a second, some of
// them with an empty data folder.
func (cl *cluster) loseDisks(random *rand.Rand, lost []int, all bool) {
	killed := lost
	if all {
		killed = random.Perm(controlNodes)
	}
	var gone []<-chan struct{}
	for _, i := range killed {
		gone = append(gone, cl.programs.requestStop(nameOf("control", i), syscall.SIGKILL))
	}
	for _, over := range gone {
		<-over
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

// awaitConfiguration waits until every control node answers a configuration, and returns how long
// that took. A node that answers an older one is an error at once.
func (cl *cluster) awaitConfiguration(ctx context.Context, acknowledged uint64) (time.Duration, error) {
	began := time.Now()
	for _, node := range cl.controlAddresses() {
		for {
			held, err := cl.operator.ConfigurationVersion(ctx, node)
			if err == nil && held == acknowledged {
				break
			}
			if err == nil {
				return time.Since(began), fmt.Errorf("%s answers %d; %d was acknowledged", node, held, acknowledged)
			}
			if time.Since(began) > recoveryTime {
				return time.Since(began), fmt.Errorf("%s: %w", node, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(began), nil
}
