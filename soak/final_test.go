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
	lostDisks    = 2
	caughtUp     = 6 * time.Second
	// recovered is the time in which every node has to answer again.
	recovered = 15 * time.Second
	// mostChanges go out in a row before a fault unless the run says otherwise, and mostMore is how many routes
	// each has at the most beyond the usual ones.
	mostChanges = 3
	mostMore    = 1400
)

// TestAcknowledgedSurvivesLostDisks draws rounds of changes with a fault right after
// the last acknowledgement, and asks every node for what was acknowledged.
func TestAcknowledgedSurvivesLostDisks(t *testing.T) {
	w := startWorld(t, size{control: controlNodes, gateways: 1, engines: 1, plain: 1, plainTakes: 20 * time.Millisecond, within: rollWithin, tolerate: lostDisks}, logFolder(t))
	time.Sleep(worldIsUp)
	random := rand.New(rand.NewPCG(seed(t), 2))
	beBusy(t.Context(), int(number(t, "TIDEPOST_BUSY", 0)))
	changes := int(number(t, "TIDEPOST_CHANGES", mostChanges))
	acknowledged := uint64(1)
	for round := range int(number(t, "TIDEPOST_ROUNDS", 14)) {
		for range 1 + random.IntN(changes) {
			acknowledged++
			w.must(w.operator.Reconfigure(t.Context(), figures, standin.ConfigurationChange{Version: acknowledged, ExtraRoutes: random.IntN(mostMore)}))
		}
		all := random.IntN(3) > 0
		lost := random.Perm(controlNodes)[:1+random.IntN(lostDisks)]
		w.loseDisks(random, lost, all)
		started := time.Now()
		took, err := w.allAnswer(t.Context(), acknowledged)
		fmt.Printf("final: seed %d round %d: disks of %v lost, all killed %t: %d answered by all after %.2f s\n", seed(t), round, lost, all, acknowledged, took.Seconds())
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		time.Sleep(time.Until(started.Add(caughtUp)))
	}
}

// loseDisks kills control nodes and starts them again, each within a second, some of
// them with an empty data folder.
func (w *world) loseDisks(random *rand.Rand, lost []int, all bool) {
	killed := lost
	if all {
		killed = random.Perm(controlNodes)
	}
	var gone []<-chan struct{}
	for _, i := range killed {
		gone = append(gone, w.programs.ask(nameOf("control", i), syscall.SIGKILL))
	}
	for _, over := range gone {
		<-over
	}
	for _, i := range lost {
		w.must(os.RemoveAll(w.dataOf(nameOf("control", i))))
	}
	var starts sync.WaitGroup
	for _, i := range killed {
		pause := time.Duration(random.Float64() * float64(time.Second))
		starts.Go(func() {
			time.Sleep(pause)
			w.startControl(i, false)
		})
	}
	starts.Wait()
}

// allAnswer waits until every control node answers a configuration, and returns how long
// that took. A node that answers an older one is an error at once.
func (w *world) allAnswer(ctx context.Context, acknowledged uint64) (time.Duration, error) {
	began := time.Now()
	for _, node := range w.controlCalls() {
		for {
			held, err := w.operator.ConfigurationVersion(ctx, node)
			if err == nil && held == acknowledged {
				break
			}
			if err == nil {
				return time.Since(began), fmt.Errorf("%s answers %d; %d was acknowledged", node, held, acknowledged)
			}
			if time.Since(began) > recovered {
				return time.Since(began), fmt.Errorf("%s: %w", node, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(began), nil
}
