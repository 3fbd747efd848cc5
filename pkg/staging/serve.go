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
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/feed"
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
func (s *Stager) serve(ctx context.Context, c *weightsCopy, report Report, due feed.Named) time.Duration {
	if s.laid != c {
		if err := s.layDown(ctx, c); err != nil {
			_ = level.Warn(s.process.Logger).Log("msg", "chunks not laid down", "err", err)
			return busyLook
		}
		s.laid = c
	}
	if wait := time.Until(s.turn(c.manifest.model, report, due)); wait > 0 {
		return min(wait, idleLook)
	}
	if err := s.checkLaidDown(ctx, c); err != nil {
		_ = level.Warn(s.process.Logger).Log("msg", "chunks not checked", "err", err)
		return busyLook
	}
	s.order(ctx, c, report, due)
	return busyLook
}

// order gives the order and waits until it is obeyed.
func (s *Stager) order(ctx context.Context, c *weightsCopy, report Report, due feed.Named) {
	order := Order{Model: c.manifest.model, Version: c.manifest.version, Sequence: report.Sequence}
	err := s.protocol.Start(ctx, s.settings.Engine(), order)
	_ = level.Info(s.process.Logger).Log("msg", "order given", "model", order.Model, "version", order.Version, "due", due.Version(),
		"sequence", order.Sequence, "running", report.Running, "since_named_ms", sinceNamed(due), "err", err)
	if err == nil {
		s.awaitObeyed(ctx, order)
	}
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

// turn returns when it is this engine's turn. An engine that serves nothing has
// no work to stop, so its turn is at once.
func (s *Stager) turn(model string, report Report, due feed.Named) time.Time {
	if len(report.Holdings) == 0 || due.Since().IsZero() {
		return time.Time{}
	}
	order := s.turnOrder(model)
	position := slices.Index(order, s.process.Identity.Address())
	share := firstTurn
	if len(order) > 1 {
		share += (lastTurn - firstTurn) * float64(position) / float64(len(order)-1)
	}
	return due.Since().Add(time.Duration(share * float64(s.settings.Within())))
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
	order := sortedKeys(domains)
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
