// ================================================================
// One attempt under way as it listens: what it has heard and when, and for how long
// silence is usual of it. listeners.go has all of them, distrust.go what is done about
// those that fell silent.
// ================================================================

package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// attemptMonitor is one attempt under way.
type attemptMonitor struct {
	detector    *silenceDetector
	exchange    *exchange
	connectedAt time.Time
	sentAt      time.Time
	abort       func() // nil where the request may not run again

	// detected is how its connection was found to be silent.
	detected atomic.Pointer[detectedSilence]

	mu           sync.Mutex
	lastReceived time.Time // the last bytes, or the sending
	silenceLimit time.Duration
	received     bool
	streaming    bool
}

// detectedSilence is how a connection was found to be silent.
type detectedSilence struct {
	evidence      evidence
	lasted, limit time.Duration // how long it lasted, and how long is usual
}

func (s detectedSilence) String() string {
	return fmt.Sprintf("its connection was silent for %d ms, usual are %d; evidence: %s", s.lasted.Milliseconds(), s.limit.Milliseconds(), s.evidence)
}

// monitorAttempt begins to listen to an attempt that is about to be sent.
func (g *Gateway) monitorAttempt(x *exchange, breakOff func()) *attemptMonitor {
	now := time.Now()
	l := &attemptMonitor{detector: &g.silences, exchange: x, connectedAt: x.conn.Made(), sentAt: now, lastReceived: now, abort: breakOff}
	g.silences.add(l, func() { g.checkSilence(time.Now()) })
	return l
}

// receivedBytes notes that bytes came.
func (l *attemptMonitor) receivedBytes(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived, l.received = now, true
}

// receivedEvent notes that an event of a stream came; the first one ends the wait.
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

// receivedAnswer notes that an answer that is no stream has begun. How long the rest of it
// takes is not known.
func (l *attemptMonitor) receivedAnswer(now time.Time) {
	l.recordWait(now)
	l.setSilenceLimit(0)
}

func (l *attemptMonitor) setSilenceLimit(due time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceLimit = due
}

// hasStreamed tells whether the backend server was at work on the attempt, and goes on with
// it where it does not hear of the silence.
func (l *attemptMonitor) hasStreamed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streaming
}

// recordWait learns how long the attempt waited.
func (l *attemptMonitor) recordWait(now time.Time) {
	q := l.exchange.request
	l.detector.record(q.waitTimingKey(), now, now.Sub(l.sentAt)-q.forecast)
}

// waitTimingKey says what the wait of a request is compared with.
func (q *request) waitTimingKey() timingKey {
	if q.forecast > 0 {
		return timingKey{q.service.Name(), timingLateness}
	}
	return timingKey{q.service.Name(), timingWait}
}

// domain is the failure domain of the attempt's backend server.
func (l *attemptMonitor) domain() string { return l.exchange.backend.word().Domain() }

// snapshot returns what was heard so far.
func (l *attemptMonitor) snapshot() attemptSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.exchange.backend
	return attemptSnapshot{
		address: b.address, connectedAt: l.connectedAt, silentSince: l.lastReceived, silenceLimit: l.silenceLimit, received: l.received, streaming: l.streaming,
		engine: l.exchange.request.service.Engine().Slots() > 0, dialAnswered: b.reached.lastQuickDial(), backend: b,
	}
}
