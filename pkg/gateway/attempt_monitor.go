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
	lastReceived time.Time // when the last bytes came, or when the request was sent if none came
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
	m := &attemptMonitor{detector: &g.silenceDetector, exchange: x, connectedAt: x.conn.DialedAt(), sentAt: now, lastReceived: now, abort: abort}
	g.silenceDetector.add(m, func() { g.checkSilence(time.Now()) })
	return m
}

// receivedBytes records that bytes came.
func (m *attemptMonitor) receivedBytes(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReceived, m.received = now, true
}

// receivedEvent records that an event of a stream came. The first one ends the wait.
func (m *attemptMonitor) receivedEvent(now time.Time) {
	m.mu.Lock()
	before, first := m.lastReceived, !m.streaming
	m.lastReceived, m.received, m.streaming = now, true, true
	m.mu.Unlock()
	if first {
		m.recordWait(now)
	}
	m.setSilenceLimit(m.detector.recordEvent(m, now, before, first))
}

// receivedAnswer records that an answer which is no stream has begun. It removes the silence limit,
// since it is not known how long the rest takes.
func (m *attemptMonitor) receivedAnswer(now time.Time) {
	m.recordWait(now)
	m.setSilenceLimit(0)
}

func (m *attemptMonitor) setSilenceLimit(limit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silenceLimit = limit
}

// hasStreamed reports whether events came. The backend server then ran the request, and continues to
// run it if it does not notice that the connection is silent.
func (m *attemptMonitor) hasStreamed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.streaming
}

// recordWait records how long the attempt waited for its answer.
func (m *attemptMonitor) recordWait(now time.Time) {
	q := m.exchange.request
	m.detector.record(q.waitTimingKey(), now, now.Sub(m.sentAt)-q.firstEventForecast)
}

// waitTimingKey returns the timings that the request's wait is compared with.
func (q *request) waitTimingKey() timingKey {
	if q.firstEventForecast > 0 {
		return timingKey{q.service.Name(), timingForecastError}
	}
	return timingKey{q.service.Name(), timingWait}
}

// domain returns the failure domain of the attempt's backend server.
func (m *attemptMonitor) domain() string { return m.exchange.backend.latestRegistration().Domain() }

// snapshot returns the attempt's current state.
func (m *attemptMonitor) snapshot() attemptSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.exchange.backend
	return attemptSnapshot{
		address: b.address, connectedAt: m.connectedAt, silentSince: m.lastReceived, silenceLimit: m.silenceLimit, received: m.received, streaming: m.streaming,
		engine: m.exchange.request.service.Engine().Slots() > 0, dialAnswered: b.dialTimes.lastQuickDial(), backend: b,
	}
}
