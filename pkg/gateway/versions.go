// ================================================================
// Which version of a model's weights a request may use. Shortly after a version
// was named both the old and the new one serve; from some time before the end
// of the agreed time on only the new one does. How long before depends on how
// long requests took to begin at the backend server of late: one that waits
// there must not begin on the old version after the agreed time.
//
// Rejected: the same margin for all. 1.2 s took old engines out too early when
// all of them were quick, and was too short behind a narrow link.
// ================================================================

package gateway

import (
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

const (
	// leastMargin and mostMargin bound how long before the end of the agreed
	// time an old version gets no more requests.
	leastMargin = 300 * time.Millisecond
	mostMargin  = 3 * time.Second
	// lapseMargin is how long before that a request that has not begun on an
	// old version is taken back.
	lapseMargin = 600 * time.Millisecond
)

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

// lapses returns when the time of a version ends: when the oldest one named
// after it is due; the zero time while none is.
func (t *versionTable) lapses(model string, version uint64, within time.Duration) time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, n := range t.models[model] {
		if n.version > version {
			return n.since.Add(within)
		}
	}
	return time.Time{}
}

// leastVersion returns the least version that a request may use at a backend
// server where requests took begins to begin.
func (g *Gateway) leastVersion(model string, begins time.Duration) uint64 {
	margin := min(leastMargin+begins, mostMargin)
	return g.versions.due(model, g.settings.WeightsWithin()-margin, time.Now())
}

// expectedVersion returns the version that a backend server is told to insist
// on: the newest named one where it serves that; 0 for none, since a backend
// server may go on to a later version while the request waits there.
func (g *Gateway) expectedVersion(q *request, b *backend) uint64 {
	layers := q.service.Engine().Layers()
	if q.service.Engine().Slots() == 0 || q.call.Model == "" {
		return 0
	}
	newest := g.versions.due(q.call.Model, 0, time.Now())
	if newest > 0 && b.servedVersion(q.call.Model, max(layers, 1)) == newest {
		return newest
	}
	return 0
}
