// ================================================================
// When a standby of a running attempt may start: while the request's goroutine waits for bytes of the
// backend server, one at a time, and where the table of interruptions allows it.
// ================================================================

package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// standbyRetryInterval is the least time from a standby that was sent to the next one of the same
// attempt. One that found no server costs no retry, and another may follow soon.
const standbyRetryInterval = watchdogInterval

// standbyTracker holds the standby of a running attempt. The zero value has none and allows none.
type standbyTracker struct {
	deciding atomic.Bool // a check decides whether to start one

	mu sync.Mutex
	// receiving says that the request's goroutine waits for bytes of the backend server. A standby
	// starts only then, because the state of the request does not change meanwhile.
	receiving bool
	ended     bool // the attempt has ended
	current   *standby
	since     time.Time // when the first one started
}

// beginReceiving allows a standby to start.
func (s *standbyTracker) beginReceiving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiving = true
}

// endReceiving keeps further ones from starting. ended says that the attempt has ended.
func (s *standbyTracker) endReceiving(ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receiving, s.ended = false, ended
}

// hasEnded reports whether the attempt has ended.
func (s *standbyTracker) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// latest returns the current or last standby; nil if there was none.
func (s *standbyTracker) latest() *standby {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// cancelPending cancels a pending standby because the attempt has received something. It returns false if
// the standby has taken over.
func (s *standbyTracker) cancelPending() bool {
	current := s.latest()
	if current == nil || current.stop() {
		return true
	}
	<-current.done // by then takeOver has recorded why the attempt ends
	return false
}

// allowsLocked reports whether a standby may start now. The caller holds s.mu.
func (s *standbyTracker) allowsLocked(now time.Time) bool {
	return s.receiving && (s.current == nil || s.current.mayRepeat(now))
}

// prepareStandby reports whether a standby may start now. If so, the request learns first what the
// one before it did: the servers where a request may run are limited.
func (x *exchange) prepareStandby(now time.Time) bool {
	tracker, q := &x.standbys, x.request
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if !tracker.allowsLocked(now) || q.remaining() <= resumeLatency {
		return false
	}
	if tracker.current != nil {
		q.absorb(tracker.current.request)
		x.failoverRequirements.tried = maps.Clone(q.tried)
		if len(q.ranAt) >= q.route.MaxAttempts() {
			x.failoverRequirements.only = maps.Clone(q.ranAt)
		}
	}
	return true
}

// startStandby starts a standby if the table of interruptions allows it for a reason. silence is set
// where the connection of the attempt seems silent: the standby may then use the same server.
func (x *exchange) startStandby(reason interruptReason, stage answerStage, silence *detectedSilence, now time.Time) {
	if x.isStandby.Load() || !x.standbys.deciding.CompareAndSwap(false, true) {
		return
	}
	defer x.standbys.deciding.Store(false)
	if !x.prepareStandby(now) || !x.mayInterrupt(reason, stage, now) {
		return
	}
	b := x.request.reserved.Swap(nil)
	taken := x.request.retryTaken.Swap(false) // false if the request's goroutine has used it meanwhile
	s := x.newStandby(reason, stage, silence, now)
	if s == nil {
		if taken {
			x.gateway.budget.refund(x.request.service.Name())
		}
		return
	}
	s.request.reserved.Store(b)
	s.request.retryTaken.Store(true)
	go s.run()
}

// newStandby forks the request for a standby; nil if the attempt has received something meanwhile.
func (x *exchange) newStandby(reason interruptReason, stage answerStage, silence *detectedSilence, now time.Time) *standby {
	tracker := &x.standbys
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	state := x.silenceMonitor.snapshot()
	if !tracker.allowsLocked(now) || state.silentSince.After(now) {
		return nil
	}
	if tracker.since.IsZero() {
		tracker.since = now
	}
	ctx, cancel := context.WithCancel(x.request.ctx)
	q := x.request.fork(ctx)
	q.ranAt[x.backend] = true
	if silence != nil {
		// Only the connection is at fault. Its run may still hold a slot at the server.
		delete(q.tried, x.backend)
		if stage == stageStreaming {
			q.runLostAt = tracker.since
		}
	}
	tracker.current = &standby{
		running: x, reason: reason, stage: stage, silence: silence, request: q, cancel: cancel,
		started: now, pause: time.Duration((1 + x.gateway.random()/2) * float64(yieldRetryInterval)), silent: state.silentFor(now), done: make(chan struct{}),
	}
	return tracker.current
}

// mayRepeat reports whether another standby may follow this one.
func (s *standby) mayRepeat(now time.Time) bool {
	if !s.isOver() || s.state.Load() == standbyTookOver {
		return false
	}
	pause := s.pause
	if s.sent {
		pause = standbyRetryInterval
	}
	return now.Sub(s.started) >= pause
}
