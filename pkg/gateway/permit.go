// ================================================================
// A backend server may advertise a rate limit, which holds for all gateways together, and one that
// warms up has the limit that the configuration sets for its service. So each request to it, first
// attempts, retries and resumed streams alike, needs a permit from the gateway that owns the limit
// (pkg/serverlimit). A server whose limit is used up is skipped until the next permit is due. Where
// limits keep a request from all servers of a service, it is refused at once, with the time at which
// the next permit is due.
//
// A permit is requested before a slot is reserved: the limit is scarcer, and a reserved slot that
// is not used keeps other requests away. An unused permit is returned.
// ================================================================

package gateway

import (
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/serverlimit"
)

// noOwnerHold is how long this gateway sends nothing to a limited backend server after no owner of
// its limit answered.
const noOwnerHold = 250 * time.Millisecond

// maxPermitsRequested bounds the servers for which one choice requests permits: each request takes
// some ms of the caller's time, and other servers may need no permit.
const maxPermitsRequested = 4

// permit allows one request to be sent to a limited backend server.
type permit struct {
	backend   *backend
	server    serverlimit.Server
	granted   serverlimit.Permit
	owner     string // the link address of the gateway that granted it
	perSecond float64
	unlimited bool // the server advertises no limit: the permit was needed for its warm-up
}

// holdReason is why a limited backend server gets no requests at the moment.
type holdReason string

const (
	holdSpent   holdReason = "spent"
	holdNoOwner holdReason = "no owner"
)

// choosePermitted chooses a backend server that has no limit, or one for which it acquires a
// permit; loaded reports that servers were skipped because of their load or limit.
func (g *Gateway) choosePermitted(q *request, w requirements) (b *backend, loaded bool) {
	for requested := 1; q.ctx.Err() == nil; requested++ {
		chosen, excluded := g.choose(w)
		loaded = loaded || excluded
		if chosen == nil || g.acquirePermit(q, chosen) {
			return chosen, loaded
		}
		// The next choice skips this server until its next permit is due.
		loaded, w.excludeLimited = true, requested >= maxPermitsRequested
	}
	return nil, loaded
}

// acquirePermit reports whether a request may be sent to a backend server, and acquires a permit
// where one is needed.
func (g *Gateway) acquirePermit(q *request, b *backend) bool {
	if q.permit != nil && q.permit.backend == b {
		return true
	}
	g.returnPermit(q)
	request, limited := b.permitRequest(q.service)
	if !limited {
		return true
	}
	response, answered := g.requestPermit(q.ctx, request)
	switch {
	case !answered && q.ctx.Err() != nil:
		// The caller has canceled the request, so the state of the owner is not known.
		return false
	case !answered:
		b.holdBack(time.Now(), noOwnerHold)
		g.metrics.limitSkips.WithLabelValues(string(holdNoOwner)).Inc()
		return false
	case response.LimitEnded():
		if b.endLimit(request, time.Now()) {
			g.logLimit(b, serverlimit.AdvertisedLimit{})
		}
		if request.Warmup().IsOver() {
			return true
		}
	}
	b.markLimitReported(request)
	if !response.Permit().IsGranted() {
		b.holdBack(time.Now(), response.RetryAfter())
		g.metrics.limitSkips.WithLabelValues(string(holdSpent)).Inc()
		return false
	}
	q.permit = &permit{b, request.Server(), response.Permit(), response.Owner(), response.PerSecond(), response.Unlimited() || response.LimitEnded()}
	return true
}

// takePermit removes the permit from a request in order to send it to a backend server; ok is false
// where a permit is needed and missing, for instance because the limit was learned after the
// choice.
func (q *request) takePermit(b *backend) (p *permit, ok bool) {
	if q.permit == nil || q.permit.backend != b {
		return nil, !b.isLimited(q.service)
	}
	p, q.permit = q.permit, nil
	return p, true
}

// returnPermit returns an unused permit to the owner of the limit.
func (g *Gateway) returnPermit(q *request) {
	if q.permit == nil {
		return
	}
	g.reportPermit(q.permit, serverlimit.Unused, 0)
	q.permit = nil
}

// exhaustedLimits returns the failure of a request that only rate limits keep from all backend
// servers of its service, with the time at which the next permit is due. It returns nil if there is
// another reason.
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
	retryAfter := next.Sub(now) + time.Duration(g.random()*float64(retryAfterMin))
	return failure.New(failure.Overloaded, "the rate limit of every backend server of %s is used up", q.service.Name()).WithRetryAfter(retryAfter)
}

// isHeldBack reports whether the rate limit of the backend server currently keeps requests of this
// gateway from it.
func (l load) isHeldBack(now time.Time) bool { return now.Before(l.heldUntil) }
