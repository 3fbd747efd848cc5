// ================================================================
// The planned stop. Readiness turns, callers are taken for a while longer, and then the
// gateway goes once nobody uses it any more or its time is over.
//
// Every answer of that time says that its connection closes. A stream that began before
// could not say so in its head, and its caller sends the next request over the same
// connection: that one is answered, and told. So no connection closes right behind an
// answer that did not announce it; one that rests for a while does.
//
// Nothing is begun late that the end of the process may cut. Rejected: to ask an estimate
// alone. Engines that become slower after the signal make it wrong.
//
// Rejected: http.Server.Shutdown. It closes such a connection as its stream ends, and
// resets those that the kernel has accepted and the process has not.
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
	// stopMargin is kept to the limit of a planned stop.
	stopMargin = 300 * time.Millisecond
	// maxSignalDelay is how long before it is taken a signal may have been sent: a busy VM lets
	// a process run some 100 ms late, and the time of a stop counts from the sending.
	maxSignalDelay = 300 * time.Millisecond
)

// gracefulStop is how far the planned stop of a gateway has come.
type gracefulStop struct {
	draining    atomic.Bool
	signalledAt atomicTime // when the signal was taken; never before
	endsAt      atomicTime // when the time for it is over; never before the signal
	// answerCtx ends when all that have no head yet have to be answered, and running when
	// what still runs is cut.
	answerCtx, runCtx       context.Context
	endAnswerCtx, endRunCtx context.CancelFunc
}

// newGracefulStop returns one that has not begun.
func newGracefulStop() *gracefulStop {
	s := &gracefulStop{}
	s.answerCtx, s.endAnswerCtx = context.WithCancel(context.Background())
	s.runCtx, s.endRunCtx = context.WithCancel(context.Background())
	return s
}

// begin begins the stop, and returns when its time is over.
func (s *gracefulStop) begin(now time.Time, duration time.Duration) (limit time.Time) {
	limit = now.Add(duration)
	s.signalledAt.set(now)
	s.endsAt.set(limit)
	s.draining.Store(true)
	return limit
}

// isDraining tells whether the stop has begun.
func (s *gracefulStop) isDraining() bool { return s.draining.Load() }

// isOver tells whether what still ran was cut.
func (s *gracefulStop) isOver() bool { return s.runCtx.Err() != nil }

// elapsedMillis is for how long, in milliseconds, the stop had gone on at a moment; nil where it had
// not begun.
func (s *gracefulStop) elapsedMillis(at time.Time) any {
	signalledAt := s.signalledAt.time()
	if signalledAt.IsZero() || at.Before(signalledAt) {
		return nil
	}
	return at.Sub(signalledAt).Milliseconds()
}

// announceClose has the head of an answer that is written next say that its connection closes.
func (s *gracefulStop) announceClose(header http.Header) {
	if s.isDraining() {
		header.Set("Connection", "close")
	}
}

// awaitStop waits for a signal, turns readiness, takes callers for a while
// longer, and then waits for what is in flight.
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
	g.tellSpent()
	return nil
}

// checkStop tells why a request is not sent to a backend server in a planned stop; nil
// where it is. Whatever might still run when the time is over is refused at once: its caller
// has time to go elsewhere, and half of an answer serves nobody.
//
// Late in the stop only what cannot be cut is begun. A stream whose own time ends before the
// stop does is; one that should be over by then is not, since an estimate knows neither what
// engines will do next nor, just after a start, what they did. Other answers are whole or a
// refusal also when the stop is over, and are begun where those of late took less.
//
// Early in the stop all callers still come, since no other gateway may be ready, and only
// what would be cut by the estimate is refused.
func (g *Gateway) checkStop(q *request) *failure.Failure {
	limit := g.stop.endsAt.time()
	if limit.IsZero() || q.headWritten {
		return nil
	}
	left := time.Until(limit) - finalAnswerMargin
	if q.remaining() <= left {
		return nil
	}
	run := q.longestRun(&g.silenceDetector, time.Now())
	isEarly, isStream := q.readAt.Before(g.lateStopStart()), q.route.Kind() == serviceconfig.Stream
	if run <= left && (isEarly || run > 0 && !isStream) {
		return nil
	}
	f := failure.New(failure.Draining, "the gateway stops in %s, and the request may run for longer", left.Round(time.Millisecond))
	return f.WithRetryAfter(retryAfterSoon) // others serve, unless all stop at one moment
}

// lateStopStart is from when on a planned stop begins nothing that it may cut.
func (g *Gateway) lateStopStart() time.Time {
	return g.stop.signalledAt.time().Add(g.settings.DrainNotice() - maxSignalDelay)
}
