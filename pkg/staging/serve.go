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
	// firstTurn and lastTurn are the shares of the agreed time within which
	// the orders are given.
	firstTurn = 0.38
	lastTurn  = 0.88
	// obeyWithin is how long an order is waited for before it is given again.
	obeyWithin = 6 * time.Second
)

// serve has the engine serve a complete copy when it is its turn, and returns
// when to look again. due is the version whose time ends first; the copy is of
// that or of a later one.
func (s *Stager) serve(ctx context.Context, c *weightsCopy, report Report, due feed.VersionInfo, service *serviceconfig.Service) time.Duration {
	if s.laid != c {
		if err := s.layDown(ctx, c); err != nil {
			_ = level.Warn(s.process.Logger).Log("msg", "chunks not laid down", "err", err)
			return busyLook
		}
		s.laid = c
	}
	if wait := time.Until(s.turn(c, report, due)); wait > 0 {
		return min(wait, idleLook)
	}
	if report.Running > 0 && service.Interruptible() {
		running, end := s.withdraw(ctx, service.Engine().Slots())
		defer end()
		report.Running = running
	}
	if err := s.checkLaidDown(ctx, c); err != nil {
		_ = level.Warn(s.process.Logger).Log("msg", "chunks not checked", "err", err)
		return busyLook
	}
	s.order(ctx, c, report, due, service.Interruptible())
	return busyLook
}

// order gives the order and waits until it is obeyed. Its fencing token is the
// version: the control nodes agree on versions and they only rise, so whoever
// orders an older one, for instance a stager that was cut off, is refused. cuts has
// the engine cut what still runs, which must be able to go on elsewhere.
func (s *Stager) order(ctx context.Context, c *weightsCopy, report Report, due feed.VersionInfo, cuts bool) {
	version := c.manifest.version
	order := Order{Model: c.manifest.model, Version: version, Sequence: report.Sequence, Fence: version, Cuts: cuts}
	err := s.protocol.Start(ctx, s.settings.Engine(), order)
	_ = level.Info(s.process.Logger).Log("msg", "order given", "model", order.Model, "version", version, "due", due.Version(),
		"sequence", order.Sequence, "running", report.Running, "since_named_ms", sinceNamed(due), "err", err)
	switch {
	case err == nil:
		s.awaitObeyed(ctx, order)
	case failure.Is(err, failure.StaleOrder):
		s.outranked = outranking{order.Fence, report.Sequence, report.Born}
	}
}

// outranking is a fencing token that was refused for a higher one, how many orders the
// engine had taken by then, and when it had started. The zero value is none.
type outranking struct {
	fence    uint64
	sequence uint64
	born     uint64
}

// forbids tells whether an order with a token is not to be given again. An
// engine that started anew has forgotten its tokens and counts orders anew.
func (o outranking) forbids(fence uint64, report Report) bool {
	return fence <= o.fence && report.Sequence >= o.sequence && report.Born == o.born
}

// layDown lays every chunk down beside the engine.
func (s *Stager) layDown(ctx context.Context, c *weightsCopy) error {
	for number := range c.manifest.digests {
		if err := s.put(ctx, c, number); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stager) put(ctx context.Context, c *weightsCopy, number int) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.Put(ctx, s.settings.Engine(), c.manifest.model, number, c.get(number))
}

// checkLaidDown reads every chunk back and lays those down again that have
// turned bad.
func (s *Stager) checkLaidDown(ctx context.Context, c *weightsCopy) error {
	for number, digest := range c.manifest.digests {
		data, err := s.readBack(ctx, c.manifest.model, number)
		if err == nil && digestOf(data) == digest {
			continue
		}
		_ = level.Warn(s.process.Logger).Log("msg", "chunk turned bad beside the engine", "chunk", number, "err", err)
		s.metrics.chunks.WithLabelValues(string(sourceSpoilt)).Inc()
		if err := s.put(ctx, c, number); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stager) readBack(ctx context.Context, model string, number int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.Get(ctx, s.settings.Engine(), model, number)
}

// turn returns when it is this engine's turn: spread over what is left, from
// when the copy came, of the time within which the orders are given. An engine
// that serves nothing has no work to stop, so its turn is at once.
func (s *Stager) turn(c *weightsCopy, report Report, due feed.VersionInfo) time.Time {
	if len(report.Holdings) == 0 || due.Since().IsZero() {
		return time.Time{}
	}
	order := s.turnOrder(c.manifest.model)
	position := slices.Index(order, s.process.Identity.Address())
	return turnAt(position, len(order), due.Since(), s.settings.Within(), c.completedAt())
}

// turnAt returns the turn of one of several engines.
func turnAt(position, engines int, named time.Time, within time.Duration, complete time.Time) time.Time {
	first := named.Add(time.Duration(firstTurn * float64(within)))
	last := named.Add(time.Duration(lastTurn * float64(within)))
	if complete.After(first) {
		first = complete
	}
	if engines <= 1 || !first.Before(last) {
		return first
	}
	return first.Add(last.Sub(first) * time.Duration(position) / time.Duration(engines-1))
}

// turnOrder returns the stagers of a model in an order that goes over the
// failure domains in turn.
func (m *Member) turnOrder(model string) []string {
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

// awaitObeyed waits until the engine serves what was ordered.
func (s *Stager) awaitObeyed(ctx context.Context, o Order) {
	until := time.Now().Add(obeyWithin)
	for ctx.Err() == nil && time.Now().Before(until) {
		report, err := s.report(ctx)
		if err != nil || wholeVersion(report.Holdings, o.Model, 0) == o.Version && !report.Busy {
			return
		}
		if !report.Busy && report.Sequence == o.Sequence {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(busyLook):
		}
	}
}
