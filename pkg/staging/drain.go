// ================================================================
// Draining an engine before an order. The gateways first stop sending new requests, and running
// requests get time to complete. The order interrupts the remaining streams, which resume on other
// engines.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/daemon"
)

const (
	// drainTimeout is the longest time for which an engine accepts no new requests before its
	// order. Most requests of a full engine complete within it, also where answers are long.
	//
	// Waiting for all requests would take as long as the longest stream, several times the usual
	// one, while draining engines are nearly idle; to read a prompt again elsewhere costs little.
	// Without a wait, more streams would be interrupted than other engines have slots. An
	// interrupted stream may be interrupted again where it resumes, or may find the retry budget
	// exhausted, and then its caller has half an answer; so the timeout is rather long.
	drainTimeout = 3 * time.Second
	// maxInterruptedShare is the share of the engine's slots that may be in use when the order
	// interrupts the running requests.
	maxInterruptedShare = 0.2
	// drainPollInterval is the time between reads of the engine's running requests.
	drainPollInterval = 40 * time.Millisecond
)

// drain makes the gateways send no new requests to this engine, and returns when few requests run
// or drainTimeout is over. The returned function ends the draining.
//
// Ordering the engine to complete its requests instead would keep it from accepting new ones until
// its longest stream ends, and callers would be refused. That is done only where a service has
// routes whose requests are not repeatable, since interrupting them would lose answers.
func (s *Stager) drain(ctx context.Context, slots int) (running int, endDrain func()) {
	s.draining.Store(true)
	s.reportLoadNow()
	endDrain = func() {
		s.draining.Store(false)
		s.reportLoadNow()
	}
	started := time.Now()
	for {
		report, err := s.report(ctx)
		if err != nil {
			_ = level.Info(s.process.Logger).Log("msg", "engine not reached while draining", "err", err)
			return 0, endDrain
		}
		running = report.Running + report.Queued
		if isDrained(running, slots, time.Since(started)) {
			return running, endDrain
		}
		select {
		case <-ctx.Done():
			return running, endDrain
		case <-time.After(drainPollInterval):
		}
	}
}

// isDrained reports whether an engine may get its order after it has accepted no new requests for
// the given time.
func isDrained(running, slots int, waited time.Duration) bool {
	return running <= int(maxInterruptedShare*float64(slots)) || waited > drainTimeout
}

// reportLoadNow triggers an immediate load report.
func (s *Stager) reportLoadNow() {
	daemon.Wake(s.loadChanged)
}
