// ================================================================
// Changes of a table of named versions: a version that was not known, or a greater age. Each is
// logged, because the moment at which a process learns the age of a version decides when it stops
// using engines on the previous one, and cannot be observed from outside.
// ================================================================

package feed

import (
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// minAgeIncrease is the least increase of an age that is sent at once and logged. Ages differ by
// the milliseconds that each Update takes on its way, and without a bound nodes would wake each
// other for these. Gateways stop using the old weights six times this long before the agreed time
// is over.
const minAgeIncrease = 50 * time.Millisecond

// VersionChange is one change of a VersionTable.
type VersionChange struct {
	model       string
	version     uint64
	age         time.Duration // the new age
	ageIncrease time.Duration // 0 for a new version
	isNew       bool          // the version was not known before
}

// IsNew reports whether the version was not known before.
func (c VersionChange) IsNew() bool { return c.isNew }

// IsSignificant reports whether the change is more than the transit time of an Update.
func (c VersionChange) IsSignificant() bool { return c.isNew || c.ageIncrease >= minAgeIncrease }

// HasNewVersion reports whether one of the changes adds a version.
func HasNewVersion(changes []VersionChange) bool {
	return slices.ContainsFunc(changes, VersionChange.IsNew)
}

// LogVersionChanges logs the significant changes. The source is the kind of process that sent them,
// and from is its address.
func LogVersionChanges(logger log.Logger, changes []VersionChange, source, from string) {
	for _, c := range changes {
		if c.IsSignificant() {
			_ = level.Info(logger).Log("msg", "age of a named version", "model", c.model, "version", c.version,
				"age_ms", c.age.Milliseconds(), "new", c.isNew, "moved_ms", c.ageIncrease.Milliseconds(), "source", source, "from", from)
		}
	}
}
