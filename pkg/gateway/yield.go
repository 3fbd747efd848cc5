// ================================================================
// Priority of first attempts over requests that lost a silent connection. The engines don't notice
// the silence and run the lost requests to the end, so a retry takes a second slot for as long as
// the request runs. An answer that is late already gets little worse by one more second, but a
// first attempt without a slot is refused. So a retry after a silent connection takes only slots
// that no other request waits for, and waits for one until its lost run must be over.
//
// A stream that broke for another reason takes any slot. It waits for a slot, and for a retry
// from the budget, until its deadline or until its caller disconnects, as long as a known server may
// take it and attempts don't fail one after the other. It is not ended because its caller has been
// without an event for long: a caller that gives up closes the connection, and one that has not can
// still get the rest of the answer.
//
// Retries whose next event can still be in time don't queue at engines as other requests do: most
// are rejected there, which spends the retry budget of all.
// ================================================================

package gateway

import (
	"slices"
	"time"

	"github.com/tidepost/tidepost/pkg/placement"
)

const (
	// yieldRetryInterval is the time between two searches for a free slot. Up to half as much is
	// added at random, so that waiting requests don't search at the same time.
	yieldRetryInterval = 100 * time.Millisecond
	// yieldReservationAttempts is how many engines each search asks. All requests that were lost
	// together ask, and each reservation request is work for a stager.
	yieldReservationAttempts = 2
	// maxYield bounds the wait for a free slot.
	maxYield = 1500 * time.Millisecond
	// resumeLatency is the time from a granted slot to the next event: the engine repeats the
	// prefill behind the prompts of others. At least this much of the caller's timeout must be
	// left.
	resumeLatency = 500 * time.Millisecond
)

// yields reports whether the request takes only a free slot, because its lost run may still hold
// one and there is time to run it afterwards.
func (q *request) yields(now time.Time) bool {
	return !q.runLostAt.IsZero() && now.Sub(q.runLostAt) < min(q.maxRun, maxYield) && q.localDeadline().Sub(now) > q.maxRun
}

// awaitBackend chooses a backend server. While the request yields it takes only a free slot,
// unless no server is available. A started stream also waits for a server to become available.
func (g *Gateway) awaitBackend(q *request, w requirements) (b *backend, loaded bool) {
	free := w
	free.maxWait = q.maxWait()
	for q.yields(time.Now()) && q.ctx.Err() == nil {
		if b, loaded = g.chooseBeforeExpiry(q, free); b != nil {
			return b, loaded
		}
		if !loaded {
			break
		}
		g.pauseBeforeRecheck(q)
	}
	for {
		b, loaded = g.chooseBeforeExpiry(q, g.relaxNearCallerTimeout(q, w))
		if b != nil || !g.mayKeepWaiting(q, time.Now()) {
			return b, loaded
		}
		g.pauseBeforeRecheck(q)
	}
}

// relaxNearCallerTimeout allows a started stream without time to wait for another server one where it may
// begin too late.
func (g *Gateway) relaxNearCallerTimeout(q *request, w requirements) requirements {
	if g.isNearCallerTimeout(q, time.Now()) {
		w.firstEventLatency = 0
	}
	return w
}

// isNearCallerTimeout reports whether the request is a started stream whose caller is expected to leave
// before its next event. The caller may stay longer than expected.
func (g *Gateway) isNearCallerTimeout(q *request, now time.Time) bool {
	return q.headWritten && g.callerTimeoutLeft(q, now) <= resumeLatency
}

// ensureRetry takes a retry from the budget for the next attempt, unless the request already
// holds one. It returns false if there is none.
func (g *Gateway) ensureRetry(q *request) bool {
	if q.retryTaken.Load() {
		return true
	}
	q.uncharged = false
	q.retryTaken.Store(g.awaitRetry(q))
	return q.retryTaken.Load()
}

// awaitRetry takes a retry from the budget. A started stream waits for one as it does for a slot.
// It returns false if there is none.
func (g *Gateway) awaitRetry(q *request) bool {
	for {
		if g.budget.takeRetryWithin(q.service.Name(), g.countGateways(), q.retryShare()) || g.borrowRetry(q) {
			return true
		}
		if !g.mayKeepWaiting(q, time.Now()) {
			return false
		}
		g.pauseBeforeRecheck(q)
	}
}

// retryShare is the share of the retry budget that the request may use.
func (q *request) retryShare() float64 {
	if q.headWritten {
		return 1
	}
	return unstartedRetryShare
}

// pauseBeforeRecheck pauses between two searches for a slot or a retry.
func (g *Gateway) pauseBeforeRecheck(q *request) { g.pauseWithJitter(q, yieldRetryInterval) }

// pauseWithJitter pauses for d and up to half as much again at random. The request holds no permit meanwhile:
// permits of many waiting requests, when used at once, would exceed the limit of their server.
func (g *Gateway) pauseWithJitter(q *request, d time.Duration) {
	g.returnPermit(q)
	select {
	case <-q.ctx.Done():
	case <-time.After(d + time.Duration(g.random()*float64(d)/2)):
	}
}

// mayKeepWaiting reports whether the request is a started stream that may still be resumed: its
// caller has part of the answer, so a refusal can't be sent, and is still connected. Engines that
// broke it off for an order or were full accept it some 100 ms later. Where that is unlikely it waits no
// longer than its caller is expected to.
func (g *Gateway) mayKeepWaiting(q *request, now time.Time) bool {
	if !q.headWritten || q.ctx.Err() != nil || q.localDeadline().Sub(now) <= minAttemptTime {
		return false
	}
	return !g.isNearCallerTimeout(q, now) || !q.failsRepeatedly() && g.hasServerLeft(q, now)
}

// failsRepeatedly reports whether as many attempts as the route allows have ended without an event that
// the caller lacks, one after the other. Each has used up a retry that other requests may need.
func (q *request) failsRepeatedly() bool {
	const withEvents = 1 // the attempt that brought the last event
	return q.unknownOutcomes-q.outcomesAtEvent-withEvents >= q.route.MaxAttempts()
}

// hasServerLeft reports whether a known backend server may take the request, now or once it is
// reachable, has a slot and serves a usable version.
func (g *Gateway) hasServerLeft(q *request, now time.Time) bool {
	w := g.requirementsFor(q)
	return slices.ContainsFunc(g.backends.forService(w.service), func(b *backend) bool {
		l := b.load(now)
		return !w.excludes(b) && w.allowsBuild(b) && !l.leaves() && g.placement.Decide(w.constraint, l.domain) == placement.Allowed
	})
}

// callerTimeoutLeft is how much longer the caller of a started stream is expected to wait for its
// next event; negative if it has waited longer than expected.
func (g *Gateway) callerTimeoutLeft(q *request, now time.Time) time.Duration {
	return g.callerTimeout(q) - now.Sub(q.lastEventAt)
}

// callerTimeout is how long a caller waits for the next event of a stream.
func (g *Gateway) callerTimeout(q *request) time.Duration {
	return g.protocol.StreamIdleTimeout(q.route.ResponseObjective(), q.route.GapObjective())
}

// chooseBeforeExpiry prefers a backend server where the request ends before the version there
// expires, then one where it may run past the expiry. A retry goes first to a server without a
// pending weights order: if it breaks off again, no attempt is left.
func (g *Gateway) chooseBeforeExpiry(q *request, w requirements) (b *backend, loaded bool) {
	if next := g.versions.Next(q.model, q.versionExpiry.served); q.sent > 0 && next.Version() > 0 {
		newest := w
		newest.minVersion = func(_, _ time.Duration) uint64 { return g.versions.Due(q.model, 0, time.Now()) }
		if b, loaded = g.chooseWithReservation(q, newest); b != nil {
			return b, loaded
		}
	}
	if b, loaded = g.chooseWithReservation(q, w); b != nil || !g.mayRunPastExpiry(q) {
		return b, loaded
	}
	return g.chooseWithReservation(q, g.allowRunPastExpiry(q, w))
}
