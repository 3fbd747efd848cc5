// ================================================================
// Every request that was read ends by an answer. A handler that returns without one
// leaves it to net/http, which closes the connection after a panic and else writes an
// empty success: a caller then knows nothing, or something false. So all ways out of a
// handler come together here: a panic, a caller that left, a planned stop whose time is
// over, and a request for which nothing more may be tried.
//
// Only a stream that has begun can end without a whole answer: its head is out, and a
// connection that closes is then the one way to say that it is not whole.
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
	// finalAnswerMargin is how long before the limit of a planned stop all that still wait
	// are answered: refusals are written within some ms, and a busy VM lets a
	// process run some 100 ms late.
	finalAnswerMargin = 200 * time.Millisecond
	// writeGrace is how long after its deadline an answer may still be written, and
	// how long one that is later than that, since the process stood still, may take.
	writeGrace = time.Second
	// abortLogGrace is how long requests that are cut may take to say so in the log.
	abortLogGrace = 50 * time.Millisecond
)

// errStopping is why requests end that still wait when the time for a planned stop is
// nearly over.
var errStopping = errors.New("the gateway stops")

// errStopLimit is why requests end that still run when it goes.
var errStopLimit = errors.New("this gateway cut it: the time for its planned stop is over")

// bindToStop has a request end before the gateway's time for a planned stop does, unless
// its head is written by then. The function that it returns ends the request's context.
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

// abortRunning cuts the requests that run when the time for a planned stop is over, and gives
// them a moment to say so. It returns how many there were.
func (g *Gateway) abortRunning() (requests int64) {
	requests = g.activeRequests.Load()
	g.stop.endRunCtx()
	for deadline := time.Now().Add(abortLogGrace); g.activeRequests.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	return requests
}

// stopOutcomeOr is how a request ends whose answer is not whole: cut by this gateway where the time
// for its stop is over, which breaks connections to both sides, and else as it seems.
func (g *Gateway) stopOutcomeOr(q *request, o outcome, reason string) (outcome, string) {
	if g.stop.isOver() {
		g.recordInterrupted(q, interruptStop, stageStreaming)
		return outcomeStopped, errStopLimit.Error()
	}
	return o, reason
}

// giveUp ends a request that was not answered: by the answer that a backend
// server did give, by breaking off a stream that began, or by a refusal.
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
	// It may have closed its sending side only, and still read.
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

// recoverPanic answers a request whose handler panicked, and logs where. It is to be
// deferred.
func (g *Gateway) recoverPanic(q *request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause) // the connection is to close
	}
	_ = level.Error(g.process.Logger).Log("msg", "panic", "request", q.head.ID, "cause", cause, "stack", string(debug.Stack()))
	q.mayHaveRun = q.mayHaveRun || q.sent > 0
	q.fallback = nil
	g.giveUp(q, failure.New(failure.Internal, "a panic: %v", cause))
}
