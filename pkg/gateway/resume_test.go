package gateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// newFixtureWithBrokenStream returns a gateway in front of an engine that breaks a stream after
// its first event, and of other servers with the same version.
func newFixtureWithBrokenStream(t *testing.T, others ...*fakeBackend) *fixture {
	t.Helper()
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Advance(engineDocument(t))
	f.gateway.protocol.StreamIdleTimeout = func(time.Duration, time.Duration) time.Duration { return 4 * time.Second }
	breaking := newFakeBackend(t, "i-cut", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		return false
	})
	f.registerVersion(breaking, 1)
	for _, other := range others {
		f.registerVersion(other, 1)
	}
	f.prefer(append([]*fakeBackend{breaking}, others...)...)
	return f
}

// A stream must not be resumed at an engine where, judging by recent waits, it would begin
// after the version expires: the attempt would be canceled there and its retry lost.
func TestResumedStreamAvoidsExpiringServer(t *testing.T) {
	const left = 1500 * time.Millisecond
	old := newFakeBackend(t, "i-old", func(w *bufio.Writer, r *http.Request) bool {
		<-time.After(left)
		return false
	})
	next := newFakeBackend(t, "i-next", streamAfter(1))
	f := newFixtureWithBrokenStream(t, old)
	f.setNamedVersion(left)
	for range minSamples {
		f.gateway.silenceDetector.record(timingKey{"menu", timingWait}, time.Now(), left)
	}
	go func() {
		<-time.After(3 * yieldRetryInterval)
		f.registerVersion(next, 2)
	}()
	status, _, body, err := f.do(t, f.draftRequest(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if n := len(old.requests()); n > 0 {
		t.Errorf("it was sent %d times to an engine that could not start it in time", n)
	}
}

// A stream that waits for a server must hold no retry, since others may need it.
func TestStreamWaitingForServerHoldsNoRetry(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Advance(engineDocument(t))
	f.gateway.protocol.StreamIdleTimeout = func(time.Duration, time.Duration) time.Duration { return 20 * yieldRetryInterval }
	f.registerVersion(newFakeBackend(t, "i-gone", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		f.gateway.backends.markDeparted("i-gone", 0)
		return false
	}), 1)
	f.gateway.budget = fullWindowBudget(0, 1.5*float64(f.gateway.countGateways()), time.Hour)
	finished := make(chan bool)
	go func() {
		defer close(finished)
		_, _, _, _ = f.do(t, f.draftRequest(t))
	}()
	<-time.After(5 * yieldRetryInterval)
	if !f.gateway.budget.takeRetry("menu", f.gateway.countGateways()) {
		t.Error("the waiting stream holds the only retry")
	}
	<-finished
}

// A stream in progress that full servers reject must back off between attempts, for as long as
// its caller waits. Guards against giving up after six attempts within 0.2 s.
func TestRejectedStreamRetriesWhileCallerWaits(t *testing.T) {
	const full = time.Second
	began := time.Now()
	other := newFakeBackend(t, "i-other", func(w *bufio.Writer, r *http.Request) bool {
		if time.Since(began) < full {
			writeResponse(w, r, "503 Service Unavailable", headerNotRun+": 1\r\n", "full")
			return true
		}
		return streamAfter(1)(w, r)
	})
	f := newFixtureWithBrokenStream(t, other)
	status, _, body, err := f.do(t, f.draftRequest(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if n := len(other.requests()); n > maxDials {
		t.Errorf("it was sent %d times", n)
	}
}

// A plain response to a resumed stream does not reach its caller, however long it is.
func TestLongPlainResponseIsNoPartOfAStream(t *testing.T) {
	var other *fakeBackend
	other = newFakeBackend(t, "i-other", func(w *bufio.Writer, r *http.Request) bool {
		if len(other.requests()) > 1 {
			return streamAfter(1)(w, r)
		}
		writeResponse(w, r, "200 OK", "Content-Type: text/plain\r\n", strings.Repeat("x", maxBuffered+1))
		return true
	})
	f := newFixtureWithBrokenStream(t, other)
	_, _, body, _ := f.do(t, f.draftRequest(t))
	if !strings.HasPrefix(events(1, 3), body) {
		t.Errorf("the caller received %d bytes that begin with %.60q", len(body), body)
	}
}
