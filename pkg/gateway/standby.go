// ================================================================
// Standby attempts. A stream whose attempt seems stuck may do better at another backend server, but
// whether a server takes the request and begins it in time is known only once it has. So the gateway
// keeps the running attempt and starts a second one, the standby, which resumes behind the last event
// that the caller has. The first new event decides: if it comes from the running attempt, the standby
// is canceled; if it comes from the standby, that takes over and the running attempt is aborted.
//
// Events of one attempt only reach the caller: a standby resumes behind the event that the caller
// has, and no longer fits once the running attempt has relayed a later one.
// ================================================================

package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

// standbyState is the state of a standby attempt.
type standbyState = int32

const (
	// standbyPending is a standby without an event.
	standbyPending standbyState = iota
	// standbyTookOver is one whose first event came before the next one of the running attempt.
	standbyTookOver
	// standbyCanceled is one that the running attempt has preceded, or that is not needed any more.
	standbyCanceled
)

// standby is a second attempt of a request whose running attempt is kept.
type standby struct {
	running *exchange
	reason  interruptReason
	stage   answerStage
	silence *detectedSilence // of the running attempt's connection; nil for other reasons
	request *request         // a fork of the running attempt's request
	cancel  context.CancelFunc
	started time.Time
	pause   time.Duration // until the next one may start, if this one is not sent
	silent  time.Duration // how long the running attempt had been silent then
	state   atomic.Int32
	done    chan struct{} // closed once it has taken over or ended
	sent    bool          // valid once done is closed

	// exchange, response and first are set if it has taken over, and valid once done is closed.
	exchange *exchange
	response *http.Response
	first    streamPart
}

// isOver reports whether the standby has ended or taken over.
func (s *standby) isOver() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// stop cancels the standby and reports whether it did; false if it has taken over.
func (s *standby) stop() bool {
	if !s.state.CompareAndSwap(standbyPending, standbyCanceled) {
		return s.state.Load() == standbyCanceled
	}
	s.cancel()
	return true
}

// takeOver makes the standby the attempt that answers the request, and aborts the running one. It
// returns false if that has preceded it.
func (s *standby) takeOver() bool {
	if !s.state.CompareAndSwap(standbyPending, standbyTookOver) {
		return false
	}
	x := s.running
	if !x.standbys.hasEnded() {
		x.gateway.recordInterrupted(x.request, s.reason, s.stage)
	}
	switch {
	case s.silence != nil:
		x.silenceMonitor.detected.Store(s.silence)
		x.gateway.metrics.silentConnections.WithLabelValues(string(s.silence.evidence)).Inc()
	case s.reason == interruptExpiringSoon:
		x.watch.versionExpired.Store(true)
	default:
		x.watch.fired.Store(true)
	}
	x.conn.Abort()
	return true
}

// run makes the standby attempt up to its first event.
func (s *standby) run() {
	g, q := s.running.gateway, s.request
	defer close(s.done)
	defer s.log()
	defer g.returnPermit(q)
	defer g.returnRetry(q)
	defer s.recoverPanic()
	if f := g.checkMayAttempt(q, 0); f != nil {
		return
	}
	// Others may need the retry while a server is chosen, and one that is held for long can't be put back.
	g.returnRetry(q)
	b := g.chooseWithoutWaiting(q, g.requirementsFor(q))
	if b == nil || !s.takeRetry() {
		return
	}
	x := g.startAttempt(q, b)
	if x == nil {
		return
	}
	s.sent = true
	defer func() {
		if s.exchange == nil {
			x.close()
		}
	}()
	if s.begin(x) {
		s.exchange = x
	}
}

// takeRetry takes the retry of the standby from the budget again.
func (s *standby) takeRetry() bool {
	g, q := s.running.gateway, s.request
	q.retryTaken.Store(g.budget.takeRetry(q.service.Name(), g.countGateways()))
	return q.retryTaken.Load()
}

// begin sends the request, waits for the first event and takes over. It returns false if the attempt
// ended, or the running one preceded it.
func (s *standby) begin(x *exchange) bool {
	x.isStandby.Store(true)
	response, ok := x.send()
	if !ok {
		return false
	}
	if !isStream(s.request, response) {
		x.recordBroken("a resumed stream was answered with "+response.Status, nil)
		return false
	}
	first := x.receiveNew(newEventReader(response.Body))
	if first.err != nil && !first.isEnd() {
		x.recordBroken("the stream was cut short", first.err)
		return false
	}
	if !x.endWait() {
		x.recordBroken("the stream was cut short", errAbandoned)
		return false
	}
	s.response, s.first = response, first
	if !s.takeOver() {
		<-s.request.ctx.Done() // stop cancels it, so this does not count as a failure of the server
		x.recordBroken("the running attempt continued", nil)
		return false
	}
	x.isStandby.Store(false)
	return true
}

// log logs how the standby ended. One that found no server is no attempt.
func (s *standby) log() {
	if !s.sent {
		return
	}
	x, outcome := s.running, "failed"
	switch s.state.Load() {
	case standbyTookOver:
		outcome = "took over"
	case standbyCanceled:
		outcome = "canceled"
	}
	_ = level.Info(x.gateway.process.Logger).Log("msg", "standby attempt", "request", s.request.head.ID, "outcome", outcome, "reason", string(s.reason),
		"running", x.backend.latestRegistration().Incarnation(), "backend", s.request.lastBackend, "silent_ms", s.silent.Milliseconds(),
		"ms", time.Since(s.started).Milliseconds(), "left_ms", s.request.remaining().Milliseconds())
}

// recoverPanic logs a panic of the standby, which then counts as failed.
func (s *standby) recoverPanic() {
	if cause := recover(); cause != nil {
		_ = level.Error(s.running.gateway.process.Logger).Log("msg", "panic", "request", s.request.head.ID, "cause", cause, "stack", string(debug.Stack()))
	}
}

// chooseWithoutWaiting chooses a backend server where the request resumes, or returns nil if there is none
// now.
func (g *Gateway) chooseWithoutWaiting(q *request, w requirements) *backend {
	if b := g.takeReserved(q); b != nil {
		return b
	}
	if q.yields(time.Now()) {
		w.maxWait = q.maxWait()
	}
	b, _ := g.chooseBeforeExpiry(q, w)
	return b
}

// awaitStandby waits for the standby of a request whose attempt has ended, if there is one. It returns
// the standby if that has taken over.
func (g *Gateway) awaitStandby(q *request) *standby {
	s := q.standby
	if s == nil {
		return nil
	}
	q.standby = nil
	<-s.done
	delete(s.request.tried, s.running.backend) // q.tried has it if it may not be tried again
	if s.exchange == nil {
		s.cancel()
		q.absorb(s.request)
		return nil
	}
	s.request.absorb(q)
	if q.uncharged {
		// The attempt that it replaced never reached its server, so this one is no retry.
		g.budget.refund(q.service.Name())
	}
	return s
}

// endStandby cancels the standby of a request that is over.
func (g *Gateway) endStandby(q *request) {
	s := q.standby
	if s == nil {
		return
	}
	q.standby = nil
	s.stop()
	<-s.done
	if s.exchange != nil {
		s.exchange.close()
	}
	s.cancel()
}

// forwardStandby relays the stream of a standby that has taken over, and continues the request from
// there.
func (g *Gateway) forwardStandby(s *standby) {
	defer s.cancel()
	defer g.endStandby(s.request)
	if s.relay() {
		return
	}
	if next := g.awaitStandby(s.request); next != nil {
		g.forwardStandby(next)
		return
	}
	g.forward(s.request)
}

// relay relays the rest of the stream, and reports whether the request is over.
func (s *standby) relay() (answered bool) {
	defer s.exchange.close()
	return s.exchange.relayParts(s.response, s.first)
}
