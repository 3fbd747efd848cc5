// ================================================================
// Manifests. The stager that comes first by rendezvous hash draws a version's
// manifest from the origin when it is first asked; all others ask it. When it
// does not answer, the next one in the order is asked. Caches come before
// stagers in the order.
// ================================================================

package staging

import (
	"context"
	"maps"
	"slices"
	"sort"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/failure"
)

// maxManifestQueries is how many others are asked before this stager draws itself.
const maxManifestQueries = 3

// findManifest returns the manifest of a version. Caches are asked before
// stagers.
func (m *Member) findManifest(ctx context.Context, model string, version uint64) (Manifest, error) {
	if found := m.knownManifest(model, version); found != nil {
		return *found, nil
	}
	own := m.process.Identity.Address()
	asked := 0
	for _, address := range m.manifestOrder(model, version) {
		if address == own || asked == maxManifestQueries {
			break
		}
		if m.peerFailures.isUnavailable(address) {
			continue
		}
		asked++
		r, err := m.query(ctx, address, chunkQuery{model: model, version: version, number: manifestNumber, fetchIfMissing: true})
		if err != nil {
			m.peerFailures.record(address)
			continue
		}
		if r.manifest != nil && r.manifest.version == version {
			return *r.manifest, nil
		}
	}
	return m.fetchOriginManifest(ctx, model, version)
}

// manifestOrder returns whom to ask for a manifest, first choice first.
func (m *Member) manifestOrder(model string, version uint64) []string {
	domains, caches := m.members(model)
	order := rankAddresses(slices.Sorted(maps.Keys(domains)), model, version, manifestNumber)
	sort.SliceStable(order, func(i, j int) bool { return caches[order[i]] && !caches[order[j]] })
	return order
}

// fetchOriginManifest draws a manifest from the origin, one at a time.
func (m *Member) fetchOriginManifest(ctx context.Context, model string, version uint64) (Manifest, error) {
	m.manifestLock.Lock()
	defer m.manifestLock.Unlock()
	if drawn := m.originManifests[model]; drawn.version == version {
		return drawn, nil
	}
	origin := m.origin()
	if origin == "" {
		return Manifest{}, failure.New(failure.SourceRefused, "the configuration names no origin")
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	drawn, err := m.protocol.FetchManifest(ctx, origin, model, version)
	if err != nil {
		return drawn, err
	}
	if drawn.version != version || len(drawn.digests) == 0 {
		return drawn, failure.New(failure.VersionChanged, "the origin answers version %d for %d, with %d digests", drawn.version, version, len(drawn.digests))
	}
	m.originManifests[model] = drawn
	_ = level.Info(m.process.Logger).Log("msg", "manifest drawn", "model", model, "version", version, "chunks", len(drawn.digests))
	return drawn, nil
}

// manifestFor returns a manifest for another member; nil when it is not to be
// had.
func (m *Member) manifestFor(ctx context.Context, q chunkQuery) *Manifest {
	if known := m.knownManifest(q.model, q.version); known != nil {
		return known
	}
	if !q.fetchIfMissing {
		return nil
	}
	drawn, err := m.fetchOriginManifest(ctx, q.model, q.version)
	if err != nil {
		return nil
	}
	return &drawn
}
