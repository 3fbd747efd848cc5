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
	// maxVersionsPerModel bounds the versions that are remembered of a model.
	maxVersionsPerModel = 16
	// obsoleteAfter is how long ago a version's successor was named when it is told no
	// more: nobody can wait for it once the longest agreed time of the successor is
	// over, and twice that leaves room for ages that are told too young.
	obsoleteAfter = 2 * settings.LongestWithin
)

// VersionInfo is a named version and since when it is named. The zero value is none.
type VersionInfo struct {
	version   uint64
	since     time.Time
	firstSeen time.Time
}

// NewVersionInfo returns a version named at a time.
func NewVersionInfo(version uint64, since time.Time) VersionInfo {
	return VersionInfo{version: version, since: since}
}

// Version returns the version.
func (n VersionInfo) Version() uint64 { return n.version }

// Since returns when it was named; the zero time when that is not known.
func (n VersionInfo) Since() time.Time { return n.since }

// FirstSeen returns when it was first heard of here; the zero time when that is not
// known.
func (n VersionInfo) FirstSeen() time.Time { return n.firstSeen }

func compareVersion(n VersionInfo, version uint64) int { return cmp.Compare(n.version, version) }

// VersionTable holds the named versions of all models. It is safe for concurrent
// use.
type VersionTable struct {
	mu     sync.RWMutex
	models map[string][]VersionInfo
}

// NewVersionTable returns a table without versions.
func NewVersionTable() *VersionTable { return &VersionTable{models: map[string][]VersionInfo{}} }

// Add takes named versions and tells whether one of them was not known.
func (t *VersionTable) Add(all []NamedVersion, now time.Time) (newer bool) {
	return HasNewVersion(t.Merge(all, now))
}

// Merge takes named versions, those told late in their place, and returns what
// changed by that.
func (t *VersionTable) Merge(all []NamedVersion, now time.Time) []VersionChange {
	return t.merge(all, now, true)
}

// MergeAges takes the ages of those versions only that are held, and returns what
// changed by that.
func (t *VersionTable) MergeAges(all []NamedVersion, now time.Time) []VersionChange {
	return t.merge(all, now, false)
}

func (t *VersionTable) merge(all []NamedVersion, now time.Time, insert bool) (moves []VersionChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range all {
		named := t.models[w.model]
		at, held := slices.BinarySearchFunc(named, w.version, compareVersion)
		since := now.Add(-w.age)
		switch {
		case held:
			moves = append(moves, increaseAges(w.model, named[:at+1], since, now)...)
		case !insert, at == 0 && len(named) >= maxVersionsPerModel:
			// What fell out of a full table is told again with each Update.
		default:
			if at < len(named) && named[at].since.Before(since) {
				since = named[at].since
			}
			moves = append(moves, VersionChange{model: w.model, version: w.version, age: now.Sub(since), isNew: true})
			moves = append(moves, increaseAges(w.model, named[:at], since, now)...)
			named = slices.Insert(named, at, VersionInfo{w.version, since, now})
			t.models[w.model] = named[max(0, len(named)-maxVersionsPerModel):]
		}
	}
	return moves
}

// increaseAges has the last of some versions, and with it those before, be named at a
// time at the latest: versions are named in their order.
func increaseAges(model string, named []VersionInfo, since, now time.Time) (moves []VersionChange) {
	for i := len(named) - 1; i >= 0 && since.Before(named[i].since); i-- {
		moves = append(moves, VersionChange{model: model, version: named[i].version, age: now.Sub(since), ageIncrease: named[i].since.Sub(since)})
		named[i].since = since
	}
	return moves
}

// AddSuspension makes all versions older by how long the VM was suspended: the clock by which
// their ages are counted stood still.
func (t *VersionTable) AddSuspension(by time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, named := range t.models {
		for i := range named {
			named[i].since = named[i].since.Add(-by)
		}
	}
}

// Current returns the versions that somebody may still wait for, by model and
// oldest first, with their ages.
func (t *VersionTable) Current(now time.Time) (all []NamedVersion) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, model := range slices.Sorted(maps.Keys(t.models)) {
		named := t.models[model]
		for i, n := range named {
			if i+1 < len(named) && now.Sub(named[i+1].since) > obsoleteAfter {
				continue
			}
			all = append(all, NamedVersion{model, n.version, now.Sub(n.since)})
		}
	}
	return all
}

// Newest returns the newest version of a model.
func (t *VersionTable) Newest(model string) VersionInfo {
	t.mu.RLock()
	defer t.mu.RUnlock()
	named := t.models[model]
	if len(named) == 0 {
		return VersionInfo{}
	}
	return named[len(named)-1]
}

// Next returns the oldest version of a model above another: of those that are
// still to come, its time ends first.
func (t *VersionTable) Next(model string, above uint64) VersionInfo {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, n := range t.models[model] {
		if n.version > above {
			return n
		}
	}
	return VersionInfo{}
}

// Due returns the newest version of a model that was named at least age ago; 0
// when there is none.
func (t *VersionTable) Due(model string, age time.Duration, now time.Time) uint64 {
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
