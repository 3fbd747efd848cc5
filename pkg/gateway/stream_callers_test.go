// ================================================================
// Callers of simulated gateways in virtual time. Each sends one request after the other, and the
// simulation records how each request ended.
// ================================================================

package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	// callerTimeout is a caller's deadline.
	callerTimeout = 6 * time.Second
	// callerPause is the time between two requests of a caller.
	callerPause = 200 * time.Millisecond
	// deadlineTolerance is how long before a deadline the end of a request counts as caused by it.
	deadlineTolerance = 100 * time.Millisecond
)

// simRequest is one request of a caller, and its http.ResponseWriter.
type simRequest struct {
	id        string
	sentAt    time.Time
	lastEvent int // number of the answer's last event
	gateway   *Gateway
	mu        sync.Mutex
	header    http.Header
	status    int
	body      bytes.Buffer
	ended     bool
	complete  bool
	endedAt   time.Time
}

func (q *simRequest) Header() http.Header { return q.header }

func (q *simRequest) WriteHeader(status int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.status = status
}

func (q *simRequest) Write(b []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.body.Write(b)
}

// Flush implements http.Flusher, which streams require.
func (q *simRequest) Flush() {}

// isWaiting reports whether the caller still waits for the answer.
func (q *simRequest) isWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.ended && time.Since(q.sentAt) < callerTimeout-deadlineTolerance
}

// deadline returns until when the caller waits.
func (q *simRequest) deadline() time.Time { return q.sentAt.Add(callerTimeout) }

// caller sends one request after the other to a gateway until the context ends.
func (s *streamSim) caller(ctx context.Context, m *simGateway, name string) {
	time.Sleep(s.randomDuration(0, time.Second))
	for i := 0; ctx.Err() == nil; i++ {
		s.send(m, fmt.Sprintf("%s-%d", name, i))
		time.Sleep(callerPause)
	}
}

// send sends one request, and records how it ended.
func (s *streamSim) send(m *simGateway, id string) {
	prompt, tokens := int(s.randomDuration(100, 3880)), int(s.randomDuration(40, 480))
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://menus.example/draft/x", strings.NewReader("draft"))
	r.Header.Set(headerID, id)
	r.Header.Set(headerKey, "k1")
	r.Header.Set(headerModel, "menu")
	r.Header.Set(headerDeadline, fmt.Sprint(callerTimeout.Milliseconds()))
	r.Header.Set(headerTokens, fmt.Sprintf("%d,%d", prompt, tokens))
	q := &simRequest{id: id, sentAt: time.Now(), lastEvent: eventsOfTokens(tokens), gateway: m.process(), header: http.Header{}}
	s.mu.Lock()
	s.requests[id] = q
	s.mu.Unlock()
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
		}()
		q.gateway.ServeHTTP(q, r)
	}()
	s.classify(q)
}

func (s *streamSim) requestOf(id string) *simRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// classify counts how a request ended.
func (s *streamSim) classify(q *simRequest) {
	q.mu.Lock()
	q.ended, q.endedAt = true, time.Now()
	q.complete = q.body.String() == events(1, q.lastEvent)
	q.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	result := &s.result
	result.sent++
	switch {
	case q.complete:
		result.complete++
	case !q.endedAt.Before(q.deadline().Add(-deadlineTolerance)):
		result.late++
	case q.status != http.StatusOK:
		result.refused++
	case q.gateway.stop.isOver():
	default:
		result.lost = append(result.lost, s.describe(q))
	}
}

// describe returns the text of a finding about a request. The caller holds the lock.
func (s *streamSim) describe(q *simRequest) string {
	return fmt.Sprintf("%s sent at %s, now %s", q.id, q.sentAt.Sub(s.started).Round(time.Millisecond), time.Since(s.started).Round(time.Millisecond))
}
