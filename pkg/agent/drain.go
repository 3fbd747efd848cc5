// ================================================================
// Draining: on a signal or an operator's request the agent stops admitting requests,
// informs every entry by heartbeat, waits for the requests in flight, at most for
// drain.limit, and exits.
// ================================================================

package agent

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/link"
)

// finalHeartbeatPeriod is how long a drained agent keeps running, so that its last
// heartbeats and refusals reach the entries.
const finalHeartbeatPeriod = 500 * time.Millisecond

func (a *Agent) serveDrain(_ context.Context, s *link.Stream) error {
	var d contract.DrainRequest
	if err := s.Receive(&d); err != nil {
		return err
	}
	a.beginDrain(d.Reason())
	inFlight, _ := a.admission.state()
	return s.Send(contract.NewAcknowledgement(drainStatus(inFlight)))
}

func drainStatus(inFlight int) string {
	if inFlight == 0 {
		return "draining; nothing in flight"
	}
	return "draining; waiting for requests in flight"
}

func (a *Agent) beginDrain(reason string) {
	if first, _ := a.admission.close(reason); first {
		a.drain.Begin(reason)
	}
}

// waitDrain returns when the process may exit.
func (a *Agent) waitDrain(ctx context.Context, signals <-chan os.Signal) error {
	if !a.drain.Await(ctx, signals, a.beginDrain) || a.hooks.Faults.SkipDrainWait {
		return nil
	}
	_, idle := a.admission.close("")
	select {
	case <-idle:
	case <-time.After(a.settings.DrainLimit()):
		_ = level.Warn(a.process.Logger).Log("msg", "drain.limit reached with requests in flight")
	case <-ctx.Done():
	}
	time.Sleep(finalHeartbeatPeriod)
	return nil
}
