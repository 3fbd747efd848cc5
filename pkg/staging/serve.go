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
)

const (
	// firstTurn and lastTurn are the shares of the agreed time within which
	// the orders are given.
	firstTurn = 0.52
	lastTurn  = 0.83
	// obeyWithin is how long an order is waited for before it is given again.
	obeyWithin = 6 * time.Second
)

// serve has the engine serve a whole copy.
func (s *Stager) serve(ctx context.Context, c *weightsCopy, want named) {
	if err := s.layDown(ctx, c); err != nil {
		_ = level.Warn(s.process.Logger).Log("msg", "chunks not laid down", "err", err)
		return
	}
	s.awaitTurn(ctx, c, want)
	if s.wanted(c.manifest.model).version != c.manifest.version {
		return
	}
	if err := s.checkLaidDown(ctx, c); err != nil {
		_ = level.Warn(s.process.Logger).Log("msg", "chunks not checked", "err", err)
		return
	}
	report, err := s.report(ctx)
	if err != nil || report.Busy {
		return
	}
	order := Order{Model: c.manifest.model, Version: c.manifest.version, Sequence: report.Sequence}
	err = s.protocol.Start(ctx, s.settings.Engine(), order)
	_ = level.Info(s.process.Logger).Log("msg", "order given", "model", order.Model, "version", order.Version,
		"sequence", order.Sequence, "running", report.Running, "since_named_ms", time.Since(want.since).Milliseconds(), "err", err)
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

// awaitTurn waits until it is this engine's turn. An engine that serves
// nothing has no work to stop, so its turn is at once.
func (s *Stager) awaitTurn(ctx context.Context, c *weightsCopy, want named) {
	report, err := s.report(ctx)
	if err != nil || len(report.Holdings) == 0 || want.since.IsZero() {
		return
	}
	members := s.turnOrder()
	position := slices.Index(members, s.process.Identity.Address())
	share := firstTurn
	if len(members) > 1 {
		share += (lastTurn - firstTurn) * float64(position) / float64(len(members)-1)
	}
	turn := want.since.Add(time.Duration(share * float64(s.settings.Within())))
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(turn)):
	}
}

// turnOrder returns the stagers in an order that goes over the failure domains
// in turn.
func (s *Stager) turnOrder() []string {
	domains := s.domains()
	seen := map[string]int{}
	position := map[string]int{}
	members := sortedKeys(domains)
	for _, a := range members {
		position[a] = seen[domains[a]]
		seen[domains[a]]++
	}
	slices.SortStableFunc(members, func(a, b string) int { return position[a] - position[b] })
	return members
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
