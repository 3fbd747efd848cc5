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

// stallAfter is how long no chunk of the newest version came when it counts as
// not to be had. Chunks come 26 ms apart over the origin's link.
const stallAfter = 700 * time.Millisecond

// nearlyPart is the part of its chunks that a copy may lack to be finished first.
const nearlyPart = 10

// target returns the version to gather where a version is held or served.
func (m *Member) target(model string, held uint64) feed.VersionInfo {
	newest, due := m.wanted(model), m.nextDue(model, held)
	if due.Version() >= newest.Version() {
		return newest
	}
	now := time.Now()
	c := m.copyOf(model, due.Version())
	switch {
	case c == nil && m.stalls(model, newest, now):
		return due
	case c == nil || c.isComplete():
		return newest
	case c.isNearlyComplete() && !c.stalls(now):
		return due
	case !m.stalls(model, newest, now):
		return newest
	case !c.stalls(now):
		return due
	case c.isNearlyComplete() && isDuesTurn(now):
		return due
	}
	return newest
}

// isDuesTurn tells which of two versions is tried while neither comes: the one
// that is nearly complete three times of four, and the newest, since the origin
// may hand out no other.
func isDuesTurn(now time.Time) bool { return now.UnixNano()/int64(stallAfter)%4 != 0 }

// isNearlyComplete tells whether so little is missing that it is worth having
// before the next version: it keeps that one away for a quarter of a second.
func (c *weightsCopy) isNearlyComplete() bool { return nearlyPart*len(c.absent()) <= len(c.chunks) }

// stalls tells whether the rest of a version is nowhere to be had just now. One of
// which nothing is here has been tried since it was heard of, and not since it was
// named: a member that has just started would take any for one that stalls.
func (m *Member) stalls(model string, n feed.VersionInfo, now time.Time) bool {
	c := m.copyOf(model, n.Version())
	if c == nil {
		return now.Sub(n.FirstSeen()) > stallAfter
	}
	return c.stalls(now)
}

// stalls tells whether no chunk came lately and nobody is known to have one of
// those that are not here.
func (c *weightsCopy) stalls(now time.Time) bool {
	if c.isComplete() || c.restedFor(now) <= stallAfter {
		return false
	}
	for _, number := range c.absent() {
		if len(c.knownAt(number)) > 0 {
			return false
		}
	}
	return true
}

// cancelWhenRetargeted ends the gathering of a version, which is ctx, by cancel
// when another one is to be gathered.
func (m *Member) cancelWhenRetargeted(ctx context.Context, cancel context.CancelFunc, model string, version uint64, held func() uint64) {
	_ = daemon.Every(ctx, busyLook, func() {
		if m.target(model, held()).Version() != version {
			cancel()
		}
	})
}
