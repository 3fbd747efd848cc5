// ================================================================
// Manifests. The first member by rendezvous hash fetches a version's manifest from the origin on
// the first query, and all others query it. If it does not answer, the next member is queried.
// Caches precede stagers in the order.
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

// maxManifestQueries is the number of members queried before this one asks the origin itself.
const maxManifestQueries = 3

// findManifest returns the manifest of a version.
func (m *Member) findManifest(ctx context.Context, model string, version uint64) (Manifest, error) {
	if known := m.knownManifest(model, version); known != nil {
		return *known, nil
	}
	own := m.process.Identity.Address()
	queried := 0
	for _, address := range m.manifestOrder(model, version) {
		if address == own || queried == maxManifestQueries {
			break
		}
		if m.peerFailures.isUnavailable(address) {
			continue
		}
		queried++
		r, err := m.query(ctx, address, chunkQuery{model: model, version: version, number: manifestNumber, fetchIfMissing: true})
		if err != nil {
			m.peerFailures.record(address)
			continue
		}
		if r.manifest != nil && r.manifest.isOf(model, version) {
			return *r.manifest, nil
		}
	}
	return m.fetchOriginManifest(ctx, model, version)
}

// isOf reports whether a manifest is one of a model's version.
func (m Manifest) isOf(model string, version uint64) bool {
	return m.model == model && m.version == version && len(m.digests) > 0
}

// manifestOrder returns the members to query for a manifest, in order.
func (m *Member) manifestOrder(model string, version uint64) []string {
	domains, caches := m.members(model)
	order := rankAddresses(slices.Sorted(maps.Keys(domains)), model, version, manifestNumber)
	sort.SliceStable(order, func(i, j int) bool { return caches[order[i]] && !caches[order[j]] })
	return order
}

// fetchOriginManifest fetches a manifest from the origin. Concurrent calls run one at a time and
// share the result.
func (m *Member) fetchOriginManifest(ctx context.Context, model string, version uint64) (Manifest, error) {
	m.manifestLock.Lock()
	defer m.manifestLock.Unlock()
	if manifest := m.originManifests[model]; manifest.version == version {
		return manifest, nil
	}
	origin := m.origin()
	if origin == "" {
		return Manifest{}, failure.New(failure.SourceRefused, "the configuration names no origin")
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	manifest, err := m.protocol.FetchManifest(ctx, origin, model, version)
	if err != nil {
		return manifest, err
	}
	if !manifest.isOf(model, version) {
		return manifest, failure.New(failure.VersionChanged, "the origin returned version %d instead of %d, with %d digests", manifest.version, version, len(manifest.digests))
	}
	m.originManifests[model] = manifest
	_ = level.Info(m.process.Logger).Log("msg", "manifest fetched from the origin", "model", model, "version", version, "chunks", len(manifest.digests))
	return manifest, nil
}

// manifestFor returns a manifest for another member; nil if it is unavailable.
func (m *Member) manifestFor(ctx context.Context, q chunkQuery) *Manifest {
	if known := m.knownManifest(q.model, q.version); known != nil {
		return known
	}
	if !q.fetchIfMissing {
		return nil
	}
	fetched, err := m.fetchOriginManifest(ctx, q.model, q.version)
	if err != nil {
		return nil
	}
	return &fetched
}
