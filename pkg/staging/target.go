// ================================================================
// The choice of the version to download next. It is the newest named version, since engines may
// skip earlier ones. While the newest is unavailable, for instance because the origin is down, it
// is the version that is due first.
// ================================================================

package staging

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
)

// stallTimeout is the time without a chunk of a version after which it counts as unavailable.
// Chunks arrive every 26 ms over the origin's link.
const stallTimeout = 700 * time.Millisecond

// missingDivisor is the inverse of the share of its chunks that a nearly complete copy may lack.
const missingDivisor = 10

// target returns the version to download, given the version that is held or served here.
//
// While the newest version is stalled, the version that is due first is the target. This rule
// prevents the following failure: two versions were named 2 s apart and the origin crashed 0.5 s
// later. All stagers had switched to the second version, although the caches held all of the first,
// and no engine could serve a version in time for 4 s.
//
// The due version is not always the target: that would take 1 s of the engines' links from the
// newest version, and each engine would be updated twice. But a due version that is nearly complete
// is finished. If both versions are stalled and the due one lacks more chunks, the newest is tried:
// an older version that arrived first from a restarted origin was obsolete 0.3 s later and delayed
// the newest by 3 s.
func (m *Member) target(model string, held uint64) feed.VersionInfo {
	newest, due := m.newestNamed(model), m.nextDue(model, held)
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

// isDueVersionPreferred reports whether the due version is tried at a time when both versions are
// stalled. The due version, which is nearly complete, gets three of four periods; the newest gets
// the others, since the origin may serve no other.
func isDueVersionPreferred(now time.Time) bool { return now.UnixNano()/int64(stallTimeout)%4 != 0 }

// isNearlyComplete reports whether so few chunks are missing that the copy is finished before the
// next version; this delays that version by up to a quarter of a second.
func (c *weightsCopy) isNearlyComplete() bool {
	return missingDivisor*len(c.missingNumbers()) <= len(c.chunks)
}

// isStalled reports whether the missing chunks of a version are unavailable now. A version without
// any chunk here counts from when this process first knew of it and not from when it was named:
// otherwise a restarted member would count every version as stalled.
func (m *Member) isStalled(model string, n feed.VersionInfo, now time.Time) bool {
	c := m.copyOf(model, n.Version())
	if c == nil {
		return now.Sub(n.FirstSeen()) > stallTimeout
	}
	return c.isStalled(now)
}

// isStalled reports whether no chunk arrived within stallTimeout and no peer is known to hold a
// missing one.
func (c *weightsCopy) isStalled(now time.Time) bool {
	if c.isComplete() || c.timeSinceLastChunk(now) <= stallTimeout {
		return false
	}
	for _, number := range c.missingNumbers() {
		if len(c.holdersOf(number)) > 0 {
			return false
		}
	}
	return true
}

// cancelOnNewTarget cancels the download of a version, whose context is ctx, once another version
// is the target.
func (m *Member) cancelOnNewTarget(ctx context.Context, cancel context.CancelFunc, model string, version uint64, held func() uint64) {
	_ = daemon.Every(ctx, busyInterval, func() {
		if m.target(model, held()).Version() != version {
			cancel()
		}
	})
}
