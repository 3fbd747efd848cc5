// ================================================================
// Slot reservations: gateways reserve a slot on the engine before they send a request. The stager
// decides from a report of the engine that is at most reportTTL old, which costs nothing on the
// engine's own VM, and from its recent grants.
// ================================================================

package staging

import (
	"context"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// reservationTimeout bounds the answer to one reservation. By then the gateway has chosen
	// another engine.
	reservationTimeout = 200 * time.Millisecond
	// reportTTL is how long one report of the engine is reused: a twentieth of a step of a full
	// engine.
	reportTTL = 3 * time.Millisecond
)

// reportCache holds the latest report of the engine. The zero value holds none.
type reportCache struct {
	mu     sync.Mutex
	report Report
	readAt time.Time
}

// recent returns a report that is at most reportTTL old. Concurrent calls share one read.
func (c *reportCache) recent(ctx context.Context, read func(context.Context) (Report, error)) (Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.readAt) <= reportTTL {
		return c.report, nil
	}
	readAt := time.Now()
	report, err := read(ctx)
	if err != nil {
		return Report{}, err
	}
	c.report, c.readAt = report, readAt
	return report, nil
}

// serveReservation answers a reservation of a gateway.
func (s *Stager) serveReservation(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(reservationTimeout))
	var request reservation.Request
	if err := stream.Receive(&request); err != nil {
		return err
	}
	model, service, ok := s.model()
	if !ok {
		return failure.New(failure.NotReady, "no configuration is known here yet")
	}
	ctx, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	report, err := s.reportCache.recent(ctx, s.report)
	if err != nil {
		return err
	}
	return stream.Send(s.decide(request, model, service, report))
}

// decide grants or refuses a reservation.
func (s *Stager) decide(request reservation.Request, model string, service *serviceconfig.Service, report Report) reservation.Response {
	version, busy := s.usableVersion(report, model, service)
	work := reservation.Work{Running: report.Running, Queued: report.Queued, StepTimeRatio: report.StepTimeRatio}
	var granted bool
	var firstEventIn time.Duration
	if version > 0 && !busy {
		granted, firstEventIn, work = s.reservations.Decide(time.Now(), service.Engine(), work, request)
	}
	load := feed.NewLoad(service.Name(), s.settings.Engine(), model, version, work.Running, work.Queued, work.StepTimeRatio, busy, s.isExchanging())
	return reservation.NewResponse(granted, firstEventIn, load)
}
