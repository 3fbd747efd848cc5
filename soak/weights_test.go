// ================================================================
// Staged chunks of weights that turn corrupt before an engine takes them, with the real programs and a fixed
// seed. Every cluster checks at its end that no request ran on such weights.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// maxBadTime is for how long a staged chunk may have been bad when an engine takes it.
	maxBadTime = 3 * time.Second
	// weightsPause is the time between two new versions of the weights, and weightsDeadline that within
	// which each must be in use.
	weightsPause    = 8 * time.Second
	weightsDeadline = 10 * time.Second
	// weightsAfterwards is how long callers go on once all engines serve the last version.
	weightsAfterwards = time.Second
)

// weightFaults describes what happens to the engines' staged chunks and orders.
type weightFaults struct {
	// readTime is how long a read of a staged chunk of the engine with an index takes now, and orderDelay
	// how long an order waits there before it is taken. Nil means no time.
	readTime, orderDelay func(engine int) time.Duration
	// corruptInterval is the time after which another chunk of an engine turns corrupt; 0 if none does.
	corruptInterval time.Duration
}

// startWeightFaults starts the faults of the engine with an index, which has not been started yet.
func (cl *cluster) startWeightFaults(ctx context.Context, engine int, e *standin.Engine) {
	f := cl.config.weightFaults
	if f.readTime != nil {
		e.ChunkReadTime = func() time.Duration { return f.readTime(engine) }
	}
	if f.orderDelay != nil {
		e.OrderDelay = func() time.Duration { return f.orderDelay(engine) }
	}
	if f.corruptInterval > 0 {
		random := rand.New(rand.NewPCG(seed(cl.t), uint64(engine)))
		cl.standins.Go(func() { e.CorruptChunks(ctx, f.corruptInterval, random) })
	}
}

// allowedBadTime returns for how long a chunk that is taken may have been bad. Where no chunk turns
// corrupt, none may be bad.
func (f weightFaults) allowedBadTime() time.Duration {
	if f.corruptInterval > 0 {
		return maxBadTime
	}
	return 0
}

// loadsSummary counts the loads of weights and the requests that began on them.
type loadsSummary struct {
	loads, badLoads, badRequests int
	worst                        standin.WeightsLoad // of all loads, by the time for which a chunk was bad
}

func (cl *cluster) summarizeLoads() (s loadsSummary) {
	limit := cl.config.weightFaults.allowedBadTime()
	for _, l := range cl.runLog.Loads() {
		s.loads++
		if l.BadFor() > limit {
			s.badLoads++
		}
		if l.BadFor() > s.worst.BadFor() {
			s.worst = l
		}
	}
	for _, r := range cl.runLog.RunStarts() {
		if r.BadFor > limit {
			s.badRequests++
		}
	}
	return s
}

// String formats the summary for the output of a test.
func (s loadsSummary) String() string {
	text := fmt.Sprintf("%d orders taken, %d with a chunk that was bad for too long, %d requests begun on these", s.loads, s.badLoads, s.badRequests)
	if s.worst.BadFor() > 0 {
		text += fmt.Sprintf("; worst: chunk %d of version %d at %s, bad for %s", s.worst.Chunk(), s.worst.Version(), s.worst.Instance(), s.worst.BadFor().Round(time.Millisecond))
	}
	return text
}

// checkWeights fails the test if requests ran on weights of which a chunk had been bad for too long when it
// was taken. Where no chunk turns corrupt, such weights must not be loaded either.
func (cl *cluster) checkWeights() {
	s := cl.summarizeLoads()
	if s.badRequests > 0 || s.badLoads > 0 && cl.config.weightFaults.allowedBadTime() == 0 {
		cl.t.Errorf("%s", s)
	}
}

// awaitVersion waits until every engine has served a version, at most for a time from now. It returns for
// each engine that has how long after the naming of the version that was, in ascending order.
func (cl *cluster) awaitVersion(version uint64, limit time.Duration) (reached []time.Duration) {
	const pollInterval = 10 * time.Millisecond
	pending := slices.Clone(cl.engines)
	for deadline := time.Now().Add(limit); len(pending) > 0 && time.Now().Before(deadline); time.Sleep(pollInterval) {
		pending = slices.DeleteFunc(pending, func(e *standin.Engine) bool {
			if e.ServedVersion() != version {
				return false
			}
			reached = append(reached, time.Since(cl.namedAt[version]))
			return true
		})
	}
	return reached
}

// Guards against orders that engines take so long after the verification of the staged chunks that they load
// chunks that have turned corrupt since.
func TestNoRequestRunsOnWeightsThatWereBadWhenTaken(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults weightFaults
	}{
		{"slow reads", weightFaults{readTime: always(120 * time.Millisecond), corruptInterval: 200 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) { testWeightFaults(t, c.faults) })
	}
}

// always returns the same time for all engines.
func always(d time.Duration) func(engine int) time.Duration {
	return func(int) time.Duration { return d }
}

// testWeightFaults names two versions under load, and checks that all engines come to serve the last one and
// callers are served throughout. The cluster checks the weights at its end.
func testWeightFaults(t *testing.T, faults weightFaults) {
	cl := startCluster(t, clusterConfig{
		control: 3, gateways: 2, engines: 6, plain: 1, plainServiceTime: plainServiceTime, rolloutDeadline: weightsDeadline, weightFaults: faults,
	}, logFolder(t))
	end := cl.startKeepAliveCallers(t)
	const first, last = standin.FirstVersion + 1, standin.FirstVersion + 2
	cl.nameVersion(t.Context(), first)
	time.Sleep(weightsPause)
	cl.nameVersion(t.Context(), last)
	reached := cl.awaitVersion(last, longDeadline)
	time.Sleep(weightsAfterwards)
	checkAnswered(t, cl, end())
	fmt.Printf("weights: %s; last version served after %v\n", cl.summarizeLoads(), reached)
	if len(reached) < len(cl.engines) {
		t.Errorf("%d of %d engines came to serve version %d within %s", len(reached), len(cl.engines), last, longDeadline)
	}
}
