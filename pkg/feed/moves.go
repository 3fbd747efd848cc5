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

// leastMove is by how much a version must have become older to be told at once and
// to stand in the log: ages differ by the milliseconds that each Update was on its
// way, and nodes would wake each other for these. Gateways leave the old weights
// six times as early before the end of the agreed time.
const leastMove = 50 * time.Millisecond

// Move is one change.
type Move struct {
	model   string
	version uint64
	age     time.Duration // as known now
	by      time.Duration // how much older it became
	isNew   bool          // it was not known
}

// IsNew tells whether the version was not known before.
func (m Move) IsNew() bool { return m.isNew }

// Counts tells whether the change is more than the way of an Update makes.
func (m Move) Counts() bool { return m.isNew || m.by >= leastMove }

// HasNew tells whether a version was not known before.
func HasNew(moves []Move) bool { return slices.ContainsFunc(moves, Move.IsNew) }

// LogMoves logs the changes that count. source says what kind of teller they came
// from, and from which one.
func LogMoves(logger log.Logger, moves []Move, source, from string) {
	for _, m := range moves {
		if m.Counts() {
			_ = level.Info(logger).Log("msg", "age of a named version", "model", m.model, "version", m.version,
				"age_ms", m.age.Milliseconds(), "new", m.isNew, "moved_ms", m.by.Milliseconds(), "source", source, "from", from)
		}
	}
}
