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
	"github.com/tidepost/tidepost/pkg/serviceconfig"
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
	version, busy := s.usableVersion(report, model, service)
	if !report.Busy && !s.isSound(report, model) {
		s.wakeLoop()
	}
	return feed.NewLoad(service.Name(), s.settings.Engine(), model, version, report.Running, report.Queued, report.StepTimeRatio, busy, s.isExchanging()), true
}

// usableVersion returns the version with which the engine may serve requests; 0 if there is none. busy
// reports whether the engine must get no new requests for now.
func (s *Stager) usableVersion(report Report, model string, service *serviceconfig.Service) (version uint64, busy bool) {
	if !s.isSound(report, model) {
		return 0, true
	}
	return completeVersion(report.Holdings, model, layerCount(service)), report.Busy || s.draining.Load()
}
