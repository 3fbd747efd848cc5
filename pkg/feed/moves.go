// ================================================================
// What changed in a table of named versions: a version that was not known, or one
// that is older than was known. Each is a line of the log, since the moment at which
// a process learnt how old a version is decides when it leaves engines on the one
// before, and cannot be told from outside.
// ================================================================

package feed

import (
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// minAgeIncrease is by how much a version must have become older to be told at once and
// to stand in the log: ages differ by the milliseconds that each Update was on its
// way, and nodes would wake each other for these. Gateways leave the old weights
// six times as early before the end of the agreed time.
const minAgeIncrease = 50 * time.Millisecond

// VersionChange is one change.
type VersionChange struct {
	model       string
	version     uint64
	age         time.Duration // as known now
	ageIncrease time.Duration // how much older it became
	isNew       bool          // it was not known
}

// IsNew tells whether the version was not known before.
func (m VersionChange) IsNew() bool { return m.isNew }

// IsSignificant tells whether the change is more than the way of an Update makes.
func (m VersionChange) IsSignificant() bool { return m.isNew || m.ageIncrease >= minAgeIncrease }

// HasNewVersion tells whether a version was not known before.
func HasNewVersion(moves []VersionChange) bool {
	return slices.ContainsFunc(moves, VersionChange.IsNew)
}

// LogVersionChanges logs the changes that count. source says what kind of teller they came
// from, and from which one.
func LogVersionChanges(logger log.Logger, moves []VersionChange, source, from string) {
	for _, m := range moves {
		if m.IsSignificant() {
			_ = level.Info(logger).Log("msg", "age of a named version", "model", m.model, "version", m.version,
				"age_ms", m.age.Milliseconds(), "new", m.isNew, "moved_ms", m.ageIncrease.Milliseconds(), "source", source, "from", from)
		}
	}
}
