// ================================================================
// Orders to the engine: when one may be sent, its call, and the wait until it is carried out.
// ================================================================

package staging

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
)

const (
	// orderTimeout is how long the stager waits for the answer to an order, and then for it to be
	// carried out, before it sends another.
	orderTimeout = 6 * time.Second
	// orderPollInterval is the time between reports that are read while an order is not answered.
	orderPollInterval = 250 * time.Millisecond
)

// sendOrder has the engine load some layers besides the sound ones before them, and waits until the
// order is carried out. The order's fencing token is the version. The control nodes agree on versions
// and these only rise, so an order for an older one, for instance from a partitioned stager, is
// refused. interrupt makes the engine interrupt its running requests, which must be able to resume on
// other engines.
//
// The engine may take the order long after it was sent. Until it has, the chunks are verified again,
// so that each verification is recent whenever the engine takes the order.
func (s *Stager) sendOrder(ctx context.Context, staged *stagedCopy, verified verifiedLayers, report Report, due feed.VersionInfo, interrupt bool) {
	sentAt := s.now()
	if !s.mayOrder(ctx, staged, verified.layers, report, sentAt) {
		return
	}
	order := staged.order(verified.layers, report, interrupt)
	endVerification := s.keepVerified(ctx, staged, verified.layers)
	err := s.callOrder(ctx, order, report)
	takenBy := s.now()
	endVerification()
	age := staged.maxAge(verified.layers, sentAt, takenBy)
	s.metrics.verificationAge.Observe(age.Seconds())
	_ = level.Info(s.process.Logger).Log("msg", "order given", "model", order.Model, "version", order.Version, "due", due.Version(),
		"layers", verified.layers.String(), "sequence", order.Sequence, "running", report.Running, "since_named_ms", sinceNamed(due),
		"verify_ms", verified.took.Milliseconds(), "rewritten", verified.rewritten, "order_ms", (takenBy - sentAt).Milliseconds(),
		"oldest_ms", age.Milliseconds(), "err", err)
	switch {
	case err == nil:
		if age <= maxVerificationAge {
			s.sound.Store(&engineLoad{report.StartedAt, report.Sequence + 1, order.Version, order.heldLayers()})
		}
		s.awaitOrder(ctx)
	case failure.Is(err, failure.StaleOrder):
		s.refusedFence = refusedFence{order.Fence, report.Sequence, report.StartedAt}
	}
}

// order returns the order to load some layers, and to keep those before them.
func (s *stagedCopy) order(layers layerRange, report Report, interrupt bool) Order {
	manifest := s.copy.manifest
	return Order{
		Model: manifest.model, Version: manifest.version, Sequence: report.Sequence, Fence: manifest.version, Interrupts: interrupt,
		Partial: layers != layerRange{0, s.layers}, Layers: layers.to,
	}
}

// mayOrder reports whether an order may be sent: the verifications are recent, although this process may
// have been stopped since, and the engine has taken no other order since the report. began is the time
// now.
func (s *Stager) mayOrder(ctx context.Context, staged *stagedCopy, layers layerRange, report Report, began time.Duration) bool {
	latest, err := s.report(ctx)
	age := staged.maxAge(layers, began, s.now())
	if err == nil && age <= maxVerificationAge && !latest.Busy && latest.Sequence == report.Sequence && latest.StartedAt == report.StartedAt {
		s.unchangedAt = began
		return true
	}
	_ = level.Warn(s.process.Logger).Log("msg", "order not sent", "oldest_ms", age.Milliseconds(), "sequence", report.Sequence, "sequence_now", latest.Sequence,
		"busy", latest.Busy, "err", err)
	return false
}

// callOrder sends an order and returns once the engine has answered or its report shows that it has
// taken an order since the given report. After orderTimeout the outcome is unknown: the engine may
// still take the order.
func (s *Stager) callOrder(ctx context.Context, o Order, before Report) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var taken atomic.Bool
	go func() {
		_ = daemon.Every(ctx, orderPollInterval, func() {
			if r, err := s.report(ctx); err == nil && r.Sequence > before.Sequence && r.StartedAt == before.StartedAt {
				taken.Store(true)
				cancel()
			}
		})
	}()
	err := s.protocol.SendOrder(ctx, s.settings.Engine(), o)
	if taken.Load() {
		return nil
	}
	return err
}

// awaitOrder waits until the engine has carried out an order, at most for orderTimeout. It returns
// early if the engine does not answer or has not taken the order.
func (s *Stager) awaitOrder(ctx context.Context) {
	until := time.Now().Add(orderTimeout)
	for ctx.Err() == nil && time.Now().Before(until) {
		report, err := s.report(ctx)
		if err != nil || !report.Busy {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(busyInterval):
		}
	}
}

// refusedFence is a fencing token that the engine refused because it had seen a higher one, the
// number of orders that the engine had taken by then, and when the engine had started. The zero
// value blocks no order.
type refusedFence struct {
	fence    uint64
	sequence uint64
	started  uint64
}

// blocks reports whether an order with a fencing token must not be sent again. A restarted engine
// has lost its fencing tokens and its order count.
func (r refusedFence) blocks(fence uint64, report Report) bool {
	return fence <= r.fence && report.Sequence >= r.sequence && report.StartedAt == r.started
}
