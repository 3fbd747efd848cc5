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
// A stream that is cut may be cut again where it goes on, and may find the budget of
// repeats spent; then its caller has half an answer. With answers of 0.4 to 4.5 s at full
// load, five and six versions in 40 s, 50 of 26,689 were lost so where an engine waited for
// 1 s and was ordered with 3 to 13 streams running, and 8 of 26,888 where it waits for 3 s.
// To order it to end what runs instead lost 3 of 27,200 and refused twice as many: it takes
// nothing new until its longest stream is over.
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
	// lengths, and in three times as long at their longest.
	withdrawWithin = 3 * time.Second
	// cutShare of the engine's places may be taken when the order cuts what runs: 1, 0.6,
	// 0.4 and 0.2 gave 0.779, 0.793, 0.799 and 0.799 on a day with one version. On a day on
	// which all gateways are stopped twice, and have few repeats yet, 0.3, 0.2 and 0.1 gave
	// 0.454, 0.463 and 0.471, and 9, none and none of the answers were cut; on a day with
	// faults 0.687, 0.683 and 0.680.
	cutShare = 0.2
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
	began := time.Now()
	for {
		report, err := s.report(ctx)
		if err != nil {
			_ = level.Info(s.process.Logger).Log("msg", "engine not asked while it withdraws", "err", err)
			return 0, end
		}
		running = report.Running + report.Queued
		if mayOrder(running, slots, time.Since(began)) {
			return running, end
		}
		select {
		case <-ctx.Done():
			return running, end
		case <-time.After(withdrawLook):
		}
	}
}

// mayOrder tells whether an engine that has taken nothing new for so long gets its order.
func mayOrder(running, slots int, waited time.Duration) bool {
	return running <= int(cutShare*float64(slots)) || waited > withdrawWithin
}

// tellSoon has the load told at once.
func (s *Stager) tellSoon() {
	daemon.Wake(s.tell)
}
