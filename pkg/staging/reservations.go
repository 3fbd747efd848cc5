// ================================================================
// Gateways reserve places at the engine here before they send requests: the stager
// answers from a look at the engine at that moment, which costs nothing on its own
// VM, and from what it granted just now.
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
	// reservationTimeout bounds the answer to one question for a place; a gateway has
	// gone elsewhere by then.
	reservationTimeout = 200 * time.Millisecond
	// reportTTL is for how long one look at the engine answers further questions:
	// a twentieth of the pass of a full engine.
	reportTTL = 3 * time.Millisecond
)

// reportCache keeps the latest look at the engine. The zero value has none.
type reportCache struct {
	mu     sync.Mutex
	report Report
	readAt time.Time
}

// recent returns a look at the engine that is no older than reportLife. Whoever
// comes while one is under way waits for it.
func (o *reportCache) recent(ctx context.Context, look func(context.Context) (Report, error)) (Report, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.readAt) <= reportTTL {
		return o.report, nil
	}
	at := time.Now()
	report, err := look(ctx)
	if err != nil {
		return Report{}, err
	}
	o.report, o.readAt = report, at
	return report, nil
}

// serveReservation answers a gateway that asks for a place.
func (s *Stager) serveReservation(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(reservationTimeout))
	var ask reservation.Ask
	if err := stream.Receive(&ask); err != nil {
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
	return stream.Send(s.decide(ask, model, service, report))
}

// decide answers a question for a place.
func (s *Stager) decide(ask reservation.Ask, model string, service *serviceconfig.Service, report Report) reservation.Answer {
	version := completeVersion(report.Holdings, model, max(service.Engine().Layers(), 1))
	busy := report.Busy || s.draining.Load()
	work := reservation.Work{Running: report.Running, Queued: report.Queued, Pace: report.Pace}
	var granted bool
	var begins time.Duration
	if version > 0 && !busy {
		granted, begins, work = s.reservations.Decide(time.Now(), service.Engine(), work, ask)
	}
	load := feed.NewLoad(service.Name(), s.settings.Engine(), model, version, work.Running, work.Queued, work.Pace, busy, s.isExchanging())
	return reservation.NewAnswer(granted, begins, load)
}
