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
	// signalLate is how long before it is taken a signal may have been sent: a busy VM lets
	// a process run some 100 ms late, and the time of a stop counts from the sending.
	signalLate = 300 * time.Millisecond
)

// plannedStop is how far the planned stop of a gateway has come.
type plannedStop struct {
	draining  atomic.Bool
	signalled moment // when the signal was taken; never before
	limit     moment // when the time for it is over; never before the signal
	// answering ends when all that have no head yet have to be answered, and running when
	// what still runs is cut.
	answering, running context.Context
	answerAll, cutAll  context.CancelFunc
}

// newPlannedStop returns one that has not begun.
func newPlannedStop() *plannedStop {
	s := &plannedStop{}
	s.answering, s.answerAll = context.WithCancel(context.Background())
	s.running, s.cutAll = context.WithCancel(context.Background())
	return s
}

// begin begins the stop, and returns when its time is over.
func (s *plannedStop) begin(now time.Time, lasts time.Duration) (limit time.Time) {
	limit = now.Add(lasts)
	s.signalled.set(now)
	s.limit.set(limit)
	s.draining.Store(true)
	return limit
}

// isDraining tells whether the stop has begun.
func (s *plannedStop) isDraining() bool { return s.draining.Load() }

// isOver tells whether what still ran was cut.
func (s *plannedStop) isOver() bool { return s.running.Err() != nil }

// lasts is for how long, in milliseconds, the stop had gone on at a moment; nil where it had
// not begun.
func (s *plannedStop) lasts(at time.Time) any {
	since := s.signalled.time()
	if since.IsZero() || at.Before(since) {
		return nil
	}
	return at.Sub(since).Milliseconds()
}

// tell has the head of an answer that is written next say that its connection closes.
func (s *plannedStop) tell(header http.Header) {
	if s.isDraining() {
		header.Set("Connection", "close")
	}
}

// waitStop waits for a signal, turns readiness, takes callers for a while
// longer, and then waits for what is in flight.
func (g *Gateway) waitStop(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
	}
	limit := g.stop.begin(time.Now(), g.settings.DrainLimit()-stopMargin)
	defer time.AfterFunc(time.Until(limit.Add(-lastAnswers)), g.stop.answerAll).Stop()
	_ = level.Info(g.process.Logger).Log("msg", "stopping", "limit", g.settings.DrainLimit().String())
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(g.settings.DrainNotice()):
	}
	if l := g.callers.Load(); l != nil {
		l.stop()
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	if cut := g.connections.awaitNone(ctx); cut > 0 {
		_ = level.Warn(g.process.Logger).Log("msg", "the stop closes connections in use", "connections", cut, "requests", g.cutRunning())
	}
	g.tellSpent()
	return nil
}

// mayOutliveStop tells why a request is not sent to a backend server in a planned stop; nil
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
func (g *Gateway) mayOutliveStop(q *request) *failure.Failure {
	limit := g.stop.limit.time()
	if limit.IsZero() || q.begun {
		return nil
	}
	left := time.Until(limit) - lastAnswers
	if q.remaining() <= left {
		return nil
	}
	run := q.longestRun(&g.silences, time.Now())
	isEarly, mayBeCut := q.read.Before(g.lateInStop()), q.route.Kind() == serviceconfig.Stream
	if run <= left && (isEarly || run > 0 && !mayBeCut) {
		return nil
	}
	f := failure.New(failure.Draining, "the gateway stops in %s, and the request may run for longer", left.Round(time.Millisecond))
	return f.WithRetryAfter(comeBackSoon) // others serve, unless all stop at one moment
}

// lateInStop is from when on a planned stop begins nothing that it may cut.
func (g *Gateway) lateInStop() time.Time {
	return g.stop.signalled.time().Add(g.settings.DrainNotice() - signalLate)
}
