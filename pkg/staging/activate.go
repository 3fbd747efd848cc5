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
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// firstOrderShare and lastOrderShare bound the part of the rollout limit in which orders are
	// sent.
	firstOrderShare = 0.38
	lastOrderShare  = 0.88
	// orderTimeout is how long the stager waits for an order to be carried out before it sends
	// another.
	orderTimeout = 6 * time.Second
)

// activate makes the engine serve a complete copy once its order time has come, and returns the
// time until the next step. due is the version that is due first; the copy is of that version or a
// later one.
func (s *Stager) activate(ctx context.Context, c *weightsCopy, report Report, due feed.VersionInfo, service *serviceconfig.Service) time.Duration {
	if s.staged != c {
		if err := s.stageChunks(ctx, c); err != nil {
			_ = level.Warn(s.process.Logger).Log("msg", "chunks not staged", "err", err)
			return busyInterval
		}
		s.staged = c
	}
	if wait := time.Until(s.orderTime(c, report, due)); wait > 0 {
		return min(wait, idleInterval)
	}
	if report.Running > 0 && service.Interruptible() {
		running, endDrain := s.drain(ctx, service.Engine().Slots())
		defer endDrain()
		report.Running = running
	}
	checked, err := s.verifyStagedChunks(ctx, c)
	if err != nil {
		_ = level.Warn(s.process.Logger).Log("msg", "staged chunks not verified", "err", err)
		return busyInterval
	}
	s.sendOrder(ctx, c, checked, report, due, service.Interruptible())
	return busyInterval
}

// sendOrder sends the order and waits until it is carried out. Its fencing token is the version.
// The control nodes agree on versions and these only rise, so an order for an older one, for
// instance from a partitioned stager, is refused. interrupt makes the engine interrupt its running
// requests, which must be able to resume on other engines.
func (s *Stager) sendOrder(ctx context.Context, c *weightsCopy, checked verification, report Report, due feed.VersionInfo, interrupt bool) {
	version := c.manifest.version
	order := Order{Model: c.manifest.model, Version: version, Sequence: report.Sequence, Fence: version, Interrupts: interrupt}
	sentAt := s.now()
	err := s.protocol.SendOrder(ctx, s.settings.Engine(), order)
	answeredAt := s.now()
	age := checked.age(answeredAt)
	s.metrics.verificationAge.Observe(age.Seconds())
	_ = level.Info(s.process.Logger).Log("msg", "order given", "model", order.Model, "version", version, "due", due.Version(),
		"sequence", order.Sequence, "running", report.Running, "since_named_ms", sinceNamed(due), "verify_ms", checked.duration().Milliseconds(),
		"rewritten", checked.rewritten, "order_ms", (answeredAt - sentAt).Milliseconds(), "oldest_ms", age.Milliseconds(), "err", err)
	switch {
	case err == nil:
		s.awaitOrder(ctx, order)
	case failure.Is(err, failure.StaleOrder):
		s.refusedFence = refusedFence{order.Fence, report.Sequence, report.StartedAt}
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

// stageChunks writes every chunk to the engine's staging area.
func (s *Stager) stageChunks(ctx context.Context, c *weightsCopy) error {
	for number := range c.manifest.digests {
		if err := s.stageChunk(ctx, c, number); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stager) stageChunk(ctx context.Context, c *weightsCopy, number int) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.PutChunk(ctx, s.settings.Engine(), c.manifest.model, number, c.get(number))
}

// verifyStagedChunks reads every chunk back and rewrites the corrupt ones.
func (s *Stager) verifyStagedChunks(ctx context.Context, c *weightsCopy) (verification, error) {
	v := verification{beganAt: s.now()}
	for number, digest := range c.manifest.digests {
		data, err := s.readStagedChunk(ctx, c.manifest.model, number)
		if err == nil && digestOf(data) == digest {
			continue
		}
		_ = level.Warn(s.process.Logger).Log("msg", "staged chunk corrupt; writing it again", "chunk", number, "err", err)
		s.metrics.chunks.WithLabelValues(string(sourceCorrupt)).Inc()
		if err := s.stageChunk(ctx, c, number); err != nil {
			return verification{}, err
		}
		v.rewritten++
	}
	v.endedAt = s.now()
	return v, nil
}

// verification is one verification of all staged chunks. Times are readings of Stager.now.
type verification struct {
	beganAt, endedAt time.Duration
	rewritten        int // corrupt chunks that were written again
}

// duration returns how long the verification took.
func (v verification) duration() time.Duration { return v.endedAt - v.beganAt }

// age returns how long ago the first chunk was verified, since which it may have turned corrupt.
func (v verification) age(now time.Duration) time.Duration { return now - v.beganAt }

func (s *Stager) readStagedChunk(ctx context.Context, model string, number int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.GetChunk(ctx, s.settings.Engine(), model, number)
}

// orderTime returns when this engine gets its order. The order times of the engines are spread over
// the part of the rollout limit in which orders are sent, or over what is left of it once the copy
// is complete. An engine that serves no version has no requests to interrupt, so it gets its order
// at once.
func (s *Stager) orderTime(c *weightsCopy, report Report, due feed.VersionInfo) time.Time {
	if len(report.Holdings) == 0 || due.NamedAt().IsZero() {
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

// awaitOrder waits until the engine serves the ordered version, at most for orderTimeout. It
// returns early if the engine does not answer or has not taken the order.
func (s *Stager) awaitOrder(ctx context.Context, o Order) {
	until := time.Now().Add(orderTimeout)
	for ctx.Err() == nil && time.Now().Before(until) {
		report, err := s.report(ctx)
		if err != nil || completeVersion(report.Holdings, o.Model, 0) == o.Version && !report.Busy {
			return
		}
		if !report.Busy && report.Sequence == o.Sequence {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(busyInterval):
		}
	}
}
