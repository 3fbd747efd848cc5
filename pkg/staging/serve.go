// ================================================================
// From a whole copy to an engine that serves it: lay the chunks down, read each
// back and check it, wait for this engine's turn, give the order, and see that
// it was obeyed.
//
// The turns spread the orders over the time that is left, so that not all
// engines stop taking work at one moment.
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
	// firstOrderShare and lastTurn are the shares of the agreed time within which
	// the orders are given.
	firstOrderShare = 0.38
	lastOrderShare  = 0.88
	// orderTimeout is how long an order is waited for before it is given again.
	orderTimeout = 6 * time.Second
)

// activate has the engine serve a complete copy when it is its turn, and returns
// when to look again. due is the version whose time ends first; the copy is of
// that or of a later one.
func (s *Stager) activate(ctx context.Context, c *weightsCopy, report Report, due feed.VersionInfo, service *serviceconfig.Service) time.Duration {
	if s.staged != c {
		if err := s.stageChunks(ctx, c); err != nil {
			_ = level.Warn(s.process.Logger).Log("msg", "chunks not laid down", "err", err)
			return busyInterval
		}
		s.staged = c
	}
	if wait := time.Until(s.orderTime(c, report, due)); wait > 0 {
		return min(wait, idleInterval)
	}
	if report.Running > 0 && service.Interruptible() {
		running, end := s.drain(ctx, service.Engine().Slots())
		defer end()
		report.Running = running
	}
	if err := s.verifyStagedChunks(ctx, c); err != nil {
		_ = level.Warn(s.process.Logger).Log("msg", "chunks not checked", "err", err)
		return busyInterval
	}
	s.sendOrder(ctx, c, report, due, service.Interruptible())
	return busyInterval
}

// sendOrder gives the order and waits until it is obeyed. Its fencing token is the
// version: the control nodes agree on versions and they only rise, so whoever
// orders an older one, for instance a stager that was cut off, is refused. cuts has
// the engine cut what still runs, which must be able to go on elsewhere.
func (s *Stager) sendOrder(ctx context.Context, c *weightsCopy, report Report, due feed.VersionInfo, cuts bool) {
	version := c.manifest.version
	order := Order{Model: c.manifest.model, Version: version, Sequence: report.Sequence, Fence: version, Interrupts: cuts}
	err := s.protocol.SendOrder(ctx, s.settings.Engine(), order)
	_ = level.Info(s.process.Logger).Log("msg", "order given", "model", order.Model, "version", version, "due", due.Version(),
		"sequence", order.Sequence, "running", report.Running, "since_named_ms", sinceNamed(due), "err", err)
	switch {
	case err == nil:
		s.awaitOrder(ctx, order)
	case failure.Is(err, failure.StaleOrder):
		s.refusedFence = refusedFence{order.Fence, report.Sequence, report.Started}
	}
}

// refusedFence is a fencing token that was refused for a higher one, how many orders the
// engine had taken by then, and when it had started. The zero value is none.
type refusedFence struct {
	fence    uint64
	sequence uint64
	started  uint64
}

// blocks tells whether an order with a token is not to be given again. An
// engine that started anew has forgotten its tokens and counts orders anew.
func (o refusedFence) blocks(fence uint64, report Report) bool {
	return fence <= o.fence && report.Sequence >= o.sequence && report.Started == o.started
}

// stageChunks lays every chunk down beside the engine.
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
	return s.protocol.Put(ctx, s.settings.Engine(), c.manifest.model, number, c.get(number))
}

// verifyStagedChunks reads every chunk back and lays those down again that have
// turned bad.
func (s *Stager) verifyStagedChunks(ctx context.Context, c *weightsCopy) error {
	for number, digest := range c.manifest.digests {
		data, err := s.readStagedChunk(ctx, c.manifest.model, number)
		if err == nil && digestOf(data) == digest {
			continue
		}
		_ = level.Warn(s.process.Logger).Log("msg", "chunk turned bad beside the engine", "chunk", number, "err", err)
		s.metrics.chunks.WithLabelValues(string(sourceCorrupt)).Inc()
		if err := s.stageChunk(ctx, c, number); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stager) readStagedChunk(ctx context.Context, model string, number int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.Get(ctx, s.settings.Engine(), model, number)
}

// orderTime returns when it is this engine's turn: spread over what is left, from
// when the copy came, of the time within which the orders are given. An engine
// that serves nothing has no work to stop, so its turn is at once.
func (s *Stager) orderTime(c *weightsCopy, report Report, due feed.VersionInfo) time.Time {
	if len(report.Holdings) == 0 || due.Since().IsZero() {
		return time.Time{}
	}
	order := s.rolloutOrder(c.manifest.model)
	position := slices.Index(order, s.process.Identity.Address())
	return orderTimeAt(position, len(order), due.Since(), s.settings.Within(), c.completedAt())
}

// orderTimeAt returns the turn of one of several engines.
func orderTimeAt(position, engines int, named time.Time, within time.Duration, complete time.Time) time.Time {
	first := named.Add(time.Duration(firstOrderShare * float64(within)))
	last := named.Add(time.Duration(lastOrderShare * float64(within)))
	if complete.After(first) {
		first = complete
	}
	if engines <= 1 || !first.Before(last) {
		return first
	}
	return first.Add(last.Sub(first) * time.Duration(position) / time.Duration(engines-1))
}

// rolloutOrder returns the stagers of a model in an order that goes over the
// failure domains in turn.
func (m *Member) rolloutOrder(model string) []string {
	domains, caches := m.members(model)
	for address := range caches {
		delete(domains, address)
	}
	seen := map[string]int{}
	position := map[string]int{}
	order := slices.Sorted(maps.Keys(domains))
	for _, a := range order {
		position[a] = seen[domains[a]]
		seen[domains[a]]++
	}
	slices.SortStableFunc(order, func(a, b string) int { return position[a] - position[b] })
	return order
}

// awaitOrder waits until the engine serves what was ordered.
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
