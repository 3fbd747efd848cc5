// ================================================================
// The planned stop (graceful shutdown). The gateway reports not ready, accepts callers for some
// more time, and exits once no connection is in use or its time limit has passed.
//
// Every response written during the stop announces that its connection closes. A stream that
// began earlier could not announce it in its head, and its caller sends the next request over
// the same connection; that request is answered, with the announcement. So no connection closes
// right after a response that did not announce it, only after being idle for a while.
//
// Late in the stop the gateway starts no request that the end of the process may abort. An estimate
// of the run time alone does not suffice: engines may become slower after the signal.
//
// http.Server.Shutdown is not used. It closes such a connection as its stream ends, and resets
// connections that the kernel has accepted and the process has not.
// ================================================================

package gateway

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// stopMargin is how long before its configured limit a planned stop must be over.
	stopMargin = 300 * time.Millisecond
	// maxSignalDelay is how late a signal may be received. A busy VM may delay a process by
	// some 100 ms, and the time of a stop counts from the sending.
	maxSignalDelay = 300 * time.Millisecond
)

// gracefulStop is the state of a gateway's planned stop.
type gracefulStop struct {
	draining    atomic.Bool
	signalledAt atomicTime // when the signal was received; zero before
	endsAt      atomicTime // when the stop must be over; zero before the signal
	// answerCtx ends when all requests without a response head must be answered, and runCtx
	// when those still running are aborted.
	answerCtx, runCtx       context.Context
	endAnswerCtx, endRunCtx context.CancelFunc
}

// newGracefulStop returns a stop that has not begun.
func newGracefulStop() *gracefulStop {
	s := &gracefulStop{}
	s.answerCtx, s.endAnswerCtx = context.WithCancel(context.Background())
	s.runCtx, s.endRunCtx = context.WithCancel(context.Background())
	return s
}

// begin begins the stop, and returns when it must be over.
func (s *gracefulStop) begin(now time.Time, duration time.Duration) (limit time.Time) {
	limit = now.Add(duration)
	s.signalledAt.set(now)
	s.endsAt.set(limit)
	s.draining.Store(true)
	return limit
}

// isDraining reports whether the stop has begun.
func (s *gracefulStop) isDraining() bool { return s.draining.Load() }

// isOver reports whether the requests still running were aborted.
func (s *gracefulStop) isOver() bool { return s.runCtx.Err() != nil }

// elapsedMillis returns how many milliseconds after the signal a time is; nil if it is before
// the signal.
func (s *gracefulStop) elapsedMillis(at time.Time) any {
	signalledAt := s.signalledAt.time()
	if signalledAt.IsZero() || at.Before(signalledAt) {
		return nil
	}
	return at.Sub(signalledAt).Milliseconds()
}

// announceClose adds Connection: close to a response head during the stop.
func (s *gracefulStop) announceClose(header http.Header) {
	if s.isDraining() {
		header.Set("Connection", "close")
	}
}

// awaitStop waits for a signal, reports not ready, accepts callers for some more time, and then
// waits for the requests in flight.
func (g *Gateway) awaitStop(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
	}
	limit := g.stop.begin(time.Now(), g.settings.DrainLimit()-stopMargin)
	defer time.AfterFunc(time.Until(limit.Add(-finalAnswerMargin)), g.stop.endAnswerCtx).Stop()
	_ = level.Info(g.process.Logger).Log("msg", "stopping", "limit", g.settings.DrainLimit().String())
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(g.settings.DrainNotice()):
	}
	if l := g.callerListener.Load(); l != nil {
		l.stop()
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	if inUse := g.connections.drain(ctx); inUse > 0 {
		_ = level.Warn(g.process.Logger).Log("msg", "the stop closes connections in use", "connections", inUse, "requests", g.abortRunning())
	}
	g.reportRetryUsage()
	return nil
}

// checkStop returns why a request must not be sent to a backend server during a planned stop;
// nil if it may. A request that might still run at the end of the stop is refused at once: its
// caller has time to retry at another gateway, and an incomplete response is of no use.
//
// Late in the stop the gateway starts only requests that it will not abort. A stream is started if
// its own deadline ends before the stop does, and not because it is estimated to be over by then:
// an estimate knows neither what engines will do next nor, just after a start, what they did. Other
// responses are relayed whole or replaced by a refusal even at the end of the stop, and are started
// if recent ones took less than the time left.
//
// Early in the stop all callers still arrive, since no other gateway may be ready, and only
// requests estimated to be aborted are refused.
func (g *Gateway) checkStop(q *request) *failure.Failure {
	limit := g.stop.endsAt.time()
	if limit.IsZero() || q.headWritten {
		return nil
	}
	left := time.Until(limit) - finalAnswerMargin
	if q.remaining() <= left {
		return nil
	}
	run := q.maxRunTime(&g.silenceDetector, time.Now())
	isEarly, isStream := q.readAt.Before(g.lateStopStart()), q.route.Kind() == serviceconfig.Stream
	if run <= left && (isEarly || run > 0 && !isStream) {
		return nil
	}
	f := failure.New(failure.Draining, "the gateway stops in %s, and the request may run longer", left.Round(time.Millisecond))
	return f.WithRetryAfter(retryAfterSoon) // other gateways serve, unless all stop at once
}

// lateStopStart returns when the late part of a planned stop begins, in which the gateway starts no
// request that it may abort.
func (g *Gateway) lateStopStart() time.Time {
	return g.stop.signalledAt.time().Add(g.settings.DrainNotice() - maxSignalDelay)
}
