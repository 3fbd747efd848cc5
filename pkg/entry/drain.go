// ================================================================
// Leaving: /readyz turns first, callers are taken for a while longer since
// the balancer lags, then what is in flight ends, and the process goes.
// ================================================================

package entry

import (
	"context"
	"os"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
)

// drainPollInterval is the time between looks at what is still in flight.
const drainPollInterval = 20 * time.Millisecond

// serveDrain drains this entry, or passes the word on to an agent.
func (e *Entry) serveDrain(ctx context.Context, s *link.Stream) error {
	var d contract.Drain
	if err := s.Receive(&d); err != nil {
		return err
	}
	if d.VM() == "" || d.VM() == e.process.Identity.ID() {
		e.beginDrain(d.Reason())
		return s.Send(contract.NewAcknowledgement("draining"))
	}
	agent, ok := e.agents.Find(d.VM())
	if !ok {
		return failure.New(failure.UnknownObject, "VM %q is not in the failure domain of %s", d.VM(), e.process.Identity.ID())
	}
	// This entry stops at once, whether or not the agent can be reached.
	e.agents.MarkLeaving(d.VM(), d.Reason())
	var a contract.Acknowledgement
	callContext, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err := e.process.Endpoint.Call(callContext, agent.LastHeartbeat.From().Address(), link.KindDrain, d, &a); err != nil {
		return err
	}
	return s.Send(a)
}

func (e *Entry) beginDrain(reason string) {
	if !e.draining.Swap(true) {
		e.drain.Begin(reason)
	}
}

// waitDrain returns once the entry may go.
func (e *Entry) waitDrain(ctx context.Context, signals <-chan os.Signal) error {
	if !e.drain.Await(ctx, signals, e.beginDrain) || e.hooks.Faults.SkipDrainWait || !sleep(ctx, e.settings.DrainNotice()) {
		return nil
	}
	deadline := time.Now().Add(e.settings.DrainLimit())
	for e.inFlight.Load() > 0 && time.Now().Before(deadline) {
		if !sleep(ctx, drainPollInterval) {
			return nil
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
