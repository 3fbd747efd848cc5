// ================================================================
// Loads that no order with a known outcome explains. A chunk of such a load was intact, or corrupt for
// maxVerificationAge at most, if its checks were that recent at all times at which the engine may have
// taken the order; or if it is read back intact after the load and was not written in between, since a
// chunk does not become intact by itself. Layers with other chunks are dropped and loaded again.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// isSound reports whether the load that the engine reports is known to be sound. Without layers the
// engine serves nothing, so nothing has to be known.
func (s *Stager) isSound(report Report, model string) bool {
	known, reported := s.sound.Load(), loadOf(report, model)
	return reported.layers.isEmpty() || known != nil && known.explains(reported)
}

// observe updates what is known of the engine's load by a report whose reading began at a time. Only the
// control loop calls it, which also sends the orders.
func (s *Stager) observe(report Report, model string, began time.Duration) {
	reported := loadOf(report, model)
	known := s.sound.Load()
	switch {
	case known == nil:
		first := firstLoad(report, model)
		s.sound.Store(&first)
	case reported.layers.isEmpty() && !report.Busy && !known.isSameAs(reported):
		// The engine has restarted, perhaps with the same count of orders as before.
		s.sound.Store(&reported)
	case !known.isSameAs(reported):
		return
	}
	s.unchangedAt = began
}

// hasNewerCopy reports whether a complete copy is here of a later version than the engine reports.
func (s *Stager) hasNewerCopy(model string, report Report) bool {
	c := s.ready.Load()
	return c != nil && c.manifest.model == model && c.manifest.version > loadOf(report, model).version
}

// recheckLoad finds out which layers of a load are sound, and has the engine drop the others. It
// returns the time until the next step. Meanwhile the engine gets no new requests.
func (s *Stager) recheckLoad(ctx context.Context, model string, report Report, service *serviceconfig.Service) time.Duration {
	held := loadOf(report, model)
	sound, err := s.provenLayers(ctx, model, held, max(layerCount(service), held.layers.to))
	_ = level.Warn(s.process.Logger).Log("msg", "load not explained by an order", "model", model, "version", held.version, "layers", held.layers.String(),
		"sound", sound.String(), "sequence", held.sequence, "err", err)
	switch {
	case err != nil:
		return idleInterval
	case sound == held.layers:
		s.sound.Store(&held)
		s.reportLoadNow()
		return 0
	}
	return s.dropLayers(ctx, model, held, sound, service)
}

// provenLayers returns the first layers of a load that the engine had before, or whose chunks are known
// to have been intact when they were loaded. It fails if that can't be found out now.
func (s *Stager) provenLayers(ctx context.Context, model string, held engineLoad, allLayers int) (layerRange, error) {
	kept := held.keptLayers(*s.sound.Load())
	if held.layers.from > 0 {
		return kept, nil
	}
	takenBy := s.now()
	manifest, err := s.findManifest(ctx, model, held.version)
	if err != nil {
		return kept, err
	}
	if !s.mayProve(manifest) {
		return kept, nil
	}
	chunks := len(manifest.digests)
	intact := make([]bool, chunks)
	first, end := chunksOf(layerRange{kept.to, held.layers.to}, chunks, allLayers)
	err = forEachChunk(ctx, first, end, withoutLimit, func(ctx context.Context, number int) error {
		var err error
		intact[number], err = s.wasIntact(ctx, manifest, number, takenBy)
		return err
	})
	proven := leadingLayers(kept.to, chunks, allLayers, func(number int) bool { return intact[number] })
	return layerRange{0, min(proven.to, held.layers.to)}, err
}

// mayProve reports whether this process has written no chunks of another copy, which would hide what
// was there.
func (s *Stager) mayProve(m Manifest) bool {
	return s.staged == nil || s.staged.copy.manifest.isOf(m.model, m.version)
}

// wasIntact reports whether a chunk is known to have been intact when it was loaded, or corrupt for
// maxVerificationAge at most. The load was taken after it was last as known, and before another time.
func (s *Stager) wasIntact(ctx context.Context, m Manifest, number int, takenBy time.Duration) (bool, error) {
	if s.staged != nil && s.staged.maxChunkAge(number, s.unchangedAt, takenBy) <= maxVerificationAge {
		return true, nil
	}
	if s.staged != nil && s.staged.wasWrittenSince(number, s.unchangedAt) {
		return false, nil
	}
	data, err := s.readStagedChunk(ctx, m.model, number)
	if failure.Is(err, failure.UnknownObject) {
		return false, nil
	}
	return err == nil && digestOf(data) == m.digests[number], err
}

// dropLayers has the engine drop the layers of a load that are not known to be sound, and returns the time
// until the next step.
func (s *Stager) dropLayers(ctx context.Context, model string, held engineLoad, sound layerRange, service *serviceconfig.Service) time.Duration {
	order := Order{
		Model: model, Version: held.version, Sequence: held.sequence, Fence: held.version, Interrupts: service.Interruptible(),
		Partial: true, Layers: sound.to,
	}
	err := s.callOrder(ctx, order, Report{Sequence: held.sequence, StartedAt: held.startedAt})
	_ = level.Warn(s.process.Logger).Log("msg", "layers dropped", "model", model, "version", held.version, "layers", held.layers.String(), "sound", sound.String(), "err", err)
	if err != nil {
		return idleInterval
	}
	s.sound.Store(&engineLoad{held.startedAt, held.sequence + 1, held.version, sound})
	s.awaitOrder(ctx)
	return busyInterval
}
