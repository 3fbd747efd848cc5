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

// versionTable holds the named versions of each model, oldest first: a version
// that was named before the last one is still due at its own time.
type versionTable struct {
	mu     sync.RWMutex
	models map[string][]namedWeights
}

func newVersionTable() *versionTable { return &versionTable{models: map[string][]namedWeights{}} }

// maxNamed bounds the versions that are remembered of a model.
const maxNamed = 16

// hear takes the newest versions, as a control node told.
func (t *versionTable) hear(all []feed.Weights, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range all {
		since := now.Add(-w.Age())
		named := t.models[w.Model()]
		last := len(named) - 1
		switch {
		case last < 0 || w.Version() > named[last].version:
			named = append(named, namedWeights{w.Version(), since})
			t.models[w.Model()] = named[max(0, len(named)-maxNamed):]
		case w.Version() == named[last].version && since.Before(named[last].since):
			// This node applied it earlier than the one heard first.
			named[last].since = since
		}
	}
}

// due returns the newest version of a model that was named at least age ago; 0
// when there is none.
func (t *versionTable) due(model string, age time.Duration, now time.Time) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var version uint64
	for _, n := range t.models[model] {
		if now.Sub(n.since) >= age {
			version = n.version
		}
	}
	return version
}

// leastVersion returns the least version that a request of a model may use.
func (g *Gateway) leastVersion(model string) uint64 {
	return g.versions.due(model, g.settings.WeightsWithin()-versionMargin, time.Now())
}

// expectedVersion returns the version that a request's backend server is told
// to insist on; 0 for none.
func (g *Gateway) expectedVersion(q *request) uint64 {
	if q.service.Engine().Slots() == 0 || q.call.Model == "" {
		return 0
	}
	return g.leastVersion(q.call.Model)
}
