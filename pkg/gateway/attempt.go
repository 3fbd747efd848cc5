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
	// leastTime is the least that must be left to try at all.
	leastTime = 10 * time.Millisecond
)

// try makes one attempt and tells whether the request is answered.
func (g *Gateway) try(q *request, b *backend) (answered bool) {
	q.tried[b] = true
	word := b.word()
	q.backend, q.sign = word.Incarnation(), signNone
	taken, err := b.pool.Get(q.ctx, min(dialTimeout, q.remaining()))
	if err != nil {
		if q.ctx.Err() == nil {
			b.failed(time.Now())
			g.doubt(b)
			g.note(q, attemptUnreachable, err.Error())
		}
		return false
	}
	conn := &hold{Connection: taken}
	// One that was not handed back by then is in an unknown state.
	defer conn.Abort()
	q.lapse = g.lapseOf(q, b, 0)
	q.knownEnds = g.quarantine.Ends(q.fingerprint)
	q.build = b.build(q.modelAndLayers())
	if !q.mayRun(q.knownEnds) || !quarantine.MayBeMended(q.build, q.avoid) || q.remaining() < leastTime || q.lapse.isOver() {
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
	q.repeatTaken.Store(false)
	q.borrowed = false
	q.sent++
	q.sentAfter = time.Since(q.started)
	work := q.work
	x := &exchange{gateway: g, request: q, backend: b, conn: conn, permit: permit, isLast: q.isLastAt(b), resumes: q.begun, elsewhere: g.wantedFor(q)}
	x.elsewhere.tried, x.elsewhere.only = maps.Clone(q.tried), maps.Clone(x.elsewhere.only)
	if x.isLast {
		x.elsewhere.only = maps.Clone(q.ranAt)
		x.elsewhere.only[b] = true
	}
	var breakOff, takeBack func()
	if q.route.Idempotent() {
		breakOff, takeBack = conn.Abort, x.takeBack
	}
	x.began = b.begin(work, takeBack)
	defer b.end(work)
	defer b.begun(x.began, false)
	q.lapse.bounds = x.mayInterrupt(interruptDeadline, x.stage(false), time.Now())
	x.listening = g.monitorAttempt(x, breakOff)
	defer g.silences.remove(x.listening)
	stop := context.AfterFunc(q.ctx, conn.Abort)
	defer stop()
	return x.run()
}

// exchange is one attempt under way.
type exchange struct {
	gateway *Gateway
	request *request
	backend *backend
	conn    *hold
	watch   *watchdog
	started time.Time
	began   *waiting
	// listening is how it shows when its connection falls silent.
	listening *attemptMonitor
	permit    *permit // nil where the backend server names no limit
	isLast    bool    // it may go to no other backend server afterwards
	resumes   bool    // its caller has part of the stream already
	// elsewhere is what another backend server must satisfy, with maps of its own: looks at it
	// come beside the request's way.
	elsewhere wanted
}

// takeBack ends an attempt that waits at a backend server which seems out of reach.
func (x *exchange) takeBack() {
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
	answer, err := x.conn.Exchange(q.ctx, x.outgoing(), q.due())
	if err != nil {
		return x.broken("no answer", err)
	}
	x.watch.recordProgress()
	x.listening.receivedBytes(time.Now())
	told := x.gateway.protocol.ReadAnswer(answer.StatusCode, answer.Header)
	if told.ID != "" && told.ID != q.call.ID {
		return x.broken("an answer to request "+told.ID, nil)
	}
	x.hearLimit(told)
	if told.NotRun {
		return x.notRun(answer, told)
	}
	if !told.Genuine && answer.StatusCode < http.StatusMultipleChoices {
		return x.broken("an answer that is no backend server's own", nil)
	}
	x.backend.sawVersion(told.Version)
	if isStream(q, answer) {
		return x.stream(answer)
	}
	x.listening.receivedAnswer(time.Now())
	return x.plain(answer)
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
	return upstream.Request{Method: q.incoming.Method, URI: target(q.incoming), Host: q.incoming.Host, Header: header, Body: q.body}
}

// broken notes an attempt whose outcome is not known, by what was seen and the error of
// its connection, if there was one.
func (x *exchange) broken(why string, cause error) bool {
	if cause != nil {
		why += ": " + cause.Error()
	}
	x.conn.Abort()
	q := x.request
	q.mayHaveRun = true
	q.breaks++
	q.ranAt[x.backend] = true
	q.sign = x.signAfter(cause)
	switch {
	case q.ctx.Err() != nil:
	case x.watch.lapsed.Load() || q.hasLapsed():
		if x.listening.hasStreamed() {
			x.gateway.recordInterrupted(q, interruptDeadline, stageStreaming)
			q.sawRun(&x.gateway.silences, time.Now(), time.Since(x.started))
		}
		q.mayGoBackTo(x.backend)
		x.gateway.note(q, attemptLapsed, fmt.Sprintf("the version of the weights there lapses; %s; taken back %s late", why, time.Duration(x.watch.lateBy.Load())))
	case x.listening.detected.Load() != nil:
		// The backend server works: the request may go on there, and it is no failure.
		delete(q.tried, x.backend)
		if x.listening.hasStreamed() {
			q.lostAt = time.Now()
		}
		seen := x.listening.detected.Load().String()
		if x.conn.NothingAcknowledged() {
			x.gateway.uncount(q)
			seen += "; nothing of it was acknowledged"
		}
		x.gateway.note(q, attemptSilent, seen)
	case x.backend.isWithdrawn(time.Now()):
		q.mayGoBackTo(x.backend)
		x.gateway.note(q, attemptCut, why)
	default:
		x.backend.failed(time.Now())
		if x.watch.fired.Load() || q.sign == signLives {
			// It may only have been slow, or was given an order that is not heard of here yet.
			q.mayGoBackTo(x.backend)
		}
		x.gateway.note(q, attemptBroken, why)
	}
	return false
}

// notRun notes an attempt that the backend server turned away.
func (x *exchange) notRun(answer *http.Response, told Answer) bool {
	q := x.request
	if _, err := upstream.ReadAll(answer.Body, maxRefusal); err != nil {
		x.conn.Close()
	} else {
		x.conn.Finish(answer)
	}
	if told.Elsewhere(x.backend.word().Incarnation()) {
		word := x.backend.word()
		x.gateway.backends.depart(word.Incarnation(), word.StartedAt())
		x.gateway.note(q, attemptElsewhere, "the address belongs to "+told.Incarnation)
		return false
	}
	if q.hasLapsed() {
		x.gateway.note(q, attemptLapsed, answer.Status)
		return false
	}
	x.backend.refused(time.Now())
	q.mayGoBackTo(x.backend)
	x.gateway.note(q, attemptRefused, answer.Status)
	return false
}

// mayGoBackTo lets a stream under way go on at a backend server that works and had no
// place for it only at that moment.
func (q *request) mayGoBackTo(b *backend) {
	if q.begun {
		delete(q.tried, b)
	}
}

// maxRefusal bounds the body of a refusal, which nobody reads.
const maxRefusal = 64 << 10
