// ================================================================
// The copier does the input and output for a spread.Swarm, which decides what to fetch.
// One goroutine owns the swarm. Results of fetches, neighbours' announcements and the
// coordinator's plans reach it as functions over a channel.
// ================================================================

package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/spread"
	"github.com/tidepost/tidepost/pkg/vm"
	"github.com/tidepost/tidepost/pkg/weights"
)

const (
	// reportInterval is the interval between reports to the coordinator. The end of a
	// leased fetch is reported at once.
	reportInterval = time.Second
	// doneReportInterval is the interval between reports of a complete copy, which only
	// serve to let others find it.
	doneReportInterval = 4 * time.Second
	// The first initialReports reports are sent at initialReportInterval, so that
	// copies that start on many VMs at once get plans early.
	initialReportInterval = 100 * time.Millisecond
	initialReports        = 10
	// copyRetryDelay is the delay before a copy is opened again after a disk error.
	copyRetryDelay = 5 * time.Second
	// fetchTimeout bounds one fetch of a chunk.
	fetchTimeout = 60 * time.Second
	// corruptChunkDelay is the delay after a chunk from the origin failed verification.
	corruptChunkDelay = 500 * time.Millisecond
)

// copier fetches one copy to this VM. Its mutable state belongs to the goroutine of run.
type copier struct {
	agent          *Agent
	assignment     configstate.Assignment
	copy           *weights.Copy
	swarm          *spread.Swarm
	events         chan func(now time.Time)
	cancels        map[spread.Fetch]context.CancelFunc
	subscriptions  map[vm.ID]context.CancelFunc
	endedLeases    []uint32
	reportInFlight bool
	// reportAgain requests another report after the response to the one in flight.
	reportAgain bool
	reportsSent int
}

// copyWithRetries fetches a copy and then continues to report it, until the context
// ends. It starts again after an error.
func (a *Agent) copyWithRetries(ctx context.Context, assignment configstate.Assignment) {
	for ctx.Err() == nil {
		err := a.runCopier(ctx, assignment)
		if err == nil || ctx.Err() != nil {
			return
		}
		_ = level.Error(a.process.Logger).Log("msg", "copy failed; retrying", "digest", assignment.Digest.Short(), "err", err)
		a.copies.markFailed(assignment.Digest)
		select {
		case <-time.After(copyRetryDelay):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) runCopier(ctx context.Context, assignment configstate.Assignment) error {
	c, err := a.store.Open(assignment.Manifest)
	if err != nil {
		return err
	}
	held := c.Held()
	a.copies.setVerifiedChunks(assignment.Digest, held.Count())
	cp := &copier{
		agent:      a,
		assignment: assignment,
		copy:       c,
		swarm: spread.NewSwarm(spread.SwarmConfig{
			Total:  held.Total(),
			Random: rand.New(rand.NewPCG(rand.Uint64(), a.process.Identity.Incarnation())),
		}, held),
		events:        make(chan func(time.Time), eventBuffer),
		cancels:       map[spread.Fetch]context.CancelFunc{},
		subscriptions: map[vm.ID]context.CancelFunc{},
	}
	return cp.run(ctx)
}

// eventBuffer is the capacity of a copier's event channel.
const eventBuffer = 256

// run fetches until the copy has all chunks, completes it on disk, and then continues
// to report it so that others find it. It fails if the disk damages the complete copy.
func (c *copier) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var damaged <-chan struct{} // nil until the copy is complete
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if c.swarm.Done() && damaged == nil {
			c.cancelSubscriptions()
			if err := c.copy.Complete(); err != nil {
				return err
			}
			damaged = c.copy.Damaged()
			c.agent.copies.markVerified(c.assignment.Digest)
			c.agent.loader.wake()
			c.report(ctx)
		}
		c.startFetches(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-damaged:
			return failure.New(failure.CorruptChunk, "the disk damaged the complete copy")
		case f := <-c.events:
			f(time.Now())
			c.handlePendingEvents()
		case <-timer.C:
			c.onTimer(ctx)
			timer.Reset(c.nextReportDelay())
		}
	}
}

// handlePendingEvents runs all queued events, so that the next fetches are chosen once
// for a burst of announcements and not once for each.
func (c *copier) handlePendingEvents() {
	for {
		select {
		case f := <-c.events:
			f(time.Now())
		default:
			return
		}
	}
}

func (c *copier) nextReportDelay() time.Duration {
	switch {
	case c.swarm.Done():
		return doneReportInterval
	case c.reportsSent < initialReports:
		return initialReportInterval
	default:
		return reportInterval
	}
}

func (c *copier) onTimer(ctx context.Context) {
	for _, f := range c.swarm.DropStalled(time.Now()) {
		c.cancel(f)
	}
	c.report(ctx)
}

// post queues an event for the copier's goroutine.
func (c *copier) post(ctx context.Context, f func(now time.Time)) {
	select {
	case c.events <- f:
	case <-ctx.Done():
	}
}

// ----------------------------------------------------------------
// Reports to the coordinator

// report sends the coordinator the chunks held and the leases that ended, and applies
// the plan that it returns. It does not block.
func (c *copier) report(ctx context.Context) {
	if c.reportInFlight {
		// Changes since that report must not wait for the next interval: the
		// coordinator grants a new lease when one has ended.
		c.reportAgain = true
		return
	}
	c.reportInFlight = true
	c.reportsSent++
	report := contract.NewSpreadReport(c.agent.process.Identity, c.assignment.Digest,
		c.swarm.Held().Bytes(), c.endedLeases, !c.swarm.Done(), spread.NeighbourHash(c.swarm.Neighbours()))
	c.endedLeases = nil
	go func() {
		plan, ok := c.agent.sendReport(ctx, report)
		c.post(ctx, func(time.Time) {
			c.reportInFlight = false
			if ok {
				c.applyPlan(ctx, plan)
			}
			if c.reportAgain {
				c.reportAgain = false
				c.report(ctx)
			}
		})
	}()
}

// reportTimeout bounds one report.
const reportTimeout = 3 * time.Second

// sendReport tries the entries in the order that all agents of the failure domain
// share for this digest. The first one that responds is the coordinator.
func (a *Agent) sendReport(ctx context.Context, r contract.SpreadReport) (contract.SpreadPlan, bool) {
	for _, address := range a.rankedEntries(r.Digest().String()) {
		callContext, cancel := context.WithTimeout(ctx, reportTimeout)
		var plan contract.SpreadPlan
		err := a.process.Endpoint.Call(callContext, address, link.KindSpread, r, &plan)
		cancel()
		if err == nil {
			return plan, true
		}
	}
	return contract.SpreadPlan{}, false
}

func (c *copier) applyPlan(ctx context.Context, plan contract.SpreadPlan) {
	if c.swarm.Done() {
		return
	}
	if !plan.Unchanged() {
		c.swarm.SetNeighbours(plan.Peers())
	}
	c.updateSubscriptions(ctx, c.swarm.Neighbours())
	for _, chunk := range plan.OriginChunks() {
		c.swarm.Lease(int(chunk), vm.Identity{})
	}
	for _, i := range plan.Imports() {
		c.swarm.Lease(int(i.Index()), i.Holder())
	}
}
