// ================================================================
// Taking an engine out of service for an order. The gateways are told first that
// it takes nothing new; what runs gets some time to end, and the streams that
// are left are cut by the order and go on at other engines.
//
// Rejected: to wait until everything has ended. The longest stream is several times the
// usual one, and engines that take turns stand by nearly empty meanwhile, while to read a
// prompt again elsewhere costs little. Rejected too: to cut all that runs at once. More
// streams then look for a place than others have.
//
// A stream that is cut may be cut again where it goes on, and may find the budget of
// repeats spent; then its caller has half an answer. So an engine waits rather longer.
// Rejected: to order it to end what runs instead. It takes nothing new until its longest
// stream is over, and callers are refused.
//
// Where a service has routes whose requests may not be sent again, its engines end
// what runs: to cut it would lose answers.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/daemon"
)

const (
	// drainTimeout is the longest that an engine takes nothing new before its order:
	// most of what runs on a full engine ends within it, also where answers are long.
	drainTimeout = 3 * time.Second
	// maxInterruptedShare of the engine's places may be taken when the order cuts what runs.
	maxInterruptedShare = 0.2
	// drainPollInterval is the time between looks at what still runs.
	drainPollInterval = 40 * time.Millisecond
)

// drain has the gateways send nothing new here, and returns when few
// requests run or the time is over. The returned function ends it.
func (s *Stager) drain(ctx context.Context, slots int) (running int, end func()) {
	s.draining.Store(true)
	s.reportLoadNow()
	end = func() {
		s.draining.Store(false)
		s.reportLoadNow()
	}
	began := time.Now()
	for {
		report, err := s.report(ctx)
		if err != nil {
			_ = level.Info(s.process.Logger).Log("msg", "engine not asked while it withdraws", "err", err)
			return 0, end
		}
		running = report.Running + report.Queued
		if isDrained(running, slots, time.Since(began)) {
			return running, end
		}
		select {
		case <-ctx.Done():
			return running, end
		case <-time.After(drainPollInterval):
		}
	}
}

// isDrained tells whether an engine that has taken nothing new for so long gets its order.
func isDrained(running, slots int, waited time.Duration) bool {
	return running <= int(maxInterruptedShare*float64(slots)) || waited > drainTimeout
}

// reportLoadNow has the load told at once.
func (s *Stager) reportLoadNow() {
	daemon.Wake(s.loadChanged)
}
