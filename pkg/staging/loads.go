// ================================================================
// The load of the engine here, told to the gateways by way of a control node.
// Asked from its own VM the engine answers at once and for nothing; asked from
// elsewhere the answer is late, and each question costs a probe.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

const (
	// busyLoadInterval is the time between looks at an engine with work, and
	// restEvery at one without.
	busyLoadInterval = 150 * time.Millisecond
	idleLoadInterval = 500 * time.Millisecond
	// maxReportInterval is when a load is told although it did not change.
	maxReportInterval = time.Second
)

// reportLoads tells the load of the engine until the context ends.
func (s *Stager) reportLoads(ctx context.Context) error {
	var last feed.Load
	var toldAt time.Time
	for {
		pause := idleLoadInterval
		if l, ok := s.load(ctx); ok {
			if l.Running()+l.Queued() > 0 || l.Busy() {
				pause = busyLoadInterval
			}
			if l != last || time.Since(toldAt) > maxReportInterval {
				s.follower.ReportLoad(l)
				last, toldAt = l, time.Now()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.loadChanged:
		case <-time.After(pause):
		}
	}
}

// load reads the load of the engine; false while it or the configuration is
// not known.
func (s *Stager) load(ctx context.Context) (feed.Load, bool) {
	model, service, ok := s.model()
	if !ok {
		return feed.Load{}, false
	}
	report, err := s.report(ctx)
	if err != nil {
		return feed.Load{}, false
	}
	version := completeVersion(report.Holdings, model, max(service.Engine().Layers(), 1))
	return feed.NewLoad(service.Name(), s.settings.Engine(), model, version, report.Running, report.Queued, report.Pace, report.Busy || s.draining.Load(), s.isExchanging()), true
}
