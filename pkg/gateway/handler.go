// ================================================================
// Handles one request: finds its route and organisation, reads its body, then makes attempts
// until one is answered or no further attempt is allowed.
// ================================================================

package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// defaultMaxBody bounds a request body if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// bodyReadTimeout bounds the reading of a request body.
	bodyReadTimeout = 10 * time.Second
	// maxDials bounds the backend servers that are dialed for one request.
	maxDials = 6
	// retryAfterSoon is the Retry-After of a refusal where retrying is better than waiting.
	// retryAfterMin and retryAfterMax bound the random Retry-After of a refusal where all
	// backend servers are full.
	retryAfterSoon = 300 * time.Millisecond
	retryAfterMin  = 500 * time.Millisecond
	retryAfterMax  = 1500 * time.Millisecond
	// retryAfterShare is the share of a caller's remaining time after which it may retry if no
	// backend server is serving. Servers serve again seconds later, so a later retry is more
	// likely to succeed; the platform's callers wait for no larger share.
	retryAfterShare = 1.0 / 3
	// maxWaitShare is the longest acceptable wait for a slot, as a share of the latency
	// objective.
	maxWaitShare = 0.5
)

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.metrics.inFlight.Inc()
	defer g.metrics.inFlight.Dec()
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	q := &request{writer: w, incoming: r, started: time.Now(), stop: g.stop, suspension: g.suspension, suspendedBefore: g.suspension.Total()}
	defer g.recoverPanic(q)
	defer g.bindToStop(q)()
	if err := g.routeRequest(q); err != nil {
		g.refuse(q, failure.Of(err))
		return
	}
	if err := g.readBody(q); err != nil {
		if f := failure.Of(err); f.Kind() != failure.Internal {
			g.refuse(q, f)
			return
		}
		g.recordOutcome(q, outcomeCallerLeft, "body not sent: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	q.readAt = time.Now()
	q.setFingerprints()
	done, f := g.admit(q)
	if f != nil {
		g.refuse(q, f)
		return
	}
	defer done()
	g.forward(q)
}

// routeRequest finds the route, service and organisation of a request and sets its deadline.
func (g *Gateway) routeRequest(q *request) error {
	r, now := q.incoming, q.started
	q.head = g.protocol.ReadRequest(r.Header)
	index := g.index.Load()
	if index == nil {
		return failure.New(failure.NotReady, "no configuration is known here yet").WithRetryAfter(g.randomRetryAfter())
	}
	q.configNumber = index.Number()
	route, found := index.Route(r.Host, pathOf(r))
	if !found {
		return failure.New(failure.UnknownRoute, "host %q has no route for this path", r.Host)
	}
	q.route = route
	if err := q.authenticate(index); err != nil {
		return err
	}
	service, found := index.Service(route.Pick(g.random()))
	if !found {
		return failure.New(failure.Internal, "route %q has no service", route.Name())
	}
	q.service = service
	timeout := route.Timeout()
	if q.head.Timeout > 0 {
		timeout = min(timeout, q.head.Timeout)
	}
	q.deadline = now.Add(timeout)
	q.header = upstream.ForwardedHeader(r.Header)
	q.tried, q.ranAt = map[*backend]bool{}, map[*backend]bool{}
	q.estimateWork()
	if service.Engine().Slots() > 0 {
		q.model = modelOf(q.head, service.Engine())
		g.demand.add(now)
		g.promptLengths.add(route.Name(), q.head.PromptTokens)
		q.refusedBefore = g.returningCallers.isReturning(route.Timeout(), q.head.Timeout, now)
	}
	return nil
}

// modelOf returns the model that a request asks for. A request that names none gets the
// engines' only model; the result is empty if they serve several or none.
func modelOf(h RequestHead, e serviceconfig.Engine) string {
	if h.Model == "" && len(e.Models()) == 1 {
		return e.Models()[0]
	}
	return h.Model
}

// pathOf returns the undecoded path of a request.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// requestTarget returns the path and query as the caller wrote them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// authenticate sets the organisation that owns the request's key, and what follows from it. It fails
// if the key is unknown and the route requires one.
func (q *request) authenticate(index *serviceconfig.Index) error {
	q.urgency, q.constraint = q.route.Priority(), constraintOf(q.route, nil)
	if !index.RequiresKey() {
		return nil
	}
	o, known := index.OrganisationOf(q.head.Key)
	switch {
	case known:
		q.organisation, q.constraint = o.Name(), constraintOf(q.route, o)
		if o.HasPriority() {
			q.urgency = o.Priority()
		}
	case !q.route.Anonymous():
		return failure.New(failure.UnknownKey, "the key belongs to no organisation")
	}
	return nil
}

func (g *Gateway) readBody(q *request) error {
	r := q.incoming
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := int64(defaultMaxBody)
	if l := g.index.Load().Document().Limits().MaxBody(); l > 0 {
		limit = int64(l)
	}
	if r.ContentLength > limit {
		return failure.New(failure.TooLarge, "the body has %d bytes; the limit is %d", r.ContentLength, limit)
	}
	control := http.NewResponseController(q.writer)
	_ = control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(q.writer, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return failure.New(failure.TooLarge, "the body exceeds the limit of %d bytes", limit)
		}
		return err
	}
	_ = control.SetReadDeadline(time.Time{})
	q.body = body
	return nil
}

// content returns what identifies a request across its caller's retries.
func (q *request) content() quarantine.Content {
	r := q.incoming
	return quarantine.Content{Organisation: q.organisation, Method: r.Method, Host: r.Host, Target: requestTarget(r), Body: q.body}
}

// forward tries backend servers until the request is answered or given up.
func (g *Gateway) forward(q *request) {
	defer g.returnPermit(q)
	defer g.returnRetry(q)
	defer g.endStandby(q)
	for dials := 0; ; dials++ {
		if q.ctx.Err() != nil {
			g.endCancelled(q)
			return
		}
		if q.remaining() <= 0 {
			g.giveUp(q, failure.New(failure.DeadlineExceeded, "no answer in time; last: %s", q.lastAttempt))
			return
		}
		if f := g.checkMayAttempt(q, dials); f != nil {
			g.giveUp(q, f)
			return
		}
		unknownBefore := q.unknownOutcomes
		b, f := g.pickWithRetry(q)
		if f != nil {
			g.giveUp(q, f)
			return
		}
		if g.try(q, b) {
			return
		}
		if s := g.awaitStandby(q); s != nil {
			g.forwardStandby(s)
			return
		}
		if f := g.backOff(q, q.unknownOutcomes == unknownBefore); f != nil {
			g.giveUp(q, f)
			return
		}
	}
}

// retryBudgetSpent is the message of a request for which no retry is left; its argument says
// how the last attempt ended.
const retryBudgetSpent = "the budget of repeats is used up; last: %s"

// backOff delays the retry of a started stream that a server rejected, longer each time: a
// full server rejects it again at once, and each attempt uses up a retry. It returns a failure
// if the caller no longer waits.
func (g *Gateway) backOff(q *request, isRejected bool) *failure.Failure {
	if !q.headWritten || !isRejected {
		return nil
	}
	if !g.mayKeepWaiting(q, time.Now()) {
		return q.exhausted("no backend server accepted it in time; last: %s", q.lastAttempt)
	}
	q.rejections++
	g.pauseWithJitter(q, time.Duration(q.rejections)*yieldRetryInterval)
	return nil
}

// checkMayAttempt returns why no further attempt may be made; nil if one may.
func (g *Gateway) checkMayAttempt(q *request, dials int) *failure.Failure {
	decision := g.quarantine.Decide(q.fingerprints...)
	stopFailure := g.checkStop(q)
	switch {
	case !q.mayRun(decision):
		return quarantinedFailure(q, decision)
	case q.liveness == probeCrashed && decision.Crashes() > 1:
		return q.exhausted("%d backend servers exited while running this request or others with a part of its prompt; last: %s", decision.Crashes(), q.lastAttempt)
	case stopFailure != nil:
		return stopFailure
	case q.sent == 0 && dials < maxDials:
		return nil
	case q.sent == 0:
		return failure.New(failure.Overloaded, "%d backend servers could not be reached", dials).WithRetryAfter(retryAfterSoon)
	case !q.isRetryable():
		return failure.New(failure.OutcomeUnknown, "the request may have run: %s", q.lastAttempt)
	case q.hasNoServerLeft() || !q.headWritten && dials >= maxDials:
		return q.exhausted("all %d attempts are used up; last: %s", q.route.MaxAttempts(), q.lastAttempt)
	case !q.headWritten && !g.ensureRetry(q):
		return q.exhausted(retryBudgetSpent, q.lastAttempt)
	}
	return nil
}

// exhausted returns the failure of a request for which no further attempt is possible.
func (q *request) exhausted(format string, arguments ...any) *failure.Failure {
	if q.mayHaveRun {
		return failure.New(failure.OutcomeUnknown, format, arguments...)
	}
	return failure.New(failure.Overloaded, format, arguments...).WithRetryAfter(retryAfterSoon)
}

// requirementsFor returns the requirements on the backend server of the next attempt.
func (g *Gateway) requirementsFor(q *request) requirements {
	w := requirements{service: q.service.Name(), work: q.work, tried: q.tried, engine: q.service.Engine(), avoidBuilds: q.avoidBuilds, constraint: q.constraint, warmupRate: q.service.WarmupRate()}
	if len(q.ranAt) >= q.route.MaxAttempts() {
		w.only = q.ranAt
	}
	if q.headWritten {
		w.firstEventLatency = g.silenceDetector.longestResponseWait(q.service.Name(), time.Now())
	}
	if q.model != "" {
		w.model, w.layers = q.model, max(w.engine.Layers(), 1)
		w.minVersion = func(latency, margin time.Duration) uint64 {
			return g.minUsableVersion(q.model, latency, q.maxRun, margin)
		}
		if q.sent == 0 {
			w.maxWait = q.maxWait()
		}
	}
	return w
}

// maxWait returns the longest acceptable wait for a slot at an engine.
func (q *request) maxWait() time.Duration {
	return time.Duration(maxWaitShare * float64(q.route.ResponseObjective()))
}

// pick chooses a backend server for the next attempt. A request that no engine would begin in
// time is refused at once, since it is more likely to succeed when its caller retries.
func (g *Gateway) pick(q *request) (*backend, *failure.Failure) {
	if b := g.takeReserved(q); b != nil {
		return b, nil
	}
	w := g.requirementsFor(q)
	b, loaded := g.awaitBackend(q, w)
	if b != nil {
		return b, nil
	}
	if q.mayHaveRun {
		return nil, failure.New(failure.OutcomeUnknown, "no other backend server; last: %s", q.lastAttempt)
	}
	if f := g.exhaustedLimits(q, w); f != nil {
		return nil, f
	}
	if f := g.placementFailure(q); f != nil {
		return nil, f
	}
	if loaded {
		g.promptLengths.recordRefusal(q.service.Name(), time.Now())
		return nil, failure.New(failure.Overloaded, "every backend server of %s is full", q.service.Name()).WithRetryAfter(g.randomRetryAfter())
	}
	return nil, failure.New(failure.Overloaded, "no backend server of %s serves now", q.service.Name()).WithRetryAfter(q.retryAfterOutage())
}

// pickWithRetry is pick for an attempt that may need a retry. Those that have not started hold one already.
// A started stream takes one once it has a server, since others may need the retry while it waits for a
// server. If it waits for the retry instead, the server may be full or leave meanwhile, and is chosen again.
func (g *Gateway) pickWithRetry(q *request) (*backend, *failure.Failure) {
	for {
		b, f := g.pick(q)
		if f != nil || !q.headWritten {
			return b, f
		}
		chosen := time.Now()
		if !g.ensureRetry(q) {
			return nil, q.exhausted(retryBudgetSpent, q.lastAttempt)
		}
		if time.Since(chosen) < yieldRetryInterval {
			return b, nil
		}
		if b = g.chooseWithoutWaiting(q, g.relaxNearCallerTimeout(q, g.requirementsFor(q))); b != nil {
			return b, nil
		}
		if !q.uncharged { // a borrowed retry can't be put back
			g.returnRetry(q)
		}
	}
}

// takeReserved returns the backend server that a check has chosen for the next attempt, or nil.
func (g *Gateway) takeReserved(q *request) *backend {
	if b := q.reserved.Swap(nil); b != nil && g.acquirePermit(q, b) {
		return b
	}
	return nil
}

// randomRetryAfter returns the Retry-After of a caller refused because of load. It is
// randomised so that callers refused together do not retry together.
func (g *Gateway) randomRetryAfter() time.Duration {
	return retryAfterMin + time.Duration(g.random()*float64(retryAfterMax-retryAfterMin))
}
