// ================================================================
// Monitoring of one active attempt: what it has received and when, and the longest silence
// expected of it. silence_detector.go holds all monitored attempts, silence_actions.go handles
// those that fall silent.
// ================================================================

package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// attemptMonitor monitors one active attempt.
type attemptMonitor struct {
	detector    *silenceDetector
	exchange    *exchange
	connectedAt time.Time
	sentAt      time.Time
	abort       func() // interrupts the attempt; nil where the request may not be retried

	// detected is set once the connection is found to be silent.
	detected atomic.Pointer[detectedSilence]

	mu           sync.Mutex
	lastReceived time.Time // the last bytes, or the sending where none came
	silenceLimit time.Duration
	received     bool
	streaming    bool
}

// detectedSilence describes the silence of a connection.
type detectedSilence struct {
	evidence      evidence
	lasted, limit time.Duration // its length, and the longest expected one
}

func (s detectedSilence) String() string {
	return fmt.Sprintf("connection silent for %d ms, expected at most %d ms; evidence: %s", s.lasted.Milliseconds(), s.limit.Milliseconds(), s.evidence)
}

// monitorAttempt starts monitoring an attempt that is about to be sent.
func (g *Gateway) monitorAttempt(x *exchange, abort func()) *attemptMonitor {
	now := time.Now()
	l := &attemptMonitor{detector: &g.silenceDetector, exchange: x, connectedAt: x.conn.DialedAt(), sentAt: now, lastReceived: now, abort: abort}
	g.silenceDetector.add(l, func() { g.checkSilence(time.Now()) })
	return l
}

// receivedBytes records that bytes came.
func (l *attemptMonitor) receivedBytes(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived, l.received = now, true
}

// receivedEvent records that an event of a stream came. The first one ends the wait.
func (l *attemptMonitor) receivedEvent(now time.Time) {
	l.mu.Lock()
	before, first := l.lastReceived, !l.streaming
	l.lastReceived, l.received, l.streaming = now, true, true
	l.mu.Unlock()
	if first {
		l.recordWait(now)
	}
	l.setSilenceLimit(l.detector.recordEvent(l, now, before, first))
}

// receivedAnswer records that an answer which is no stream has begun. Nothing is known of how
// long the rest takes, so there is no silence limit any more.
func (l *attemptMonitor) receivedAnswer(now time.Time) {
	l.recordWait(now)
	l.setSilenceLimit(0)
}

func (l *attemptMonitor) setSilenceLimit(due time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceLimit = due
}

// hasStreamed reports whether events came: the backend server then ran the request, and continues
// where it does not notice the silence.
func (l *attemptMonitor) hasStreamed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streaming
}

// recordWait records how long the attempt waited for its answer.
func (l *attemptMonitor) recordWait(now time.Time) {
	q := l.exchange.request
	l.detector.record(q.waitTimingKey(), now, now.Sub(l.sentAt)-q.firstEventForecast)
}

// waitTimingKey returns the timings that the request's wait is compared with.
func (q *request) waitTimingKey() timingKey {
	if q.firstEventForecast > 0 {
		return timingKey{q.service.Name(), timingLateness}
	}
	return timingKey{q.service.Name(), timingWait}
}

// domain returns the failure domain of the attempt's backend server.
func (l *attemptMonitor) domain() string { return l.exchange.backend.latestRegistration().Domain() }

// snapshot returns the attempt's current state.
func (l *attemptMonitor) snapshot() attemptSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.exchange.backend
	return attemptSnapshot{
		address: b.address, connectedAt: l.connectedAt, silentSince: l.lastReceived, silenceLimit: l.silenceLimit, received: l.received, streaming: l.streaming,
		engine: l.exchange.request.service.Engine().Slots() > 0, dialAnswered: b.reached.lastQuickDial(), backend: b,
	}
}
