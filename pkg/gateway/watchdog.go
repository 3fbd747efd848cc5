// ================================================================
// The watchdog of an attempt: it breaks the connection when the backend server
// says nothing for too long, where the request may go on elsewhere.
//
// An engine under load is slow to begin, and a request taken from its queue
// has waited in vain. So before the first event the attempt is only given up
// early when the backend server is silent to all requests from here and the
// stager beside it tells nothing of it either, or when the version of the weights
// there is about to lapse. Without the stager's word a gateway that has one request
// at an engine, as most have where there are hundreds, took it away after a second.
// ================================================================

package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// watchdogInterval is the time between looks.
	watchdogInterval = 500 * time.Millisecond
	// backendSilenceLimit is for how long a backend server may be silent to everybody.
	backendSilenceLimit = time.Second
	// maxAttemptSilence is for how long an attempt may be silent at the most.
	maxAttemptSilence = 2 * time.Second
	// maxEventGap is the same between two events, and leaveWithin how much of its caller's
	// patience is left when a stream goes on elsewhere.
	maxEventGap  = 1200 * time.Millisecond
	resumeMargin = 2 * goesOnWithin
)

type watchdog struct {
	exchange      *exchange
	timer         *time.Timer  // nil where the request may not run again
	lastProgress  atomic.Int64 // of this attempt, since its start
	streaming     atomic.Bool  // events come
	fired         atomic.Bool
	servedVersion uint64       // the version there when the request was sent
	lapsed        atomic.Bool  // it was taken back for its version
	lateBy        atomic.Int64 // and how late, in nanoseconds: for the log

	checking  chan struct{} // holds a value during a look, so that none is under way once it is over
	stopped   bool          // the connection is not the attempt's any more
	nextCheck time.Time     // when the look should come that is set; one brought forward is early
}

func newWatchdog(x *exchange) *watchdog {
	w := &watchdog{exchange: x, servedVersion: x.request.lapse.served, checking: make(chan struct{}, 1)}
	if !x.request.route.Idempotent() {
		return w
	}
	// It must be there before the first look, which sets it again.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.scheduleCheck()
	x.gateway.waiting.add(w)
	return w
}

// stop ends it. Another request may have the connection afterwards.
func (w *watchdog) stop() {
	if w.timer == nil {
		return
	}
	w.exchange.gateway.waiting.remove(w)
	w.checking <- struct{}{}
	defer func() { <-w.checking }()
	w.stopped = true
	w.timer.Stop()
}

// untilNextCheck is the time to the next look: none misses the moment at which the attempt is
// taken back, and what is heard of a version counts from the next one on.
func (w *watchdog) untilNextCheck() time.Duration {
	left, lapses := w.untilTakenBack()
	if !lapses || w.streaming.Load() {
		return watchdogInterval
	}
	return max(0, min(left, watchdogInterval))
}

// scheduleCheck sets the next look. It is called by a look, or before there is one.
func (w *watchdog) scheduleCheck() {
	until := w.untilNextCheck()
	w.nextCheck = time.Now().Add(until)
	w.timer.Reset(until)
}

// recordProgress notes that the backend server said something.
func (w *watchdog) recordProgress() {
	w.lastProgress.Store(int64(time.Since(w.exchange.started)))
	w.exchange.backend.heardAt.set(time.Now())
}

// startStreaming notes that events come from now on.
func (w *watchdog) startStreaming() {
	w.streaming.Store(true)
	w.recordProgress()
}

func (w *watchdog) check() {
	w.checking <- struct{}{}
	defer func() { <-w.checking }()
	if w.stopped || w.exchange.request.ctx.Err() != nil || w.takeBackLapsed() {
		return
	}
	if time.Since(w.nextCheck) > processPauseThreshold {
		// This process stood still, and what came meanwhile is not read yet: the
		// attempt counts as silent from now on.
		w.lastProgress.Store(int64(time.Since(w.exchange.started)))
		w.scheduleCheck()
		return
	}
	if b := w.exchange.backend; time.Since(b.heardAt.time()) > silentBeforeDial {
		w.exchange.gateway.doubt(b)
	}
	now, stage := time.Now(), w.exchange.stage(w.streaming.Load())
	if w.silentFor(now) > w.silenceLimit() && w.exchange.mayInterrupt(interruptStall, stage, now) {
		w.exchange.gateway.recordInterrupted(w.exchange.request, interruptStall, stage)
		w.fired.Store(true)
		w.exchange.conn.Abort()
		return
	}
	w.scheduleCheck()
}

// silentFor is for how long the attempt has been without progress.
func (w *watchdog) silentFor(now time.Time) time.Duration {
	return now.Sub(w.exchange.started) - time.Duration(w.lastProgress.Load())
}

// gapLimit is how long the attempt may be silent between two events. An engine that is heard of
// and gives none of its streams an event reads the prompts of others; elsewhere the stream
// would wait as long for its own to be read again. So it is left as long as its caller stays.
func (w *watchdog) gapLimit() time.Duration {
	x := w.exchange
	last := x.started.Add(time.Duration(w.lastProgress.Load()))
	if x.backend.heardAt.time().After(last.Add(minSilence)) || !x.backend.isHeardOf(time.Now()) {
		return maxEventGap
	}
	return x.longestEventGap()
}

// longestEventGap is how long a stream may be silent that its caller still waits for.
func (x *exchange) longestEventGap() time.Duration {
	return min(max(maxEventGap, x.gateway.patienceOf(x.request)-resumeMargin), maxAttemptSilence)
}

// silenceLimit is how long the attempt may be silent now.
func (w *watchdog) silenceLimit() time.Duration {
	if w.streaming.Load() {
		return w.gapLimit()
	}
	if time.Since(w.exchange.backend.heard()) > backendSilenceLimit {
		return backendSilenceLimit
	}
	return maxAttemptSilence
}
