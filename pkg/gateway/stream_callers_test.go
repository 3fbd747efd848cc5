// ================================================================
// Callers of gateways in virtual time: one request after the other, and what became of each.
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
	// callerPause lies between two requests of a caller.
	callerPause = 200 * time.Millisecond
	// deadlineTolerance is how early before a deadline an end counts as due to it.
	deadlineTolerance = 100 * time.Millisecond
)

// simRequest is one request of a caller.
type simRequest struct {
	id        string
	sentAt    time.Time
	lastEvent int // event
	gateway   *Gateway
	mu        sync.Mutex
	header    http.Header
	status    int
	body      bytes.Buffer
	ended     bool
	complete  bool
	endedAt   time.Time
}

func (a *simRequest) Header() http.Header { return a.header }

func (a *simRequest) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = status
}

func (a *simRequest) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.body.Write(b)
}

// Flush is there since streams are flushed.
func (a *simRequest) Flush() {}

// isWaiting tells whether the caller still waits.
func (a *simRequest) isWaiting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.ended && time.Since(a.sentAt) < callerTimeout-deadlineTolerance
}

// deadline is until when the caller waits.
func (a *simRequest) deadline() time.Time { return a.sentAt.Add(callerTimeout) }

// caller sends one request after the other to a gateway until the context ends.
func (w *streamSim) caller(ctx context.Context, member *simGateway, name string) {
	time.Sleep(w.randomDuration(0, time.Second))
	for i := 0; ctx.Err() == nil; i++ {
		w.send(member, fmt.Sprintf("%s-%d", name, i))
		time.Sleep(callerPause)
	}
}

// send sends one request, and notes what became of it.
func (w *streamSim) send(m *simGateway, id string) {
	prompt, tokens := int(w.randomDuration(100, 3880)), int(w.randomDuration(40, 480))
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://menus.example/draft/x", strings.NewReader("draft"))
	r.Header.Set(headerID, id)
	r.Header.Set(headerKey, "k1")
	r.Header.Set(headerModel, "menu")
	r.Header.Set(headerDeadline, fmt.Sprint(callerTimeout.Milliseconds()))
	r.Header.Set(headerTokens, fmt.Sprintf("%d,%d", prompt, tokens))
	a := &simRequest{id: id, sentAt: time.Now(), lastEvent: eventsOfTokens(tokens), gateway: m.process(), header: http.Header{}}
	w.mu.Lock()
	w.requests[id] = a
	w.mu.Unlock()
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
		}()
		a.gateway.ServeHTTP(a, r)
	}()
	w.classify(a)
}

func (w *streamSim) requestOf(id string) *simRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests[id]
}

// classify counts how a request ended.
func (w *streamSim) classify(a *simRequest) {
	a.mu.Lock()
	a.ended, a.endedAt = true, time.Now()
	a.complete = a.body.String() == events(1, a.lastEvent)
	a.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	v := &w.result
	v.sent++
	switch {
	case a.complete:
		v.complete++
	case !a.endedAt.Before(a.deadline().Add(-deadlineTolerance)):
		v.late++
	case a.status != http.StatusOK:
		v.refused++
	case a.gateway.stop.isOver():
	default:
		v.lost = append(v.lost, w.describe(a))
	}
}

// describe is what a finding says of a request, for whoever holds the lock.
func (w *streamSim) describe(a *simRequest) string {
	return fmt.Sprintf("%s sent at %s, now %s", a.id, a.sentAt.Sub(w.started).Round(time.Millisecond), time.Since(w.started).Round(time.Millisecond))
}
