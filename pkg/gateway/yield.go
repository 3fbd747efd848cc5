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
	// yieldLook is the time between two looks for a place that nobody waits for, and half
	// as much again by lot, so that those who wait do not ask together.
	yieldLook = 100 * time.Millisecond
	// yieldAsks is how many engines are asked at each: all that are lost at one moment
	// ask, and each question is work for a stager.
	yieldAsks = 2
	// mostYield bounds the wait for a place that nobody waits for.
	mostYield = 1500 * time.Millisecond
	// goesOnWithin is how long it takes from a place to the next event: the engine reads
	// the prompt anew, behind those of others. So much is left of its caller's patience.
	goesOnWithin = 500 * time.Millisecond
)

// yields tells whether the request takes only a place that nobody else waits for: its lost
// run may still hold one, and there is time enough to run it afterwards.
func (q *request) yields(now time.Time) bool {
	return !q.runLostAt.IsZero() && now.Sub(q.runLostAt) < min(q.maxRun, mostYield) && q.localDeadline().Sub(now) > q.maxRun
}

// awaitPlace chooses a place; while the request yields only one that nobody waits for, unless
// nobody serves. A stream under way waits for somebody to serve, too.
func (g *Gateway) awaitPlace(q *request, w wanted) (b *backend, loaded bool) {
	idle := w
	idle.wait = q.maxWait()
	for q.yields(time.Now()) && q.ctx.Err() == nil {
		if b, loaded = g.choosePlaceInTime(q, idle); b != nil {
			return b, loaded
		}
		if !loaded {
			break
		}
		g.pauseForPlace(q)
	}
	for {
		b, loaded = g.choosePlaceInTime(q, w)
		if b != nil {
			return b, loaded
		}
		if !g.waitsForPlace(q, time.Now()) {
			return g.lastChoice(q, w, loaded)
		}
		g.pauseForPlace(q)
	}
}

// lastChoice chooses for a request that waits no longer. A stream under way ends without a place, so
// one where it may begin too late is no worse.
func (g *Gateway) lastChoice(q *request, w wanted, loaded bool) (*backend, bool) {
	if w.begins == 0 {
		return nil, loaded
	}
	w.begins = 0
	return g.choosePlaceInTime(q, w)
}

// takeRepeat has the next attempt of a request hold a repeat; false where there is none.
func (g *Gateway) takeRepeat(q *request) bool {
	if q.retryTaken.Load() {
		return true
	}
	q.borrowed = false
	q.retryTaken.Store(g.awaitRepeat(q))
	return q.retryTaken.Load()
}

// awaitRepeat takes a repeat out of the budget; a stream under way waits for one as it does
// for a place. False where there is none.
func (g *Gateway) awaitRepeat(q *request) bool {
	for {
		if g.budget.repeatWithin(q.service.Name(), g.countGateways(), q.repeatShare()) || g.borrow(q) {
			return true
		}
		if !g.waitsForPlace(q, time.Now()) {
			return false
		}
		g.pauseForPlace(q)
	}
}

// repeatShare is the share of the budget that a repeat of the request may use.
func (q *request) repeatShare() float64 {
	if q.headWritten {
		return 1
	}
	return notBegunShare
}

// pauseForPlace lies between two looks for a place or for a repeat.
func (g *Gateway) pauseForPlace(q *request) { g.pauseFor(q, yieldLook) }

// pauseFor waits for a time and up to half as much again by lot.
func (g *Gateway) pauseFor(q *request, d time.Duration) {
	select {
	case <-q.ctx.Done():
	case <-time.After(d + time.Duration(g.random()*float64(d)/2)):
	}
}

// waitsForPlace tells whether the request is a stream under way that may still go on: its
// caller has part of it, and a refusal can no longer be written. Engines that cut it for an
// order or were full take it some 100 ms later.
func (g *Gateway) waitsForPlace(q *request, now time.Time) bool {
	return q.headWritten && q.ctx.Err() == nil && g.patienceLeft(q, now) > goesOnWithin && q.localDeadline().Sub(now) > minAttemptTime
}

// patienceLeft is for how long yet the caller of a stream under way waits for its next event.
func (g *Gateway) patienceLeft(q *request, now time.Time) time.Duration {
	return g.patienceOf(q) - now.Sub(q.lastEventAt)
}

// patienceOf is for how long a caller waits for the next event of a stream.
func (g *Gateway) patienceOf(q *request) time.Duration {
	return g.protocol.StreamIdleTimeout(q.route.Objective(), q.route.GapObjective())
}

// choosePlaceInTime chooses a place where the request is over before the version there
// lapses, else one where it may run on. A repeat goes first where no order for weights is to
// come: one that is cut again has no attempt left.
func (g *Gateway) choosePlaceInTime(q *request, w wanted) (b *backend, loaded bool) {
	if next := g.versions.Next(q.model, q.versionExpiry.served); q.sent > 0 && next.Version() > 0 {
		newest := w
		newest.least = func(_, _ time.Duration) uint64 { return g.versions.Due(q.model, 0, time.Now()) }
		if b, loaded = g.choosePlace(q, newest); b != nil {
			return b, loaded
		}
	}
	if b, loaded = g.choosePlace(q, w); b != nil || !g.mayRunOn(q) {
		return b, loaded
	}
	return g.choosePlace(q, g.runningOn(q, w))
}
