// ================================================================
// Which version of a model's weights a request may use. Shortly after a version
// was named both the old and the new one serve; from some time before the end
// of the agreed time on only the new one does, and the backend server is told
// so, since a request may wait there while the weights change.
// ================================================================

package gateway

import (
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// versionMargin is how long before the end of the agreed time the old version
// gets no more requests: they may wait that long at the backend server.
const versionMargin = 1200 * time.Millisecond

// namedWeights is a named version and when it was named.
type namedWeights struct {
	version uint64
	since   time.Time
}

// versionTable holds the named version of each model.
type versionTable struct {
	mu     sync.RWMutex
	models map[string]namedWeights
}

func newVersionTable() *versionTable { return &versionTable{models: map[string]namedWeights{}} }

// hear takes the versions that a control node told.
func (t *versionTable) hear(all []feed.Weights) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range all {
		held := t.models[w.Model()]
		since := time.Now().Add(-w.Age())
		switch {
		case w.Version() > held.version:
			t.models[w.Model()] = namedWeights{w.Version(), since}
		case w.Version() == held.version && since.Before(held.since):
			// Another node applied it earlier.
			t.models[w.Model()] = namedWeights{w.Version(), since}
		}
	}
}

func (t *versionTable) named(model string) namedWeights {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.models[model]
}

// leastVersion returns the least version that a request of a model may use.
func (g *Gateway) leastVersion(model string) uint64 {
	named := g.versions.named(model)
	if named.version == 0 || time.Since(named.since) < g.settings.WeightsWithin()-versionMargin {
		return 0
	}
	return named.version
}

// expectedVersion returns the version that a backend server is told to insist
// on; 0 for none.
func (g *Gateway) expectedVersion(q *request, b *backend) uint64 {
	if q.service.Engine().Slots() == 0 || q.call.Model == "" {
		return 0
	}
	return g.leastVersion(q.call.Model)
}
