// ================================================================
// Ends every request that was read with a response. If a handler returns without one, net/http
// closes the connection after a panic and otherwise writes an empty success, so the caller would
// get no result or a false one. This file handles every way in which a handler may end: a panic, a
// caller that disconnected, the end of a planned stop, and a request for which no further attempt
// is possible.
//
// Only a stream that has begun can end without a complete response: its head is already sent,
// and closing the connection is the only way to signal that it is incomplete.
// ================================================================

package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// finalAnswerMargin is how long before the end of a planned stop all waiting requests are
	// answered. Refusals are written within some ms, and a busy VM may delay a process by some
	// 100 ms.
	finalAnswerMargin = 200 * time.Millisecond
	// writeGrace is how long after its deadline a response may still be written. A response
	// that is already later than that, because the process was paused, gets the same time from
	// now.
	writeGrace = time.Second
	// abortLogGrace is how long aborted requests may take to log their outcome.
	abortLogGrace = 50 * time.Millisecond
)

// errStopping is the cause of ending requests that still wait near the end of a planned stop.
var errStopping = errors.New("the gateway is stopping")

// errStopLimit is the cause of ending requests that still run at the end of a planned stop.
var errStopLimit = errors.New("this gateway aborted it at the end of its planned stop")

// bindToStop ends a request before the end of the gateway's planned stop, unless its head is
// written by then. The returned function ends the request's context.
func (g *Gateway) bindToStop(q *request) (end func()) {
	ctx, cancel := context.WithCancelCause(q.incoming.Context())
	q.ctx = ctx
	q.detachFromStop = context.AfterFunc(g.stop.answerCtx, func() { cancel(errStopping) })
	detachRun := context.AfterFunc(g.stop.runCtx, func() { cancel(errStopLimit) })
	return func() {
		q.detachFromStop()
		detachRun()
		cancel(nil)
	}
}

// abortRunning aborts the requests that still run at the end of a planned stop, and waits
// briefly for them to log it. It returns how many there were.
func (g *Gateway) abortRunning() (requests int64) {
	requests = g.activeRequests.Load()
	g.stop.endRunCtx()
	for deadline := time.Now().Add(abortLogGrace); g.activeRequests.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return requests
}

// stopOutcomeOr returns the outcome of a request with an incomplete response: stopped by this
// gateway if its planned stop is over, which breaks connections on both sides, and else the
// given one.
func (g *Gateway) stopOutcomeOr(q *request, o outcome, reason string) (outcome, string) {
	if g.stop.isOver() {
		g.recordInterrupted(q, interruptStop, stageStreaming)
		return outcomeStopped, errStopLimit.Error()
	}
	return o, reason
}

// giveUp ends a request that was not answered: it closes the connection of a stream that has
// begun, relays a failure response that a backend server gave, or else refuses the request.
func (g *Gateway) giveUp(q *request, f *failure.Failure) {
	switch {
	case q.headWritten:
		g.recordOutcome(q, outcomeBroken, f.Message())
		panic(http.ErrAbortHandler)
	case q.fallback != nil:
		g.deliver(q, q.fallback)
	case q.mayHaveRun && f.Kind() != failure.DeadlineExceeded && f.Kind() != failure.OutcomeUnknown:
		g.refuse(q, failure.New(failure.OutcomeUnknown, "%s", f.Message()))
	default:
		g.refuse(q, f)
	}
}

// endCancelled ends a request whose context has ended.
func (g *Gateway) endCancelled(q *request) {
	if errors.Is(context.Cause(q.ctx), errStopping) {
		g.giveUp(q, failure.New(failure.DeadlineExceeded, "%v; last: %s", errStopping, q.lastAttempt))
		return
	}
	const callerLeft = "the caller left"
	if q.headWritten {
		o, reason := g.stopOutcomeOr(q, outcomeCallerLeft, callerLeft)
		g.recordOutcome(q, o, reason)
		panic(http.ErrAbortHandler)
	}
	// The caller may have closed only its sending side, and still read.
	f := failure.New(failure.Overloaded, callerLeft)
	if q.mayHaveRun {
		f = failure.New(failure.OutcomeUnknown, callerLeft)
	}
	if err := q.writeRefusal(f); err != nil {
		g.recordOutcome(q, outcomeCallerLeft, callerLeft+": "+err.Error())
		return
	}
	g.recordOutcome(q, outcomeCallerLeft, callerLeft)
}

// recoverPanic answers a request whose handler panicked, and logs the stack. It must be
// deferred.
func (g *Gateway) recoverPanic(q *request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause) // makes net/http close the connection
	}
	_ = level.Error(g.process.Logger).Log("msg", "panic", "request", q.head.ID, "cause", cause, "stack", string(debug.Stack()))
	q.mayHaveRun = q.mayHaveRun || q.sent > 0
	q.fallback = nil
	g.giveUp(q, failure.New(failure.Internal, "a panic: %v", cause))
}
