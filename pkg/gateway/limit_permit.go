// ================================================================
// A backend server that names a limit takes so much from all gateways together. So nothing
// is sent there without a permit of the gateway that owns the limit (pkg/serverlimit): first
// tries, repeats and streams that go on alike. A server whose limit is spent is passed over
// until the next permit, and where that keeps all servers of a service away, the request is
// refused at once, with that time.
//
// A permit is asked for before a place: the limit is scarcer, and a place that is not used
// keeps others away. One that is not used goes back.
// ================================================================

package gateway

import (
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/serverlimit"
)

// noOwnerHold is how long a limited backend server gets nothing from here when no owner of
// its limit answers.
const noOwnerHold = 250 * time.Millisecond

// maxPermitsRequested bounds the servers whose permits are asked for in one choice: each question
// takes some ms of the caller's time, and others may have a place without one.
const maxPermitsRequested = 4

// permit is what a request holds to be sent to a limited backend server.
type permit struct {
	backend   *backend
	server    serverlimit.Server
	granted   serverlimit.Permit
	owner     string // the link address of the gateway that granted it
	perSecond float64
}

// holdReason is why a limited backend server gets nothing at a moment.
type holdReason string

const (
	holdSpent   holdReason = "spent"
	holdNoOwner holdReason = "no owner"
)

// choosePermitted chooses a backend server that takes one more request by its own limit, if
// it names one.
func (g *Gateway) choosePermitted(q *request, w requirements) (b *backend, loaded bool) {
	for asks := 1; q.ctx.Err() == nil; asks++ {
		chosen, full := g.choose(w)
		loaded = loaded || full
		if chosen == nil || g.acquirePermit(q, chosen) {
			return chosen, loaded
		}
		// The next choice passes over it until it has another permit.
		loaded, w.excludeLimited = true, asks >= maxPermitsRequested
	}
	return nil, loaded
}

// acquirePermit tells whether a request may be sent to a backend server, and takes a permit
// where one is needed.
func (g *Gateway) acquirePermit(q *request, b *backend) bool {
	if q.permit != nil && q.permit.backend == b {
		return true
	}
	g.returnPermit(q)
	ask, limited := b.permitRequest()
	if !limited {
		return true
	}
	a, answered := g.requestPermit(q.ctx, ask)
	switch {
	case !answered && q.ctx.Err() != nil:
		// The caller has left; of the owner nothing is known.
		return false
	case !answered:
		b.holdBack(time.Now(), noOwnerHold)
		g.metrics.limitSkips.WithLabelValues(string(holdNoOwner)).Inc()
		return false
	case a.LimitEnded():
		if b.endLimit(ask, time.Now()) {
			g.logLimit(b, serverlimit.AdvertisedLimit{})
		}
		return true
	}
	b.markLimitReported(ask)
	if !a.Permit().IsGranted() {
		b.holdBack(time.Now(), a.RetryAfter())
		g.metrics.limitSkips.WithLabelValues(string(holdSpent)).Inc()
		return false
	}
	q.permit = &permit{b, ask.Server(), a.Permit(), a.Owner(), a.PerSecond()}
	return true
}

// takePermit takes the permit of a request for the sending to a backend server; false where
// it has none and needs one, as when the limit was heard since the choice.
func (q *request) takePermit(b *backend) (p *permit, ok bool) {
	if q.permit == nil || q.permit.backend != b {
		return nil, !b.isLimited()
	}
	p, q.permit = q.permit, nil
	return p, true
}

// returnPermit gives a permit back that was not used.
func (g *Gateway) returnPermit(q *request) {
	if q.permit == nil {
		return
	}
	g.reportPermit(q.permit, serverlimit.Unused, 0)
	q.permit = nil
}

// exhaustedLimits returns the failure of a request that only limits keep from all backend
// servers of its service, with when one of them takes another; nil where it is not so.
func (g *Gateway) exhaustedLimits(q *request, w requirements) *failure.Failure {
	now := time.Now()
	var next time.Time
	for _, c := range g.candidates(w, now) {
		switch {
		case w.tried[c.backend]:
		case !c.load.isHeldBack(now):
			return nil
		case next.IsZero() || c.load.nextPermit.Before(next):
			next = c.load.nextPermit
		}
	}
	if next.IsZero() {
		return nil
	}
	q.blockedByLimits = true
	after := next.Sub(now) + time.Duration(g.random()*float64(retryAfterMin))
	return failure.New(failure.Overloaded, "every backend server of %s has got what it takes by its own limit", q.service.Name()).WithRetryAfter(after)
}

// isHeldBack tells whether its own limit keeps a backend server from more requests now.
func (l load) isHeldBack(now time.Time) bool { return now.Before(l.heldUntil) }
