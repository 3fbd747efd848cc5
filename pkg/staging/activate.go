// ================================================================
// Activation of a complete copy: write the chunks to the engine's staging area, wait for this
// engine's order time, verify the chunks and send the order. Order times are spread over the
// remaining time, so that not all engines stop accepting requests at once.
// ================================================================

package staging

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// firstOrderShare and lastOrderShare bound the part of the rollout limit in which orders are
	// sent.
	firstOrderShare = 0.38
	lastOrderShare  = 0.88
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
