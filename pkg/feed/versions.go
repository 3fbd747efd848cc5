// ================================================================
// The named versions of each model's weights, oldest first, and since when each
// is named at the latest. A version that was named before the last one is still
// due at its own time, so the earlier ones are remembered and told too.
//
// An age is a lower bound: the time since somebody first knew of the version, on a
// clock that runs steadily, and each hand-over only loses by it. So the earliest
// time that anybody alive knows is the nearest to the truth, and whoever starts
// anew takes it from the others instead of its own first sight.
//
// Rejected: the time of day in the log. Clocks of machines differ and step by
// seconds, and a version would be due before it was named, or much too late.
// ================================================================

package feed

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/settings"
)

const (
	// maxNamed bounds the versions that are remembered of a model.
	maxNamed = 16
	// spentAfter is how long ago a version's successor was named when it is told no
	// more: nobody can wait for it once the longest agreed time of the successor is
	// over, and twice that leaves room for ages that are told too young.
	spentAfter = 2 * settings.LongestWithin
)

// Named is a named version and since when it is named. The zero value is none.
type Named struct {
	version uint64
	since   time.Time
	heard   time.Time
}

// NewNamed returns a version named at a time.
func NewNamed(version uint64, since time.Time) Named { return Named{version: version, since: since} }

// Version returns the version.
func (n Named) Version() uint64 { return n.version }

// Since returns when it was named; the zero time when that is not known.
func (n Named) Since() time.Time { return n.since }

// Heard returns when it was first heard of here; the zero time when that is not
// known.
func (n Named) Heard() time.Time { return n.heard }

func compareNamed(n Named, version uint64) int { return cmp.Compare(n.version, version) }

// Versions holds the named versions of all models. It is safe for concurrent
// use.
type Versions struct {
	mu     sync.RWMutex
	models map[string][]Named
}

// NewVersions returns a table without versions.
func NewVersions() *Versions { return &Versions{models: map[string][]Named{}} }

// Hear takes named versions and tells whether one of them was not known.
func (t *Versions) Hear(all []Weights, now time.Time) (newer bool) { return HasNew(t.Take(all, now)) }

// Take takes named versions, those told late in their place, and returns what
// changed by that.
func (t *Versions) Take(all []Weights, now time.Time) []Move { return t.take(all, now, true) }

// Raise takes the ages of those versions only that are held, and returns what
// changed by that.
func (t *Versions) Raise(all []Weights, now time.Time) []Move { return t.take(all, now, false) }

func (t *Versions) take(all []Weights, now time.Time, insert bool) (moves []Move) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range all {
		named := t.models[w.model]
		at, held := slices.BinarySearchFunc(named, w.version, compareNamed)
		since := now.Add(-w.age)
		switch {
		case held:
			moves = append(moves, makeOlder(w.model, named[:at+1], since, now)...)
		case !insert, at == 0 && len(named) >= maxNamed:
			// What fell out of a full table is told again with each Update.
		default:
			if at < len(named) && named[at].since.Before(since) {
				since = named[at].since
			}
			moves = append(moves, Move{model: w.model, version: w.version, age: now.Sub(since), isNew: true})
			moves = append(moves, makeOlder(w.model, named[:at], since, now)...)
			named = slices.Insert(named, at, Named{w.version, since, now})
			t.models[w.model] = named[max(0, len(named)-maxNamed):]
		}
	}
	return moves
}

// makeOlder has the last of some versions, and with it those before, be named at a
// time at the latest: versions are named in their order.
func makeOlder(model string, named []Named, since, now time.Time) (moves []Move) {
	for i := len(named) - 1; i >= 0 && since.Before(named[i].since); i-- {
		moves = append(moves, Move{model: model, version: named[i].version, age: now.Sub(since), by: named[i].since.Sub(since)})
		named[i].since = since
	}
	return moves
}

// Suspended makes all versions older by how long the VM was suspended: the clock by which
// their ages are counted stood still.
func (t *Versions) Suspended(by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, named := range t.models {
		for i := range named {
			named[i].since = named[i].since.Add(-by)
		}
	}
}

// Weights returns the versions that somebody may still wait for, by model and
// oldest first, with their ages.
func (t *Versions) Weights(now time.Time) (all []Weights) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, model := range slices.Sorted(maps.Keys(t.models)) {
		named := t.models[model]
		for i, n := range named {
			if i+1 < len(named) && now.Sub(named[i+1].since) > spentAfter {
				continue
			}
			all = append(all, Weights{model, n.version, now.Sub(n.since)})
		}
	}
	return all
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
