// ================================================================
// One attempt at a backend server: it gets a connection, sends the request, reads the response
// head and relays the body, buffered or as an event stream.
//
// Each attempt records at once whether the request may have run. Before a byte is written it has
// not run; after that it may have, unless the response says otherwise.
// ================================================================

package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// dialTimeout bounds connection setup; a reachable backend server answers in a few
	// milliseconds.
	dialTimeout = 350 * time.Millisecond
	// minAttemptTime is the least remaining time for which an attempt is made.
	minAttemptTime = 10 * time.Millisecond
)

// try makes one attempt at a backend server and reports whether the request is answered.
func (g *Gateway) try(q *request, b *backend) (answered bool) {
	x := g.startAttempt(q, b)
	if x == nil {
		return false
	}
	defer x.close()
	return x.run()
}

// startAttempt connects to a backend server for one attempt; it returns nil if none can be made there.
// The caller closes the attempt.
func (g *Gateway) startAttempt(q *request, b *backend) *exchange {
	conn := g.connect(q, b)
	if conn == nil {
		return nil
	}
	q.versionExpiry = g.versionExpiryOf(q, b, 0)
	q.knownCrashes = g.knownCrashes(q)
	q.build = b.build(q.modelAndLayers())
	if !q.mayRun(g.quarantine.Decide(q.fingerprints...)) || !quarantine.MayBeFixed(q.build, q.avoidBuilds) || q.remaining() < minAttemptTime || q.versionExpiry.mustCancel() {
		conn.Close()
		return nil
	}
	permit, permitted := q.takePermit(b)
	if !permitted {
		// The server advertised a limit after it was chosen; the next choice asks for a permit.
		conn.Close()
		delete(q.tried, b)
		return nil
	}
	g.countAttempt(q)
	x := &exchange{gateway: g, request: q, backend: b, conn: conn, permit: permit, work: q.work, isLastServer: q.isLastServerAt(b), resumes: q.headWritten, failoverRequirements: g.requirementsFor(q)}
	x.failoverRequirements.tried, x.failoverRequirements.only = maps.Clone(q.tried), maps.Clone(x.failoverRequirements.only)
	if x.isLastServer {
		x.failoverRequirements.only = maps.Clone(q.ranAt)
		x.failoverRequirements.only[b] = true
	}
	var abort, abortWaiting func()
	if q.route.Idempotent() {
		abort, abortWaiting = conn.Abort, x.abortWaiting
	}
	x.waitEntry = b.startRequest(x.work, abortWaiting)
	q.versionExpiry.boundsDeadline = x.mayInterrupt(interruptDeadline, x.stage(false), time.Now())
	x.silenceMonitor = g.monitorAttempt(x, abort)
	x.detach = context.AfterFunc(q.ctx, conn.Abort)
	return x
}

// knownCrashes returns the independent crashes that are recorded for a request and the parts of its prompt.
func (g *Gateway) knownCrashes(q *request) map[quarantine.Fingerprint]int {
	known := make(map[quarantine.Fingerprint]int, len(q.fingerprints))
	for _, f := range q.fingerprints {
		if crashes := g.quarantine.Crashes(f); crashes > 0 {
			known[f] = crashes
		}
	}
	return known
}

// connect returns a connection to a backend server, or nil. Every attempt passes here, so no way of choosing
// a server leads to one that may not receive the request. That is checked again after the dial, because a
// departure may arrive during the dial or while this process stands still.
func (g *Gateway) connect(q *request, b *backend) *attemptConn {
	q.tried[b] = true
	q.lastBackend, q.liveness = b.latestRegistration().Incarnation(), probeNotRun
	if !g.mayReceive(q, b) {
		return nil
	}
	pooled, err := b.pool.Get(q.ctx, min(dialTimeout, q.remaining()))
	if err != nil {
		g.recordUnreachable(q, b, err)
		return nil
	}
	if !g.mayReceive(q, b) {
		pooled.Close()
		return nil
	}
	return &attemptConn{Connection: pooled}
}

// mayReceive reports whether a backend server may receive the request, and records an attempt that ends
// because it may not.
func (g *Gateway) mayReceive(q *request, b *backend) bool {
	registration := b.latestRegistration()
	if state := registration.State(); state.Leaves() {
		g.recordAttempt(q, attemptNotAllowed, string(state))
		return false
	}
	if verdict := g.placement.Decide(q.constraint, registration.Domain()); verdict != placement.Allowed {
		g.recordAttempt(q, attemptNotAllowed, string(verdict))
		return false
	}
	return true
}

// recordUnreachable records an attempt that got no connection, unless the request has ended.
func (g *Gateway) recordUnreachable(q *request, b *backend, err error) {
	if q.ctx.Err() != nil {
		return
	}
	b.recordFailure(time.Now())
	g.startDials(b)
	g.recordAttempt(q, attemptUnreachable, err.Error())
}

// countAttempt counts an attempt that is about to be sent.
func (g *Gateway) countAttempt(q *request) {
	if q.sent == 0 {
		g.budget.countRequest(q.service.Name())
	}
	q.retryTaken.Store(false)
	q.uncharged = false
	q.sent++
	q.timeToLastSend = time.Since(q.started)
}

// exchange is one attempt in flight.
type exchange struct {
	gateway   *Gateway
	request   *request
	backend   *backend
	conn      *attemptConn
	work      time.Duration // engine time that is counted for it at the backend server
	detach    func() bool   // keeps the end of the request from aborting the connection
	watch     *watchdog
	started   time.Time
	waitEntry *waitingRequest
	// silenceMonitor detects that the attempt's connection has gone silent.
	silenceMonitor *attemptMonitor
	standbys       standbyTracker
	wait           atomic.Int32 // a waitState
	isStandby      atomic.Bool  // it has not taken over yet
	permit         *permit      // nil if the backend server advertises no limit
	isLastServer   bool         // no further backend server may be tried after it
	resumes        bool         // the caller already has part of the stream
	// failoverRequirements are what another backend server must satisfy. Their maps are copies,
	// since other goroutines evaluate them while the request proceeds.
	failoverRequirements requirements
}

// close releases what the attempt holds. Its connection is aborted unless it was returned to the pool:
// it is in an unknown state.
func (x *exchange) close() {
	if x.watch != nil {
		x.watch.stop()
	}
	x.request.standby = x.standbys.latest()
	x.detach()
	x.gateway.silenceDetector.remove(x.silenceMonitor)
	x.backend.finishWaiting(x.waitEntry, false)
	x.backend.finishRequest(x.work)
	x.conn.Abort()
}

// abortWaiting ends an attempt that waits at a backend server which appears unreachable.
func (x *exchange) abortWaiting() {
	x.interrupt(interruptUnreachable, x.stage(false), nil, time.Now(), x.conn.Abort)
}

// run sends the request and handles the response.
func (x *exchange) run() (answered bool) {
	response, ok := x.send()
	if !ok {
		return false
	}
	if isStream(x.request, response) {
		return x.relayStream(response)
	}
	x.silenceMonitor.receivedAnswer(time.Now())
	return x.relayPlain(response)
}

// send sends the request and returns the response with its head checked; ok is false if the attempt
// has ended.
func (x *exchange) send() (response *http.Response, ok bool) {
	q := x.request
	x.started = time.Now()
	x.watch = newWatchdog(x)
	outgoing := x.outgoing()
	if x.resumes {
		x.standbys.beginReceiving()
	}
	response, err := x.conn.Exchange(q.ctx, outgoing, q.localDeadline())
	x.standbys.endReceiving(err != nil)
	if err != nil {
		return nil, x.recordBroken("no valid response", err)
	}
	x.watch.recordProgress()
	x.silenceMonitor.receivedBytes(time.Now())
	head := x.gateway.protocol.ReadResponse(response.StatusCode, response.Header)
	if head.ID != "" && head.ID != q.head.ID {
		return nil, x.recordBroken("the response carries the id of another request", nil)
	}
	x.updateLimit(head)
	if head.NotRun {
		return nil, x.recordNotRun(response, head)
	}
	if !head.FromBackend && response.StatusCode < http.StatusMultipleChoices {
		return nil, x.recordBroken("the response does not come from the backend server itself", nil)
	}
	x.backend.recordVersion(head.Version)
	return response, true
}

// outgoing returns the request as this attempt sends it.
func (x *exchange) outgoing() upstream.Request {
	q := x.request
	header := maps.Clone(q.header)
	x.gateway.protocol.Prepare(header, Attempt{
		Incarnation:  x.backend.latestRegistration().Incarnation(),
		Organisation: q.organisation,
		Remaining:    q.timeAllowed(),
		Version:      x.gateway.expectedVersion(q, x.backend),
		Urgency:      q.urgency,
		LastEventID:  q.lastEvent,
	})
	return upstream.Request{Method: q.incoming.Method, URI: requestTarget(q.incoming), Host: q.incoming.Host, Header: header, Body: q.body}
}

// recordBroken records an attempt with an unknown outcome. The reason says what was observed;
// cause is the connection's error, if any.
func (x *exchange) recordBroken(reason string, cause error) bool {
	if cause != nil {
		reason += ": " + cause.Error()
	}
	x.conn.Abort()
	q := x.request
	q.mayHaveRun = true
	q.unknownOutcomes++
	q.ranAt[x.backend] = true
	q.liveness = x.probeCrash(cause)
	switch {
	case q.ctx.Err() != nil:
	case x.watch.versionExpired.Load() || q.versionDeadlinePassed():
		if x.silenceMonitor.hasStreamed() {
			x.gateway.recordInterrupted(q, interruptDeadline, stageStreaming)
			q.recordRunTime(&x.gateway.silenceDetector, time.Now(), time.Since(x.started))
		}
		q.allowRetryAt(x.backend)
		x.gateway.recordAttempt(q, attemptVersionExpired, fmt.Sprintf("the version of the weights there expires; %s; canceled %s late", reason, time.Duration(x.watch.lateBy.Load())))
	case x.silenceMonitor.detected.Load() != nil:
		// Only the connection is at fault: the request may be retried at the same backend
		// server, and the attempt does not count as a failure of the server.
		delete(q.tried, x.backend)
		if x.silenceMonitor.hasStreamed() {
			q.runLostAt = time.Now()
		}
		detail := x.silenceMonitor.detected.Load().String()
		if x.conn.NothingAcknowledged() {
			x.gateway.uncountAttempt(q)
			detail += "; no byte of the request was acknowledged"
		}
		x.gateway.recordAttempt(q, attemptSilentConn, detail)
	case x.backend.hasOrderInProgress(time.Now()):
		q.allowRetryAt(x.backend)
		x.gateway.recordAttempt(q, attemptCutByOrder, reason)
	default:
		x.backend.recordFailure(time.Now())
		if x.watch.fired.Load() || q.liveness == probeAlive {
			// The server may only have been slow, or may have received an order that this gateway
			// does not know of yet.
			q.allowRetryAt(x.backend)
		}
		x.gateway.recordAttempt(q, attemptBroken, reason)
	}
	return false
}

// recordNotRun records an attempt that the backend server rejected.
func (x *exchange) recordNotRun(response *http.Response, head ResponseHead) bool {
	q := x.request
	x.conn.SetDeadline(earlier(q.localDeadline(), time.Now().Add(rejectionBodyTimeout)))
	if _, err := upstream.ReadAll(response.Body, maxRejectionBody); err != nil {
		x.conn.Close()
	} else {
		x.conn.Finish(response)
	}
	if head.IsFromOther(x.backend.latestRegistration().Incarnation()) {
		registration := x.backend.latestRegistration()
		x.gateway.backends.markDeparted(registration.Incarnation(), registration.StartedAt())
		x.gateway.recordAttempt(q, attemptWrongIncarnation, fmt.Sprintf("the address belongs to %.*s", maxLoggedIncarnation, head.Incarnation))
		return false
	}
	if q.versionDeadlinePassed() {
		x.gateway.recordAttempt(q, attemptVersionExpired, response.Status)
		return false
	}
	x.backend.recordOverload(time.Now())
	q.allowRetryAt(x.backend)
	x.gateway.recordAttempt(q, attemptRejected, response.Status)
	return false
}

// allowRetryAt lets a started stream resume at a working backend server that had no capacity for it
// only at that moment.
func (q *request) allowRetryAt(b *backend) {
	if q.headWritten {
		delete(q.tried, b)
	}
}

// maxLoggedIncarnation bounds the incarnation that messages name, in bytes, where another process sent it.
const maxLoggedIncarnation = 64

// maxRejectionBody and rejectionBodyTimeout bound the body of a rejection, which is read only so that the
// connection can be reused.
const (
	maxRejectionBody     = 64 << 10
	rejectionBodyTimeout = 100 * time.Millisecond
)
