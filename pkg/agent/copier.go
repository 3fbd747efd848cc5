// ================================================================
// The copier: the shell around a spread.Swarm. One goroutine owns the swarm;
// fetches, neighbours' announcements and plans come to it as functions over a
// channel.
// ================================================================

package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/spread"
	"github.com/tidepost/tidepost/pkg/vm"
	"github.com/tidepost/tidepost/pkg/weights"
)

const (
	// reportInterval is the time between reports to the coordinator when nothing
	// has happened that it waits for.
	reportInterval = time.Second
	// doneReportInterval is the time between those of a whole copy, which others
	// only need to find it.
	doneReportInterval = 4 * time.Second
	// firstReports come sooner, so that a burst starts at once.
	initialReportInterval = 100 * time.Millisecond
	initialReports        = 10
	// copyRetryDelay is the time before a copy is opened again after a disk error.
	copyRetryDelay = 5 * time.Second
	// fetchTimeout bounds one fetch of a chunk.
	fetchTimeout = 60 * time.Second
	// corruptChunkDelay follows a chunk of the origin that does not verify.
	corruptChunkDelay = 500 * time.Millisecond
)

// copier brings one copy to this VM.
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
	// reportAgain asks for another report once the one under way is answered.
	reportAgain bool
	reportsSent int
}

// copyWithRetries brings a copy here and goes on serving it to others, until the
// context ends.
func (a *Agent) copyWithRetries(ctx context.Context, assignment configstate.Assignment) {
	for ctx.Err() == nil {
		err := a.runCopier(ctx, assignment)
		if err == nil || ctx.Err() != nil {
			return
		}
		_ = level.Error(a.process.Logger).Log("msg", "copy failed; trying again", "digest", assignment.Digest.Short(), "err", err)
		a.copies.setPhase(assignment.Digest, contract.PhaseFailed)
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

// eventBuffer is how many events may wait for the copier's goroutine.
const eventBuffer = 256

// run fetches until the copy is whole, completes it, and then keeps reporting
// so that others find it.
func (c *copier) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	completed := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if c.swarm.Done() && !completed {
			c.cancelSubscriptions()
			if err := c.copy.Complete(); err != nil {
				return err
			}
			completed = true
			c.agent.copies.markVerified(c.assignment.Digest)
			c.agent.loader.wake()
			c.report(ctx)
		}
		c.startFetches(ctx)
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.events:
			f(time.Now())
			c.handlePendingEvents()
		case <-timer.C:
			c.onTimer(ctx)
			timer.Reset(c.nextReportDelay())
		}
	}
}

// handlePendingEvents takes what else waits, so that a burst of announcements makes
// one choice and not one each.
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

// post hands an event to the copier's goroutine.
func (c *copier) post(ctx context.Context, f func(now time.Time)) {
	select {
	case c.events <- f:
	case <-ctx.Done():
	}
}

// ----------------------------------------------------------------
// The coordinator

// report tells the coordinator what is here and takes its plan.
func (c *copier) report(ctx context.Context) {
	if c.reportInFlight {
		// What happened since it was sent must not wait for the next tick: a
		// finished lease stands for the next one.
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

// sendReport asks the entries in the order that all agents of the domain
// share for this digest; the first that answers is the coordinator.
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
