// ================================================================
// One attempt: a connection, the request, the head of the answer, and then its
// body as a whole or as a stream of events.
//
// What an attempt proves about the request is noted at once: before a byte is
// written nothing has run; once it is written anything may have, unless the
// answer says that it has not.
// ================================================================

package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// dialTimeout bounds the making of a connection: a backend server in reach
	// answers in a few milliseconds.
	dialTimeout = 350 * time.Millisecond
	// minAttemptTime is the least that must be left to try at all.
	minAttemptTime = 10 * time.Millisecond
)

// try makes one attempt and tells whether the request is answered.
func (g *Gateway) try(q *request, b *backend) (isAnswered bool) {
	q.tried[b] = true
	word := b.word()
	q.lastBackend, q.liveness = word.Incarnation(), signNone
	pooled, err := b.pool.Get(q.ctx, min(dialTimeout, q.remaining()))
	if err != nil {
		if q.ctx.Err() == nil {
			b.failed(time.Now())
			g.doubt(b)
			g.recordAttempt(q, attemptUnreachable, err.Error())
		}
		return false
	}
	conn := &attemptConn{Connection: pooled}
	// One that was not handed back by then is in an unknown state.
	defer conn.Abort()
	q.versionExpiry = g.lapseOf(q, b, 0)
	q.knownServerExits = g.quarantine.Ends(q.fingerprint)
	q.build = b.build(q.modelAndLayers())
	if !q.mayRun(q.knownServerExits) || !quarantine.MayBeMended(q.build, q.avoid) || q.remaining() < minAttemptTime || q.versionExpiry.isOver() {
		conn.Close()
		return false
	}
	permit, permitted := q.takePermit(b)
	if !permitted {
		// Its limit was heard since the choice: the next one asks for a permit.
		conn.Close()
		delete(q.tried, b)
		return false
	}
	if q.sent == 0 {
		g.budget.request(q.service.Name())
	}
	q.retryTaken.Store(false)
	q.borrowed = false
	q.sent++
	q.timeToLastSend = time.Since(q.started)
	work := q.work
	x := &exchange{gateway: g, request: q, backend: b, conn: conn, permit: permit, isLastServer: q.isLastServerAt(b), resumes: q.headWritten, failoverCriteria: g.criteriaFor(q)}
	x.failoverCriteria.tried, x.failoverCriteria.only = maps.Clone(q.tried), maps.Clone(x.failoverCriteria.only)
	if x.isLastServer {
		x.failoverCriteria.only = maps.Clone(q.ranAt)
		x.failoverCriteria.only[b] = true
	}
	var abort, abortWaiting func()
	if q.route.Idempotent() {
		abort, abortWaiting = conn.Abort, x.abortWaiting
	}
	x.waitEntry = b.begin(work, abortWaiting)
	defer b.end(work)
	defer b.begun(x.waitEntry, false)
	q.versionExpiry.bounds = x.mayInterrupt(interruptDeadline, x.stage(false), time.Now())
	x.silenceMonitor = g.monitorAttempt(x, abort)
	defer g.silenceDetector.remove(x.silenceMonitor)
	stop := context.AfterFunc(q.ctx, conn.Abort)
	defer stop()
	return x.run()
}

// exchange is one attempt under way.
type exchange struct {
	gateway   *Gateway
	request   *request
	backend   *backend
	conn      *attemptConn
	watch     *watchdog
	started   time.Time
	waitEntry *waiting
	// silenceMonitor is how it shows when its connection falls silent.
	silenceMonitor *attemptMonitor
	permit         *permit // nil where the backend server names no limit
	isLastServer   bool    // it may go to no other backend server afterwards
	resumes        bool    // its caller has part of the stream already
	// failoverCriteria is what another backend server must satisfy, with maps of its own: looks at it
	// come beside the request's way.
	failoverCriteria wanted
}

// abortWaiting ends an attempt that waits at a backend server which seems out of reach.
func (x *exchange) abortWaiting() {
	if stage := x.stage(false); x.mayInterrupt(interruptUnreachable, stage, time.Now()) {
		x.gateway.recordInterrupted(x.request, interruptUnreachable, stage)
		x.conn.Abort()
	}
}

// run sends the request and handles its answer.
func (x *exchange) run() (answered bool) {
	q := x.request
	x.started = time.Now()
	x.watch = newWatchdog(x)
	defer x.watch.stop()
	answer, err := x.conn.Exchange(q.ctx, x.outgoing(), q.localDeadline())
	if err != nil {
		return x.recordBroken("no answer", err)
	}
	x.watch.recordProgress()
	x.silenceMonitor.receivedBytes(time.Now())
	head := x.gateway.protocol.ReadResponse(answer.StatusCode, answer.Header)
	if head.ID != "" && head.ID != q.head.ID {
		return x.recordBroken("an answer to request "+head.ID, nil)
	}
	x.hearLimit(head)
	if head.NotRun {
		return x.recordNotRun(answer, head)
	}
	if !head.FromBackend && answer.StatusCode < http.StatusMultipleChoices {
		return x.recordBroken("an answer that is no backend server's own", nil)
	}
	x.backend.sawVersion(head.Version)
	if isStream(q, answer) {
		return x.relayStream(answer)
	}
	x.silenceMonitor.receivedAnswer(time.Now())
	return x.relayPlain(answer)
}

// outgoing is the request as this attempt sends it.
func (x *exchange) outgoing() upstream.Request {
	q := x.request
	header := maps.Clone(q.header)
	x.gateway.protocol.Prepare(header, Attempt{
		Incarnation:  x.backend.word().Incarnation(),
		Organisation: q.organisation,
		Remaining:    q.allowed(),
		Version:      x.gateway.expectedVersion(q, x.backend),
		Urgency:      q.urgency,
		LastEvent:    q.lastEvent,
	})
	return upstream.Request{Method: q.incoming.Method, URI: requestTarget(q.incoming), Host: q.incoming.Host, Header: header, Body: q.body}
}

// recordBroken notes an attempt whose outcome is not known, by what was seen and the error of
// its connection, if there was one.
func (x *exchange) recordBroken(reason string, cause error) bool {
	if cause != nil {
		reason += ": " + cause.Error()
	}
	x.conn.Abort()
	q := x.request
	q.mayHaveRun = true
	q.unknownOutcomes++
	q.ranAt[x.backend] = true
	q.liveness = x.signAfter(cause)
	switch {
	case q.ctx.Err() != nil:
	case x.watch.lapsed.Load() || q.hasLapsed():
		if x.silenceMonitor.hasStreamed() {
			x.gateway.recordInterrupted(q, interruptDeadline, stageStreaming)
			q.sawRun(&x.gateway.silenceDetector, time.Now(), time.Since(x.started))
		}
		q.allowRetryAt(x.backend)
		x.gateway.recordAttempt(q, attemptVersionExpired, fmt.Sprintf("the version of the weights there lapses; %s; taken back %s late", reason, time.Duration(x.watch.lateBy.Load())))
	case x.silenceMonitor.detected.Load() != nil:
		// The backend server works: the request may go on there, and it is no failure.
		delete(q.tried, x.backend)
		if x.silenceMonitor.hasStreamed() {
			q.runLostAt = time.Now()
		}
		detail := x.silenceMonitor.detected.Load().String()
		if x.conn.NothingAcknowledged() {
			x.gateway.uncount(q)
			detail += "; nothing of it was acknowledged"
		}
		x.gateway.recordAttempt(q, attemptSilentConn, detail)
	case x.backend.isWithdrawn(time.Now()):
		q.allowRetryAt(x.backend)
		x.gateway.recordAttempt(q, attemptCutByOrder, reason)
	default:
		x.backend.failed(time.Now())
		if x.watch.fired.Load() || q.liveness == signLives {
			// It may only have been slow, or was given an order that is not heard of here yet.
			q.allowRetryAt(x.backend)
		}
		x.gateway.recordAttempt(q, attemptBroken, reason)
	}
	return false
}

// recordNotRun notes an attempt that the backend server turned away.
func (x *exchange) recordNotRun(answer *http.Response, head ResponseHead) bool {
	q := x.request
	if _, err := upstream.ReadAll(answer.Body, maxRefusalBody); err != nil {
		x.conn.Close()
	} else {
		x.conn.Finish(answer)
	}
	if head.IsFromOther(x.backend.word().Incarnation()) {
		word := x.backend.word()
		x.gateway.backends.depart(word.Incarnation(), word.StartedAt())
		x.gateway.recordAttempt(q, attemptWrongIncarnation, "the address belongs to "+head.Incarnation)
		return false
	}
	if q.hasLapsed() {
		x.gateway.recordAttempt(q, attemptVersionExpired, answer.Status)
		return false
	}
	x.backend.refused(time.Now())
	q.allowRetryAt(x.backend)
	x.gateway.recordAttempt(q, attemptRefused, answer.Status)
	return false
}

// allowRetryAt lets a stream under way go on at a backend server that works and had no
// place for it only at that moment.
func (q *request) allowRetryAt(b *backend) {
	if q.headWritten {
		delete(q.tried, b)
	}
}

// maxRefusalBody bounds the body of a refusal, which nobody reads.
const maxRefusalBody = 64 << 10
