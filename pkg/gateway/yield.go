// ================================================================
// Requests whose connections fell silent give way to first tries. Their engines know
// nothing of the silence and run them to the end, so for as long as a request runs each of
// them would take two places. What is late is worth the same a second later; a first try
// that finds no place is not. So they take places that nobody waits for, at once where there
// are any, and wait for others until their lost runs must be over.
//
// A stream that was broken off otherwise takes any place, and waits for one, and for a repeat
// in the budget, as long as its caller does: without them its connection would close.
//
// Rejected: those whose next event can still be in time queue at engines as others do. Most
// are turned away there, which spends the repeats of all.
// ================================================================

package gateway

import (
	"time"
)

const (
	// yieldRetryInterval is the time between two looks for a place that nobody waits for, and half
	// as much again by lot, so that those who wait do not ask together.
	yieldRetryInterval = 100 * time.Millisecond
	// yieldReservationAttempts is how many engines are asked at each: all that are lost at one moment
	// ask, and each question is work for a stager.
	yieldReservationAttempts = 2
	// maxYield bounds the wait for a place that nobody waits for.
	maxYield = 1500 * time.Millisecond
	// resumeLatency is how long it takes from a place to the next event: the engine reads
	// the prompt anew, behind those of others. So much is left of its caller's patience.
	resumeLatency = 500 * time.Millisecond
)

// yields tells whether the request takes only a place that nobody else waits for: its lost
// run may still hold one, and there is time enough to run it afterwards.
func (q *request) yields(now time.Time) bool {
	return !q.runLostAt.IsZero() && now.Sub(q.runLostAt) < min(q.maxRun, maxYield) && q.localDeadline().Sub(now) > q.maxRun
}

// awaitBackend chooses a place; while the request yields only one that nobody waits for, unless
// nobody serves. A stream under way waits for somebody to serve, too.
func (g *Gateway) awaitBackend(q *request, w requirements) (b *backend, loaded bool) {
	idle := w
	idle.maxWait = q.maxWait()
	for q.yields(time.Now()) && q.ctx.Err() == nil {
		if b, loaded = g.chooseBeforeExpiry(q, idle); b != nil {
			return b, loaded
		}
		if !loaded {
			break
		}
		g.pauseBeforeRecheck(q)
	}
	for {
		b, loaded = g.chooseBeforeExpiry(q, w)
		if b != nil {
			return b, loaded
		}
		if !g.mayKeepWaiting(q, time.Now()) {
			return g.finalChoice(q, w, loaded)
		}
		g.pauseBeforeRecheck(q)
	}
}

// finalChoice chooses for a request that waits no longer. A stream under way ends without a place, so
// one where it may begin too late is no worse.
func (g *Gateway) finalChoice(q *request, w requirements, loaded bool) (*backend, bool) {
	if w.firstEventLatency == 0 {
		return nil, loaded
	}
	w.firstEventLatency = 0
	return g.chooseBeforeExpiry(q, w)
}

// ensureRetry has the next attempt of a request hold a repeat; false where there is none.
func (g *Gateway) ensureRetry(q *request) bool {
	if q.retryTaken.Load() {
		return true
	}
	q.borrowed = false
	q.retryTaken.Store(g.awaitRetry(q))
	return q.retryTaken.Load()
}

// awaitRetry takes a repeat out of the budget; a stream under way waits for one as it does
// for a place. False where there is none.
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

// retryShare is the share of the budget that a repeat of the request may use.
func (q *request) retryShare() float64 {
	if q.headWritten {
		return 1
	}
	return unstartedRetryShare
}

// pauseBeforeRecheck lies between two looks for a place or for a repeat.
func (g *Gateway) pauseBeforeRecheck(q *request) { g.pauseWithJitter(q, yieldRetryInterval) }

// pauseWithJitter waits for a time and up to half as much again by lot.
func (g *Gateway) pauseWithJitter(q *request, d time.Duration) {
	select {
	case <-q.ctx.Done():
	case <-time.After(d + time.Duration(g.random()*float64(d)/2)):
	}
}

// mayKeepWaiting tells whether the request is a stream under way that may still go on: its
// caller has part of it, and a refusal can no longer be written. Engines that cut it for an
// order or were full take it some 100 ms later.
func (g *Gateway) mayKeepWaiting(q *request, now time.Time) bool {
	return q.headWritten && q.ctx.Err() == nil && g.callerTimeoutLeft(q, now) > resumeLatency && q.localDeadline().Sub(now) > minAttemptTime
}

// callerTimeoutLeft is for how long yet the caller of a stream under way waits for its next event.
func (g *Gateway) callerTimeoutLeft(q *request, now time.Time) time.Duration {
	return g.callerTimeout(q) - now.Sub(q.lastEventAt)
}

// callerTimeout is for how long a caller waits for the next event of a stream.
func (g *Gateway) callerTimeout(q *request) time.Duration {
	return g.protocol.StreamIdleTimeout(q.route.Objective(), q.route.GapObjective())
}

// chooseBeforeExpiry chooses a place where the request is over before the version there
// lapses, else one where it may run on. A repeat goes first where no order for weights is to
// come: one that is cut again has no attempt left.
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
