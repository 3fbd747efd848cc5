// ================================================================
// Loads that no order with a known outcome explains. They are sound if their chunks were verified all
// the time since the order was sent. Otherwise the chunks are read back after the load: a chunk does not
// become intact by itself, so one that is intact after the load was intact when it was loaded, as long
// as nobody has written it meanwhile. Layers with other chunks are dropped and loaded again.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// isSound reports whether the load that the engine reports is known to be sound.
func (s *Stager) isSound(report Report, model string) bool {
	first := firstLoad(report, model)
	s.sound.CompareAndSwap(nil, &first)
	return s.sound.Load().explains(loadOf(report, model))
}

// recheckLoad finds out which layers of a load are sound, and has the engine drop the others. It
// returns the time until the next step. Meanwhile the engine gets no new requests.
func (s *Stager) recheckLoad(ctx context.Context, model string, report Report, service *serviceconfig.Service) time.Duration {
	held := loadOf(report, model)
	sound := s.intactLayers(ctx, model, held, layerCount(service))
	_ = level.Warn(s.process.Logger).Log("msg", "load not explained by an order", "model", model, "version", held.version, "layers", held.layers.String(),
		"sound", sound.String(), "sequence", held.sequence)
	if sound == held.layers {
		s.sound.Store(&held)
		s.reportLoadNow()
		return 0
	}
	s.dropLayers(ctx, model, held, sound, service)
	return busyInterval
}

// intactLayers returns the first layers of a load that the engine had before, or whose chunks are
// intact in the staging area.
func (s *Stager) intactLayers(ctx context.Context, model string, held load, layers int) layerRange {
	kept := held.keptLayers(*s.sound.Load())
	if s.wereVerifiedSinceOrder(model, held, layerRange{kept.to, held.layers.to}) {
		return held.layers
	}
	manifest, err := s.findManifest(ctx, model, held.version)
	if err != nil || held.layers.from > 0 {
		return kept
	}
	v := newVerification(len(manifest.digests), layers)
	first, end := v.chunksOf(layerRange{kept.to, held.layers.to})
	err = forEachChunk(ctx, first, end, func() bool { return true }, func(ctx context.Context, number int) error {
		began := s.now()
		data, err := s.readStagedChunk(ctx, model, number)
		if err == nil && digestOf(data) == manifest.digests[number] {
			v.add(number, began)
		}
		return nil
	})
	if err != nil {
		return kept
	}
	return layerRange{0, min(v.layersSince(kept.to, 0).to, held.layers.to)}
}

// wereVerifiedSinceOrder reports whether the last order was for the version of a load, and the
// verifications of the loaded chunks were recent at all times since it was sent.
func (s *Stager) wereVerifiedSinceOrder(model string, held load, loaded layerRange) bool {
	if s.staged == nil || s.staged.manifest.model != model || s.staged.manifest.version != held.version || !held.isNextAfter(s.lastOrder.before) {
		return false
	}
	return s.verification.maxAge(loaded, s.lastOrder.sentAt, s.now()) <= maxVerificationAge
}

// dropLayers has the engine drop the layers of a load that are not known to be sound.
func (s *Stager) dropLayers(ctx context.Context, model string, held load, sound layerRange, service *serviceconfig.Service) {
	order := Order{
		Model: model, Version: held.version, Sequence: held.sequence, Fence: held.version, Interrupts: service.Interruptible(),
		Partial: true, Layers: sound.to,
	}
	err := s.callOrder(ctx, order, Report{Sequence: held.sequence, StartedAt: held.startedAt})
	_ = level.Warn(s.process.Logger).Log("msg", "layers dropped", "model", model, "version", held.version, "layers", held.layers.String(), "sound", sound.String(), "err", err)
	if err == nil {
		s.sound.Store(&load{held.startedAt, held.sequence + 1, held.version, sound})
		s.awaitOrder(ctx)
	}
}
