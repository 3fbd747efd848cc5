// ================================================================
// Load reports of the engine, sent to the gateways through a control node. On its own VM the stager
// gets an answer at once and at no cost; from elsewhere the answer is delayed, and each request
// costs a probe.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

const (
	// busyLoadInterval is the time between reads of the load of an engine with requests, and
	// idleLoadInterval of one without.
	busyLoadInterval = 150 * time.Millisecond
	idleLoadInterval = 500 * time.Millisecond
	// maxReportInterval is the time after which an unchanged load is reported again.
	maxReportInterval = time.Second
)

// reportLoads reports the load of the engine until the context ends.
func (s *Stager) reportLoads(ctx context.Context) error {
	var last feed.Load
	var reportedAt time.Time
	for {
		pause := idleLoadInterval
		if l, ok := s.load(ctx); ok {
			if l.Running()+l.Queued() > 0 || l.Busy() {
				pause = busyLoadInterval
			}
			if l != last || time.Since(reportedAt) > maxReportInterval {
				s.follower.ReportLoad(l)
				last, reportedAt = l, time.Now()
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

// load reads the load of the engine; false if the engine does not answer or the configuration is
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
	return feed.NewLoad(service.Name(), s.settings.Engine(), model, version, report.Running, report.Queued, report.StepTimeRatio, report.Busy || s.draining.Load(), s.isExchanging()), true
}
