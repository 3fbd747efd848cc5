// ================================================================
// The named versions of each model's weights, as a follower was told of them,
// oldest first. A version that was named before the last one is still due at
// its own time, so the earlier ones are remembered too.
// ================================================================

package feed

import (
	"sync"
	"time"
)

// maxNamed bounds the versions that are remembered of a model.
const maxNamed = 16

// Named is a named version and since when it is named. The zero value is none.
type Named struct {
	version uint64
	since   time.Time
}

// NewNamed returns a version named at a time.
func NewNamed(version uint64, since time.Time) Named { return Named{version, since} }

// Version returns the version.
func (n Named) Version() uint64 { return n.version }

// Since returns when it was named; the zero time when that is not known.
func (n Named) Since() time.Time { return n.since }

// Versions holds the named versions of all models. It is safe for concurrent
// use.
type Versions struct {
	mu     sync.RWMutex
	models map[string][]Named
}

// NewVersions returns a table without versions.
func NewVersions() *Versions { return &Versions{models: map[string][]Named{}} }

// Hear takes the newest versions, as a control node told, and tells whether one
// of them was not known.
func (t *Versions) Hear(all []Weights, now time.Time) (newer bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range all {
		since := now.Add(-w.Age())
		named := t.models[w.Model()]
		last := len(named) - 1
		switch {
		case last < 0 || w.Version() > named[last].version:
			named = append(named, Named{w.Version(), since})
			t.models[w.Model()] = named[max(0, len(named)-maxNamed):]
			newer = true
		case w.Version() == named[last].version && since.Before(named[last].since):
			// This node applied it earlier than the one heard first.
			named[last].since = since
		}
	}
	return newer
}

// Newest returns the newest version of a model.
func (t *Versions) Newest(model string) Named {
	t.mu.RLock()
	defer t.mu.RUnlock()
	named := t.models[model]
	if len(named) == 0 {
		return Named{}
	}
	return named[len(named)-1]
}

// Next returns the oldest version of a model above another: of those that are
// still to come, its time ends first.
func (t *Versions) Next(model string, above uint64) Named {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, n := range t.models[model] {
		if n.version > above {
			return n
		}
	}
	return Named{}
}

// Due returns the newest version of a model that was named at least age ago; 0
// when there is none.
func (t *Versions) Due(model string, age time.Duration, now time.Time) uint64 {
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
