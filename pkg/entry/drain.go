// ================================================================
// Draining: /readyz fails first, while the entry still accepts callers for the time
// drain.notice, because the load balancer reacts late. Then the entry waits for the
// requests in flight, at most for drain.limit, and the process exits.
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

// drainPollInterval is the interval between checks for requests in flight.
const drainPollInterval = 20 * time.Millisecond

// serveDrain drains this entry, or forwards the request to an agent.
func (e *Entry) serveDrain(ctx context.Context, s *link.Stream) error {
	var d contract.DrainRequest
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
	// This entry stops sending to the agent at once, even if the agent is unreachable.
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

// waitDrain returns when the process may exit.
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

// sleep waits for d and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
