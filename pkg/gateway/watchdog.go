// ================================================================
// The watchdog of an attempt acts when the backend server makes no progress for too long and the
// request may be retried elsewhere: it aborts the connection, or starts a standby where the caller has
// part of the answer.
//
// An engine under load is slow to begin, and a request that is aborted there loses its position in
// the queue. So before the first event an attempt is aborted early only when the backend server is
// silent to all requests of this gateway and its stager reports nothing either, or when
// the version of the weights there is about to expire. Without the stager's reports, a gateway with
// a single request at an engine (the usual case with hundreds of gateways) aborted it after a
// second.
// ================================================================

package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// watchdogInterval is the time between checks.
	watchdogInterval = 500 * time.Millisecond
	// backendSilenceLimit is how long a backend server may be silent to all requests and in its
	// stager's reports before an attempt that waits there is aborted early.
	backendSilenceLimit = time.Second
	// maxAttemptSilence is the longest time without progress for any attempt.
	maxAttemptSilence = 2 * time.Second
	// maxEventGap is the longest time between two events, and resumeMargin how much of the
	// caller's timeout must be left for a stream to resume elsewhere.
	maxEventGap  = 1200 * time.Millisecond
	resumeMargin = 2 * resumeLatency
)

// watchdog checks one attempt for progress.
type watchdog struct {
	exchange       *exchange
	timer          *time.Timer  // nil where the request may not be retried
	lastProgress   atomic.Int64 // nanoseconds since the attempt started
	streaming      atomic.Bool  // events come
	fired          atomic.Bool  // it aborted the attempt for lack of progress
	servedVersion  uint64       // the version there when the request was sent
	versionExpired atomic.Bool  // it interrupted the attempt because the version expires
	lateBy         atomic.Int64 // how late it did so, in nanoseconds; for the log

	checking  chan struct{} // semaphore held during a check, so that stop waits for it
	stopped   bool          // the connection no longer belongs to the attempt
	nextCheck time.Time     // when the scheduled check is due, if none is requested earlier
}

func newWatchdog(x *exchange) *watchdog {
	w := &watchdog{exchange: x, servedVersion: x.request.versionExpiry.served, checking: make(chan struct{}, 1)}
	if !x.request.route.Idempotent() {
		return w
	}
	// The timer must exist before the first check, which resets it.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.scheduleCheck()
	x.gateway.watchdogs.add(w)
	return w
}

// stop ends the watchdog, and waits for a running check: the connection may serve another request
// afterwards.
func (w *watchdog) stop() {
	if w.timer == nil {
		return
	}
	w.exchange.gateway.watchdogs.remove(w)
	w.checking <- struct{}{}
	defer func() { <-w.checking }()
	w.stopped = true
	w.timer.Stop()
}

// untilNextCheck returns the time to the next check. No check comes after the moment at which the
// version requires the attempt to be interrupted; a version update takes effect at the
// next check.
func (w *watchdog) untilNextCheck() time.Duration {
	left, expires := w.untilCancel()
	if !expires || w.streaming.Load() {
		return watchdogInterval
	}
	return max(0, min(left, watchdogInterval))
}

// scheduleCheck schedules the next check. Only a check calls it, or newWatchdog before the first
// one.
func (w *watchdog) scheduleCheck() {
	until := w.untilNextCheck()
	w.nextCheck = time.Now().Add(until)
	w.timer.Reset(until)
}

// recordProgress records that the backend server sent something.
func (w *watchdog) recordProgress() {
	w.lastProgress.Store(int64(time.Since(w.exchange.started)))
	w.exchange.backend.lastByteAt.set(time.Now())
}

// startStreaming records the first event.
func (w *watchdog) startStreaming() {
	w.streaming.Store(true)
	w.recordProgress()
}

func (w *watchdog) check() {
	w.checking <- struct{}{}
	defer func() { <-w.checking }()
	if w.stopped || w.exchange.request.ctx.Err() != nil || w.cancelExpired() {
		return
	}
	if time.Since(w.nextCheck) > processPauseThreshold {
		// This process was paused, and bytes that came meanwhile are not read yet: the silence
		// counts from now on.
		w.lastProgress.Store(int64(time.Since(w.exchange.started)))
		w.scheduleCheck()
		return
	}
	if b := w.exchange.backend; time.Since(b.lastByteAt.time()) > silenceBeforeDial {
		w.exchange.gateway.startDials(b)
	}
	now, stage := time.Now(), w.exchange.stage(w.streaming.Load())
	if left, expires := w.untilCancel(); expires && left < w.exchange.standbyLead(now) && !w.exchange.isStandby.Load() {
		w.exchange.interrupt(interruptExpiringSoon, stage, nil, now, nil)
	}
	if w.silentFor(now) > w.silenceLimit() {
		w.exchange.interrupt(interruptStall, stage, nil, now, func() {
			w.fired.Store(true)
			w.exchange.conn.Abort()
		})
	}
	w.scheduleCheck()
}

// standbyLead returns how long before a waiting attempt must end a standby is started, so that it begins
// by then.
func (x *exchange) standbyLead(now time.Time) time.Duration {
	return max(x.gateway.silenceDetector.longestResponseWait(x.request.service.Name(), now), resumeLatency) + watchdogInterval
}

// silentFor returns how long the attempt has been without progress.
func (w *watchdog) silentFor(now time.Time) time.Duration {
	return now.Sub(w.exchange.started) - time.Duration(w.lastProgress.Load())
}

// gapLimit returns how long the attempt may be silent between two events. An engine that
// sends nothing to any request although its stager reports its load is reading prompts. At another
// engine the stream would wait as long for its own prompt to be read again, so it stays while its
// caller waits.
func (w *watchdog) gapLimit() time.Duration {
	x := w.exchange
	last := x.started.Add(time.Duration(w.lastProgress.Load()))
	if x.backend.lastByteAt.time().After(last.Add(minSilence)) || !x.backend.hasRecentReport(time.Now()) {
		return maxEventGap
	}
	return x.longestEventGap()
}

// longestEventGap returns how long a stream may be silent while its caller still waits for it.
func (x *exchange) longestEventGap() time.Duration {
	return min(max(maxEventGap, x.gateway.callerTimeout(x.request)-resumeMargin), maxAttemptSilence)
}

// silenceLimit returns how long the attempt may be silent at its current stage.
func (w *watchdog) silenceLimit() time.Duration {
	if w.streaming.Load() {
		return w.gapLimit()
	}
	if time.Since(w.exchange.backend.lastContact()) > backendSilenceLimit {
		return backendSilenceLimit
	}
	return maxAttemptSilence
}
