// ================================================================
// Staged chunks of weights that turn corrupt before an engine takes them. Every cluster checks at its end that
// no request ran on such weights.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// maxBadTime is for how long a staged chunk may have been bad when an engine takes it.
const maxBadTime = 3 * time.Second

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
