// ================================================================
// Taking an engine out of service for an order. The gateways are told first that
// it takes nothing new; what runs gets some time to end, and the streams that
// are left are cut by the order and go on at other engines.
//
// Waiting until everything has ended took 2 s an engine, since the longest
// stream is four times the usual one: at 0.2 s between two engines half of them
// stood by nearly empty. To read the prompt of a stream again elsewhere costs 30
// to 40 ms of an engine. Cutting all that runs at once was worse too: more
// streams then looked for a place than others had.
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
	// withdrawWithin is the longest that an engine takes nothing new before its
	// order. Half of what runs on a full engine ends in 0.6 s at the users' usual
	// lengths.
	withdrawWithin = 1000 * time.Millisecond
	// cutShare of the engine's places may be taken when the order cuts what runs: 1, 0.6,
	// 0.4 and 0.2 gave 0.779, 0.793, 0.799 and 0.799 on a day with one version.
	cutShare = 0.3
	// withdrawLook is the time between looks at what still runs.
	withdrawLook = 40 * time.Millisecond
)

// withdraw has the gateways send nothing new here, and returns when few
// requests run or the time is over. The returned function ends it.
func (s *Stager) withdraw(ctx context.Context, slots int) (running int, end func()) {
	s.withdrawn.Store(true)
	s.tellSoon()
	end = func() {
		s.withdrawn.Store(false)
		s.tellSoon()
	}
	few := int(cutShare * float64(slots))
	until := time.Now().Add(withdrawWithin)
	for {
		report, err := s.report(ctx)
		if err != nil {
			_ = level.Info(s.process.Logger).Log("msg", "engine not asked while it withdraws", "err", err)
			return 0, end
		}
		running = report.Running + report.Queued
		if running <= few || time.Now().After(until) {
			return running, end
		}
		select {
		case <-ctx.Done():
			return running, end
		case <-time.After(withdrawLook):
		}
	}
}

// tellSoon has the load told at once.
func (s *Stager) tellSoon() {
	daemon.Wake(s.tell)
}
