// ================================================================
// Activation of a complete copy: write the chunks to the engine's staging area, wait for this
// engine's order time, verify the chunks, send the order and wait until it is carried out. Order
// times are spread over the remaining time, so that not all engines stop accepting requests at
// once.
// ================================================================

package staging

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// firstOrderShare and lastOrderShare bound the part of the rollout limit in which orders are
	// sent.
	firstOrderShare = 0.38
	lastOrderShare  = 0.88
	// orderTimeout is how long the stager waits for the answer to an order, and then for it to be
	// carried out, before it sends another.
	orderTimeout = 6 * time.Second
	// orderPollInterval is the time between reports that are read while an order is not answered.
	orderPollInterval = 250 * time.Millisecond
)

// activate makes the engine serve a complete copy once its order time has come, and returns the
// time until the next step. due is the version that is due first; the copy is of that version or a
// later one. If verification is slow, each call loads as many further layers as were verified in time.
func (s *Stager) activate(ctx context.Context, c *weightsCopy, report Report, due feed.VersionInfo, service *serviceconfig.Service) time.Duration {
	layers := layerCount(service)
	if s.staged == nil || s.staged.copy != c {
		s.staged = newStagedCopy(c, layers)
	}
	if !s.staged.isComplete {
		if err := s.stageChunks(ctx, s.staged); err != nil {
			_ = level.Warn(s.process.Logger).Log("msg", "chunks not staged", "err", err)
			return busyInterval
		}
		s.staged.isComplete = true
	}
	if wait := time.Until(s.orderTime(c, report, due, layers)); wait > 0 {
		return min(wait, idleInterval)
	}
	if report.Running > 0 && service.Interruptible() {
		running, endDrain := s.drain(ctx, service.Engine().Slots())
		defer endDrain()
		report.Running = running
	}
	verified, err := s.verifyLayers(ctx, s.staged, s.soundLayers(report, c.manifest).to)
	if err != nil {
		_ = level.Warn(s.process.Logger).Log("msg", "staged chunks not verified", "err", err)
		return busyInterval
	}
	s.sendOrder(ctx, s.staged, verified, report, due, service.Interruptible())
	return busyInterval
}

// layerCount returns the number of layers of a service's model; 1 if it is loaded as a whole.
func layerCount(service *serviceconfig.Service) int { return max(service.Engine().Layers(), 1) }

// soundLayers returns the layers of a version that the engine holds and that are known to be sound,
// if these are the first ones; no layers otherwise.
func (s *Stager) soundLayers(report Report, m Manifest) layerRange {
	held := loadOf(report, m.model)
	if !s.isSound(report, m.model) || held.version != m.version || held.layers.from > 0 {
		return layerRange{}
	}
	return held.layers
}

// sendOrder has the engine load some layers besides the sound ones before them, and waits until the
// order is carried out. The order's fencing token is the version. The control nodes agree on versions
// and these only rise, so an order for an older one, for instance from a partitioned stager, is
// refused. interrupt makes the engine interrupt its running requests, which must be able to resume on
// other engines.
//
// The engine may take the order long after it was sent. Until it has, the chunks are verified again,
// so that each verification is recent whenever the engine takes the order.
func (s *Stager) sendOrder(ctx context.Context, staged *stagedCopy, verified verifiedLayers, report Report, due feed.VersionInfo, interrupt bool) {
	manifest, layers := staged.copy.manifest, verified.layers
	version := manifest.version
	order := Order{
		Model: manifest.model, Version: version, Sequence: report.Sequence, Fence: version, Interrupts: interrupt,
		Partial: layers.to < staged.layers, Layers: layers.to,
	}
	sentAt := s.now()
	if !s.mayOrder(ctx, staged, layers, report, sentAt) {
		return
	}
	endVerification := s.keepVerified(ctx, staged, layers)
	err := s.callOrder(ctx, order, report)
	takenBy := s.now()
	endVerification()
	age := staged.maxAge(layers, sentAt, takenBy)
	s.metrics.verificationAge.Observe(age.Seconds())
	_ = level.Info(s.process.Logger).Log("msg", "order given", "model", order.Model, "version", version, "due", due.Version(), "layers", layers.String(),
		"sequence", order.Sequence, "running", report.Running, "since_named_ms", sinceNamed(due), "verify_ms", verified.took.Milliseconds(),
		"rewritten", verified.rewritten, "order_ms", (takenBy - sentAt).Milliseconds(), "oldest_ms", age.Milliseconds(), "err", err)
	switch {
	case err == nil:
		if age <= maxVerificationAge {
			s.sound.Store(&load{report.StartedAt, report.Sequence + 1, version, order.heldLayers()})
		}
		s.awaitOrder(ctx)
	case failure.Is(err, failure.StaleOrder):
		s.refusedFence = refusedFence{order.Fence, report.Sequence, report.StartedAt}
	}
}

// mayOrder reports whether an order may be sent now: the verifications are recent, although this
// process may have been stopped since, and the engine has taken no other order since the report.
func (s *Stager) mayOrder(ctx context.Context, staged *stagedCopy, layers layerRange, report Report, now time.Duration) bool {
	latest, err := s.report(ctx)
	age := staged.maxAge(layers, now, s.now())
	if err == nil && age <= maxVerificationAge && !latest.Busy && latest.Sequence == report.Sequence && latest.StartedAt == report.StartedAt {
		s.unchangedAt = now
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

// orderTime returns when this engine gets its order. The order times of the engines are spread over
// the part of the rollout limit in which orders are sent, or over what is left of it once the copy
// is complete. An engine that serves no complete version has no requests to interrupt, so it gets its
// order at once.
func (s *Stager) orderTime(c *weightsCopy, report Report, due feed.VersionInfo, layers int) time.Time {
	if completeVersion(report.Holdings, c.manifest.model, layers) == 0 || due.NamedAt().IsZero() {
		return time.Time{}
	}
	order := s.rolloutOrder(c.manifest.model)
	position := slices.Index(order, s.process.Identity.Address())
	return orderTimeAt(position, len(order), due.NamedAt(), s.settings.RolloutLimit(), c.completedAt())
}

// orderTimeAt returns the order time of the engine at a position among several.
func orderTimeAt(position, engines int, named time.Time, limit time.Duration, completedAt time.Time) time.Time {
	first := named.Add(time.Duration(firstOrderShare * float64(limit)))
	last := named.Add(time.Duration(lastOrderShare * float64(limit)))
	if completedAt.After(first) {
		first = completedAt
	}
	if engines <= 1 || !first.Before(last) {
		return first
	}
	return first.Add(last.Sub(first) * time.Duration(position) / time.Duration(engines-1))
}

// rolloutOrder returns the stagers of a model in an order that alternates between failure domains.
func (m *Member) rolloutOrder(model string) []string {
	domains, caches := m.members(model)
	for address := range caches {
		delete(domains, address)
	}
	counts := map[string]int{}
	position := map[string]int{}
	order := slices.Sorted(maps.Keys(domains))
	for _, a := range order {
		position[a] = counts[domains[a]]
		counts[domains[a]]++
	}
	slices.SortStableFunc(order, func(a, b string) int { return position[a] - position[b] })
	return order
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
