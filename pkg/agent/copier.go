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
	// reportEvery is the time between reports to the coordinator when nothing
	// has happened that it waits for.
	reportEvery = time.Second
	// doneReportEvery is the time between those of a whole copy, which others
	// only need to find it.
	doneReportEvery = 4 * time.Second
	// firstReports come sooner, so that a burst starts at once.
	firstReportEvery = 100 * time.Millisecond
	firstReports     = 10
	// openRetry is the time before a copy is opened again after a disk error.
	openRetry = 5 * time.Second
	// fetchTimeout bounds one fetch of a chunk.
	fetchTimeout = 60 * time.Second
	// corruptPause follows a chunk of the origin that does not verify.
	corruptPause = 500 * time.Millisecond
)

// copier brings one copy to this VM.
type copier struct {
	agent      *Agent
	assignment configstate.Assignment
	copy       *weights.Copy
	swarm      *spread.Swarm
	events     chan func(now time.Time)
	cancels    map[spread.Fetch]context.CancelFunc
	listening  map[vm.ID]context.CancelFunc
	drawn      []uint32
	reporting  bool
	// reportAgain asks for another report once the one under way is answered.
	reportAgain bool
	reports     int
}

// copyLoop brings a copy here and goes on serving it to others, until the
// context ends.
func (a *Agent) copyLoop(ctx context.Context, assignment configstate.Assignment) {
	for ctx.Err() == nil {
		err := a.copyOnce(ctx, assignment)
		if err == nil || ctx.Err() != nil {
			return
		}
		_ = level.Error(a.process.Logger).Log("msg", "copy failed; trying again", "digest", assignment.Digest.Short(), "err", err)
		a.copies.setPhase(assignment.Digest, contract.PhaseFailed)
		select {
		case <-time.After(openRetry):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) copyOnce(ctx context.Context, assignment configstate.Assignment) error {
	c, err := a.store.Open(assignment.Manifest)
	if err != nil {
		return err
	}
	held := c.Held()
	a.copies.progress(assignment.Digest, held.Count())
	cp := &copier{
		agent:      a,
		assignment: assignment,
		copy:       c,
		swarm: spread.NewSwarm(spread.SwarmConfig{
			Total:  held.Total(),
			Random: rand.New(rand.NewPCG(rand.Uint64(), a.process.Identity.Incarnation())),
		}, held),
		events:    make(chan func(time.Time), eventBuffer),
		cancels:   map[spread.Fetch]context.CancelFunc{},
		listening: map[vm.ID]context.CancelFunc{},
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
			c.stopListening()
			if err := c.copy.Complete(); err != nil {
				return err
			}
			completed = true
			c.agent.copies.verified(c.assignment.Digest)
			c.agent.loader.wake()
			c.report(ctx)
		}
		c.startFetches(ctx)
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.events:
			f(time.Now())
			c.drainEvents()
		case <-timer.C:
			c.onTimer(ctx)
			timer.Reset(c.reportInterval())
		}
	}
}

// drainEvents takes what else waits, so that a burst of announcements makes
// one choice and not one each.
func (c *copier) drainEvents() {
	for {
		select {
		case f := <-c.events:
			f(time.Now())
		default:
			return
		}
	}
}

func (c *copier) reportInterval() time.Duration {
	switch {
	case c.swarm.Done():
		return doneReportEvery
	case c.reports < firstReports:
		return firstReportEvery
	default:
		return reportEvery
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
	if c.reporting {
		// What happened since it was sent must not wait for the next tick: a
		// finished lease stands for the next one.
		c.reportAgain = true
		return
	}
	c.reporting = true
	c.reports++
	report := contract.NewSpreadReport(c.agent.process.Identity, c.assignment.Digest,
		c.swarm.Held().Bytes(), c.drawn, !c.swarm.Done(), spread.NeighbourHash(c.swarm.Neighbours()))
	c.drawn = nil
	go func() {
		plan, ok := c.agent.askCoordinator(ctx, report)
		c.post(ctx, func(time.Time) {
			c.reporting = false
			if ok {
				c.takePlan(ctx, plan)
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

// askCoordinator asks the entries in the order that all agents of the domain
// share for this digest; the first that answers is the coordinator.
func (a *Agent) askCoordinator(ctx context.Context, r contract.SpreadReport) (contract.SpreadPlan, bool) {
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

func (c *copier) takePlan(ctx context.Context, plan contract.SpreadPlan) {
	if c.swarm.Done() {
		return
	}
	if !plan.Unchanged() {
		c.swarm.SetNeighbours(plan.Peers())
	}
	c.listen(ctx, c.swarm.Neighbours())
	for _, chunk := range plan.OriginChunks() {
		c.swarm.Lease(int(chunk), vm.Identity{})
	}
	for _, i := range plan.Imports() {
		c.swarm.Lease(int(i.Index()), i.Holder())
	}
}
