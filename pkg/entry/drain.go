// ================================================================
// Leaving: /readyz turns first, callers are taken for a while longer since
// the balancer lags, then what is in flight ends, and the process goes.
// ================================================================

package entry

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
)

// idlePoll is the time between looks at what is still in flight.
const idlePoll = 20 * time.Millisecond

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
	if err := e.process.Endpoint.Call(callContext, agent.Beat.From().Address(), link.KindDrain, d, &a); err != nil {
		return err
	}
	return s.Send(a)
}

func (e *Entry) beginDrain(reason string) {
	if e.draining.Swap(true) {
		return
	}
	e.process.Recorder.Record(event.ProcessDraining, string(e.process.Identity.ID()), reason)
	_ = level.Info(e.process.Logger).Log("msg", "draining", "reason", reason)
	e.drained <- reason
}

// waitDrain returns once the entry may go.
func (e *Entry) waitDrain(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return nil
	case s := <-signals:
		if s == os.Kill {
			return nil
		}
		e.beginDrain("signal " + s.String())
	case <-e.drained:
	}
	if e.seams.Faults.DrainAtOnce || !sleep(ctx, e.settings.DrainNotice()) {
		return nil
	}
	limit := time.Now().Add(e.settings.DrainLimit())
	for e.inFlight.Load() > 0 && time.Now().Before(limit) {
		if !sleep(ctx, idlePoll) {
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
