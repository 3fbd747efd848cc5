// ================================================================
// Which version to gather next. The newest named one, since engines may skip
// those between; but while that one can't be had, for instance because the
// origin is down, the one whose time ends first.
//
// Two versions were named 2 s apart and the origin crashed 0.5 s later: all
// stagers had left the first, which was whole on the caches, for the second,
// and no engine could serve for 4 s. To finish the first one always is worse: it
// takes 1 s of the engines' links from the second, and each engine rolls twice.
// But one that lacks a tenth or less is finished. Where neither can be had and more
// is missing, the newest is tried: an older one that came first when the origin was
// back was over 0.3 s later, and kept the newest 3 s longer away.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
)

// stallTimeout is how long no chunk of the newest version came when it counts as
// not to be had. Chunks come 26 ms apart over the origin's link.
const stallTimeout = 700 * time.Millisecond

// missingDivisor is the part of its chunks that a copy may lack to be finished first.
const missingDivisor = 10

// target returns the version to gather where a version is held or served.
func (m *Member) target(model string, held uint64) feed.VersionInfo {
	newest, due := m.wanted(model), m.nextDue(model, held)
	if due.Version() >= newest.Version() {
		return newest
	}
	now := time.Now()
	c := m.copyOf(model, due.Version())
	switch {
	case c == nil && m.isStalled(model, newest, now):
		return due
	case c == nil || c.isComplete():
		return newest
	case c.isNearlyComplete() && !c.isStalled(now):
		return due
	case !m.isStalled(model, newest, now):
		return newest
	case !c.isStalled(now):
		return due
	case c.isNearlyComplete() && isDueVersionPreferred(now):
		return due
	}
	return newest
}

// isDueVersionPreferred tells which of two versions is tried while neither comes: the one
// that is nearly complete three times of four, and the newest, since the origin
// may hand out no other.
func isDueVersionPreferred(now time.Time) bool { return now.UnixNano()/int64(stallTimeout)%4 != 0 }

// isNearlyComplete tells whether so little is missing that it is worth having
// before the next version: it keeps that one away for a quarter of a second.
func (c *weightsCopy) isNearlyComplete() bool { return missingDivisor*len(c.absent()) <= len(c.chunks) }

// isStalled tells whether the rest of a version is nowhere to be had just now. One of
// which nothing is here has been tried since it was heard of, and not since it was
// named: a member that has just started would take any for one that stalls.
func (m *Member) isStalled(model string, n feed.VersionInfo, now time.Time) bool {
	c := m.copyOf(model, n.Version())
	if c == nil {
		return now.Sub(n.FirstSeen()) > stallTimeout
	}
	return c.isStalled(now)
}

// isStalled tells whether no chunk came lately and nobody is known to have one of
// those that are not here.
func (c *weightsCopy) isStalled(now time.Time) bool {
	if c.isComplete() || c.timeSinceLastChunk(now) <= stallTimeout {
		return false
	}
	for _, number := range c.absent() {
		if len(c.holdersOf(number)) > 0 {
			return false
		}
	}
	return true
}

// cancelOnNewTarget ends the gathering of a version, which is ctx, by cancel
// when another one is to be gathered.
func (m *Member) cancelOnNewTarget(ctx context.Context, cancel context.CancelFunc, model string, version uint64, held func() uint64) {
	_ = daemon.Every(ctx, busyInterval, func() {
		if m.target(model, held()).Version() != version {
			cancel()
		}
	})
}
