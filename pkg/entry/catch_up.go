// ================================================================
// Catching up after a start. An entry that has just started may hold an older
// configuration than it had in force before: a voter learns anew how far the
// log is committed, and an entry without a disk begins with nothing. It serves
// nobody until it has what a quorum confirms.
//
// When no quorum can be reached it waits a while and then takes the highest
// revision that anyone in reach has, itself included: a domain that is cut off
// goes on serving, and says that its configuration is not confirmed.
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
	// catchUpInterval is the time between two rounds over the entries.
	catchUpInterval = 100 * time.Millisecond
	// quorumWaitTimeout is how long a quorum is waited for.
	quorumWaitTimeout = 5 * time.Second
	// revisionCallTimeout bounds the question to one entry.
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

// targetRevision returns the revision to reach: what a quorum confirms, or else
// the highest that anyone in reach has.
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

// checkReady refuses callers until the entry has caught up.
func (e *Entry) checkReady() error {
	if e.caughtUp.Load() && e.state.Revision() > 0 {
		return nil
	}
	return failure.New(failure.NotReady, "this entry has just started and has no confirmed configuration yet")
}

// ServedRevision returns the configuration revision that callers are served
// with; false while the entry serves nobody.
func (e *Entry) ServedRevision() (uint64, bool) { return e.state.Revision(), e.caughtUp.Load() }
