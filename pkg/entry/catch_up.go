// ================================================================
// Catching up after a start. After a restart an entry may hold an older configuration
// than before: a voter has to relearn the commit index, and an entry without a disk
// starts empty. It serves no callers until it has the revision that a quorum confirms.
//
// When no quorum is reachable for quorumWaitTimeout, the entry accepts the highest
// revision that it or any reachable entry has, so that a partitioned failure domain
// keeps serving. It then reports its configuration as not confirmed.
// ================================================================

package entry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// catchUpInterval is the delay between two rounds over the entries.
	catchUpInterval = 100 * time.Millisecond
	// quorumWaitTimeout is how long the entry waits for a quorum.
	quorumWaitTimeout = 5 * time.Second
	// revisionCallTimeout bounds the query to one entry.
	revisionCallTimeout = time.Second
)

// catchUp returns once this entry may serve.
func (e *Entry) catchUp(ctx context.Context) {
	start := time.Now()
	for ctx.Err() == nil {
		target, confirmed, known := e.targetRevision(ctx)
		sufficient := confirmed || known && time.Since(start) > quorumWaitTimeout
		if sufficient && e.state.Revision() >= target {
			e.caughtUp.Store(true)
			_ = level.Info(e.process.Logger).Log("msg", "caught up", "revision", e.state.Revision(), "confirmed", confirmed)
			return
		}
		if !sleep(ctx, catchUpInterval) {
			return
		}
	}
}

// targetRevision returns the revision to reach: the one that a quorum confirms, or
// else the highest of this entry and of all reachable ones. known is false when no
// revision was found.
func (e *Entry) targetRevision(ctx context.Context) (revision uint64, confirmed, known bool) {
	if e.runner != nil {
		readContext, cancel := context.WithTimeout(ctx, revisionCallTimeout)
		defer cancel()
		if e.runner.ConfirmedRead(readContext) == nil {
			return e.state.Revision(), true, true
		}
		revision, known = e.state.Revision(), e.state.Revision() > 0
	}
	for _, address := range e.settings.Entries() {
		for _, requireConfirmed := range []bool{true, false} {
			var q contract.QueryResult
			callContext, cancel := context.WithTimeout(ctx, revisionCallTimeout)
			query := contract.NewQuery(contract.KindSource, "-", requireConfirmed)
			err := e.process.Endpoint.Call(callContext, address, link.KindQuery, query, &q)
			cancel()
			if err != nil {
				continue
			}
			if q.Confirmed() {
				return q.Revision(), true, true
			}
			revision, known = max(revision, q.Revision()), true
		}
	}
	return revision, false, known
}

// checkReady returns an error until the entry has caught up.
func (e *Entry) checkReady() error {
	if e.caughtUp.Load() && e.state.Revision() > 0 {
		return nil
	}
	return failure.New(failure.NotReady, "this entry has just started and has no confirmed configuration yet")
}

// ServedRevision returns the configuration revision in use for callers, and whether
// the entry has caught up and serves them.
func (e *Entry) ServedRevision() (uint64, bool) { return e.state.Revision(), e.caughtUp.Load() }
