// ================================================================
// Manifests. The stager that comes first by rendezvous hash draws a version's
// manifest from the origin when it is first asked; all others ask it. When it
// does not answer, the next one in the order is asked.
// ================================================================

package staging

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/failure"
)

// manifestAsks is how many others are asked before this stager draws itself.
const manifestAsks = 3

// findManifest returns the manifest of a version.
func (s *Stager) findManifest(ctx context.Context, model string, version uint64) (Manifest, error) {
	if m := s.knownManifest(model, version); m != nil {
		return *m, nil
	}
	own := s.process.Identity.Address()
	asked := 0
	for _, address := range ranked(s.members(), model, version, manifestNumber) {
		if address == own || asked == manifestAsks {
			break
		}
		if s.failing.rests(address) {
			continue
		}
		asked++
		r, err := s.ask(ctx, address, question{model: model, version: version, number: manifestNumber, draw: true})
		if err != nil {
			s.failing.failed(address)
			continue
		}
		if r.manifest != nil && r.manifest.version == version {
			return *r.manifest, nil
		}
	}
	return s.drawManifest(ctx, model, version)
}

// drawManifest draws a manifest from the origin, one at a time.
func (s *Stager) drawManifest(ctx context.Context, model string, version uint64) (Manifest, error) {
	s.manifestLock.Lock()
	defer s.manifestLock.Unlock()
	if m := s.drawnManifests[model]; m.version == version {
		return m, nil
	}
	origin := s.origin()
	if origin == "" {
		return Manifest{}, failure.New(failure.SourceRefused, "the configuration names no origin")
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	m, err := s.protocol.Manifest(ctx, origin, model, version)
	if err != nil {
		return m, err
	}
	if m.version != version || len(m.digests) == 0 {
		return m, failure.New(failure.VersionChanged, "the origin answers version %d for %d, with %d digests", m.version, version, len(m.digests))
	}
	s.drawnManifests[model] = m
	_ = level.Info(s.process.Logger).Log("msg", "manifest drawn", "model", model, "version", version, "chunks", len(m.digests))
	return m, nil
}

// manifestFor returns a manifest for another stager; nil when it is not to be
// had.
func (s *Stager) manifestFor(ctx context.Context, q question) *Manifest {
	if m := s.knownManifest(q.model, q.version); m != nil {
		return m
	}
	if !q.draw {
		return nil
	}
	m, err := s.drawManifest(ctx, q.model, q.version)
	if err != nil {
		return nil
	}
	return &m
}
