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
	// callerWaits is a caller's deadline.
	callerWaits = 6 * time.Second
	// callerPause lies between two requests of a caller.
	callerPause = 200 * time.Millisecond
	// endNear is how early before a deadline an end counts as due to it.
	endNear = 100 * time.Millisecond
)

// virtualAsk is one request of a caller.
type virtualAsk struct {
	id      string
	sent    time.Time
	last    int // event
	gateway *Gateway
	mu      sync.Mutex
	header  http.Header
	status  int
	body    bytes.Buffer
	isOver  bool
	whole   bool
	endedAt time.Time
}

func (a *virtualAsk) Header() http.Header { return a.header }

func (a *virtualAsk) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = status
}

func (a *virtualAsk) Write(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.body.Write(b)
}

// Flush is there since streams are flushed.
func (a *virtualAsk) Flush() {}

// waits tells whether the caller still waits.
func (a *virtualAsk) waits() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.isOver && time.Since(a.sent) < callerWaits-endNear
}

// deadline is until when the caller waits.
func (a *virtualAsk) deadline() time.Time { return a.sent.Add(callerWaits) }

// caller sends one request after the other to a gateway until the context ends.
func (w *streamWorld) caller(ctx context.Context, m *streamGateway, name string) {
	time.Sleep(w.between(0, time.Second))
	for i := 0; ctx.Err() == nil; i++ {
		w.ask(m, fmt.Sprintf("%s-%d", name, i))
		time.Sleep(callerPause)
	}
}

// ask sends one request, and notes what became of it.
func (w *streamWorld) ask(m *streamGateway, id string) {
	prompt, tokens := int(w.between(100, 3880)), int(w.between(40, 480))
	ctx, cancel := context.WithTimeout(context.Background(), callerWaits)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://menus.example/draft/x", strings.NewReader("draft"))
	r.Header.Set(headerID, id)
	r.Header.Set(headerKey, "k1")
	r.Header.Set(headerModel, "menu")
	r.Header.Set(headerDeadline, fmt.Sprint(callerWaits.Milliseconds()))
	r.Header.Set(headerTokens, fmt.Sprintf("%d,%d", prompt, tokens))
	a := &virtualAsk{id: id, sent: time.Now(), last: eventsOfTokens(tokens), gateway: m.process(), header: http.Header{}}
	w.mu.Lock()
	w.asks[id] = a
	w.mu.Unlock()
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
		}()
		a.gateway.ServeHTTP(a, r)
	}()
	w.judge(a)
}

func (w *streamWorld) askOf(id string) *virtualAsk {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asks[id]
}

// judge counts how a request ended.
func (w *streamWorld) judge(a *virtualAsk) {
	a.mu.Lock()
	a.isOver, a.endedAt = true, time.Now()
	a.whole = a.body.String() == events(1, a.last)
	a.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	v := &w.verdict
	v.asked++
	switch {
	case a.whole:
		v.whole++
	case !a.endedAt.Before(a.deadline().Add(-endNear)):
		v.late++
	case a.status != http.StatusOK:
		v.refused++
	case a.gateway.stop.isOver():
	default:
		v.lost = append(v.lost, w.line(a))
	}
}

// line is what a finding says of a request, for whoever holds the lock.
func (w *streamWorld) line(a *virtualAsk) string {
	return fmt.Sprintf("%s sent at %s, now %s", a.id, a.sent.Sub(w.started).Round(time.Millisecond), time.Since(w.started).Round(time.Millisecond))
}
