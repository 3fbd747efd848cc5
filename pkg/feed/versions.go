// ================================================================
// The named versions of each model's weights, oldest first, and the latest possible time at which
// each was named. An earlier version still becomes due at its own time after a later one is named,
// so earlier versions are kept and sent too.
//
// An age is a lower bound: the time since any process first knew of the version, on a monotonic
// clock, and each transfer can only reduce it. So the greatest age that any running process knows
// is closest to the truth, and a restarted process takes it from the others instead of counting
// from when it first saw the version.
//
// Wall-clock times in the replicated log would not do: clocks of machines differ and step by
// seconds, and a version would become due before it was named, or much too late.
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
	// maxVersionsPerModel bounds the versions that are kept of a model.
	maxVersionsPerModel = 16
	// obsoleteAfter is the age of a version's successor from which the version is not sent any
	// more. No process waits for it once the longest agreed time of the successor is over; the
	// factor of two leaves room for ages that are too low.
	obsoleteAfter = 2 * settings.MaxRolloutLimit
)

// VersionInfo is a named version and when it was named. The zero value is no version.
type VersionInfo struct {
	version   uint64
	since     time.Time
	firstSeen time.Time
}

// NewVersionInfo returns a version that was named at the given time.
func NewVersionInfo(version uint64, since time.Time) VersionInfo {
	return VersionInfo{version: version, since: since}
}

// Version returns the version number; 0 for the zero value.
func (n VersionInfo) Version() uint64 { return n.version }

// NamedAt returns when the version was named; the zero time if not known.
func (n VersionInfo) NamedAt() time.Time { return n.since }

// FirstSeen returns when this process first knew of the version; the zero time if not known.
func (n VersionInfo) FirstSeen() time.Time { return n.firstSeen }

func compareVersion(n VersionInfo, version uint64) int { return cmp.Compare(n.version, version) }

// VersionTable holds the named versions of all models. It is safe for concurrent use.
type VersionTable struct {
	mu     sync.RWMutex
	models map[string][]VersionInfo
}

// NewVersionTable returns an empty table.
func NewVersionTable() *VersionTable { return &VersionTable{models: map[string][]VersionInfo{}} }

// Add merges named versions into the table and reports whether one of them was not known.
func (t *VersionTable) Add(versions []NamedVersion, now time.Time) (hasNew bool) {
	return HasNewVersion(t.Merge(versions, now))
}

// Merge merges named versions into the table, in order of version whenever they arrive, and returns
// the changes.
func (t *VersionTable) Merge(versions []NamedVersion, now time.Time) []VersionChange {
	return t.merge(versions, now, true)
}

// MergeAges merges only the ages of versions that the table has, and returns the changes.
func (t *VersionTable) MergeAges(versions []NamedVersion, now time.Time) []VersionChange {
	return t.merge(versions, now, false)
}

func (t *VersionTable) merge(versions []NamedVersion, now time.Time, insert bool) (changes []VersionChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range versions {
		named := t.models[v.model]
		at, found := slices.BinarySearchFunc(named, v.version, compareVersion)
		since := now.Add(-v.age)
		switch {
		case found:
			changes = append(changes, increaseAges(v.model, named[:at+1], since, now)...)
		case !insert, at == 0 && len(named) >= maxVersionsPerModel:
			// A version that was evicted from a full table is sent again with each Update.
		default:
			if at < len(named) && named[at].since.Before(since) {
				since = named[at].since
			}
			changes = append(changes, VersionChange{model: v.model, version: v.version, age: now.Sub(since), isNew: true})
			changes = append(changes, increaseAges(v.model, named[:at], since, now)...)
			named = slices.Insert(named, at, VersionInfo{v.version, since, now})
			t.models[v.model] = named[max(0, len(named)-maxVersionsPerModel):]
		}
	}
	return changes
}

// increaseAges sets the last of some versions, and with it those before, as named at the given time
// or earlier: versions are named in order.
func increaseAges(model string, named []VersionInfo, since, now time.Time) (changes []VersionChange) {
	for i := len(named) - 1; i >= 0 && since.Before(named[i].since); i-- {
		changes = append(changes, VersionChange{model: model, version: named[i].version, age: now.Sub(since), ageIncrease: named[i].since.Sub(since)})
		named[i].since = since
	}
	return changes
}

// AddSuspension adds the time for which the VM was suspended to all ages: the monotonic clock stood
// still.
func (t *VersionTable) AddSuspension(duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, named := range t.models {
		for i := range named {
			named[i].since = named[i].since.Add(-duration)
		}
	}
}

// Current returns the versions that a process may still be waiting for, by model and oldest first,
// with their ages.
func (t *VersionTable) Current(now time.Time) (versions []NamedVersion) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, model := range slices.Sorted(maps.Keys(t.models)) {
		named := t.models[model]
		for i, n := range named {
			if i+1 < len(named) && now.Sub(named[i+1].since) > obsoleteAfter {
				continue
			}
			versions = append(versions, NamedVersion{model, n.version, now.Sub(n.since)})
		}
	}
	return versions
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

// Next returns the oldest version of a model above another. Of the versions above, its time is over
// first.
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

// Due returns the newest version of a model that was named at least age ago; 0 if there is none.
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
