package gateway

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// newFixtureWithBrokenStream is a gateway before an engine that breaks a stream off after its first event, and
// others of its version.
func newFixtureWithBrokenStream(t *testing.T, others ...*fakeBackend) *fixture {
	t.Helper()
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Raise(engineDocument(t))
	f.gateway.protocol.StreamIdleTimeout = func(time.Duration, time.Duration) time.Duration { return 4 * time.Second }
	breaking := newFakeBackend(t, "i-cut", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		return false
	})
	f.hearVersion(breaking, 1)
	for _, other := range others {
		f.hearVersion(other, 1)
	}
	f.prefer(append([]*fakeBackend{breaking}, others...)...)
	return f
}

// A stream to be resumed does not go where, as long as requests wait of late, it would begin after
// the version's end: it is taken back there, and the repeat is spent.
func TestResumedStreamAvoidsExpiringServer(t *testing.T) {
	const left = 1500 * time.Millisecond
	old := newFakeBackend(t, "i-old", func(w *bufio.Writer, r *http.Request) bool {
		<-time.After(left)
		return false
	})
	next := newFakeBackend(t, "i-next", streamAfter(1))
	f := newFixtureWithBrokenStream(t, old)
	f.hearNamed(left)
	for range minSamples {
		f.gateway.silenceDetector.record(timingKey{"menu", timingWait}, time.Now(), left)
	}
	go func() {
		<-time.After(3 * yieldLook)
		f.hearVersion(next, 2)
	}()
	status, _, body, err := f.do(t, f.draft(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if n := len(old.requests()); n > 0 {
		t.Errorf("it was sent %d times to an engine that could not begin it in time", n)
	}
}

// While it waits for a server a stream holds no repeat: others may need it.
func TestStreamWaitingForServerHoldsNoRetry(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Raise(engineDocument(t))
	f.gateway.protocol.StreamIdleTimeout = func(time.Duration, time.Duration) time.Duration { return 20 * yieldLook }
	f.hearVersion(newFakeBackend(t, "i-gone", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		f.gateway.backends.depart("i-gone", 0)
		return false
	}), 1)
	f.gateway.budget = settledBudget(0, 1.5*float64(f.gateway.countGateways()), time.Hour)
	finished := make(chan bool)
	go func() {
		defer close(finished)
		_, _, _, _ = f.do(t, f.draft(t))
	}()
	<-time.After(5 * yieldLook)
	if !f.gateway.budget.repeat("menu", f.gateway.countGateways()) {
		t.Error("the only repeat is held by a stream that waits")
	}
	<-finished
}

// A stream under way that full servers turn away waits between two tries, and as long as its caller
// does: it gave up after six tries within 0.2 s.
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
	status, _, body, err := f.do(t, f.draft(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if n := len(other.requests()); n > maxDials {
		t.Errorf("it was sent %d times", n)
	}
}
