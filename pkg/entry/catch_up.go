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
	// catchUpPoll is the time between two rounds over the entries.
	catchUpPoll = 100 * time.Millisecond
	// catchUpAlone is how long a quorum is waited for.
	catchUpAlone = 5 * time.Second
	// catchUpCall bounds the question to one entry.
	catchUpCall = time.Second
)

// catchUp returns once this entry may serve.
func (e *Entry) catchUp(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		target, confirmed, known := e.askRevision(ctx)
		enough := confirmed || known && time.Since(began) > catchUpAlone
		if enough && e.state.Revision() >= target {
			e.caughtUp.Store(true)
			_ = level.Info(e.process.Logger).Log("msg", "caught up", "revision", e.state.Revision(), "confirmed", confirmed)
			return
		}
		if !sleep(ctx, catchUpPoll) {
			return
		}
	}
}

// askRevision returns the revision to reach: what a quorum confirms, or else
// the highest that anyone in reach has.
func (e *Entry) askRevision(ctx context.Context) (revision uint64, confirmed, known bool) {
	if e.runner != nil {
		readContext, cancel := context.WithTimeout(ctx, catchUpCall)
		defer cancel()
		if e.runner.ConfirmedRead(readContext) == nil {
			return e.state.Revision(), true, true
		}
		revision, known = e.state.Revision(), e.state.Revision() > 0
	}
	for _, address := range e.settings.Entries() {
		for _, ask := range []bool{true, false} {
			var q contract.QueryResult
			callContext, cancel := context.WithTimeout(ctx, catchUpCall)
			query := contract.NewQuery(contract.KindSource, "-", ask)
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

// mayServe refuses callers until the entry has caught up.
func (e *Entry) mayServe() error {
	if e.caughtUp.Load() && e.state.Revision() > 0 {
		return nil
	}
	return failure.New(failure.NotReady, "this entry has just started and has no confirmed configuration yet")
}

// ServedRevision returns the configuration revision that callers are served
// with; false while the entry serves nobody.
func (e *Entry) ServedRevision() (uint64, bool) { return e.state.Revision(), e.caughtUp.Load() }
