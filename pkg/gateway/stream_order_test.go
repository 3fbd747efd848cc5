package gateway

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Guards against resuming a stream on an engine that is about to break it off as well. An order
// for new weights broke off a stream at its engine; the stream resumed on an engine that had not
// carried out its own order yet, was broken off there too, and had no attempt or retry left. The
// choice of a server took into account when a version expires, but not that the order comes before.
// Up to 14 streams of a run were lost while a version was rolled out and gateways were stopped.
func TestStreamBrokenByAnOrderResumesWhereNoOrderIsDue(t *testing.T) {
	breaking := newFakeBackend(t, "i-cut", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		return false
	})
	before := newFakeBackend(t, "i-before-its-order", streamAfter(1))
	after := newFakeBackend(t, "i-after-its-order", streamAfter(1))
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Advance(engineDocument(t))
	f.registerVersion(breaking, 1)
	f.registerVersion(before, 1)
	f.registerVersion(after, 2)
	f.prefer(breaking, before, after)
	f.setNamedVersion(f.gateway.settings.RolloutLimit())
	status, _, body, err := f.do(t, f.draftRequest(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if received := before.requests(); len(received) > 0 {
		t.Error("it resumed on an engine whose order is still to come")
	}
}

// streamAfter is a script that writes the events after a given one, up to the third.
func streamAfter(last int) responseScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, last+1, 3)
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	}
}

// Guards against the watchdog aborting a last attempt that is silent before its first event, whose
// caller has part of the answer from an earlier attempt: an order had broken off the stream, and it
// could not be retried again. The engine here begins after the longest allowed silence.
func TestSilentLastAttemptOfAStreamIsNotInterrupted(t *testing.T) {
	breaking := newFakeBackend(t, "i-cut", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		return false
	})
	slow := newFakeBackend(t, "i-slow", func(w *bufio.Writer, r *http.Request) bool {
		<-time.After(maxAttemptSilence + 2*watchdogInterval)
		return streamAfter(1)(w, r)
	})
	f := newExpiringFixtureOf(t, breaking, slow)
	status, _, body, err := f.do(t, f.draftRequest(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
}

// An order breaks off a stream at its first engine, and another order does so at the next engine
// while the first one loads the new weights. The stream returns to the first engine: a route bounds
// the number of servers that a request is sent to, not the number of attempts.
func TestStreamBrokenByTwoOrdersReturnsToItsFirstServer(t *testing.T) {
	var f *fixture
	var old, next *fakeBackend
	reportLoad := func(s *fakeBackend, version uint64, busy bool) {
		f.gateway.backends.applyLoadReport(feed.NewLoad("menu", s.listener.Addr().String(), "menu", version, 1, 0, 1, busy, false))
	}
	old = newFakeBackend(t, "i-old", func(w *bufio.Writer, r *http.Request) bool {
		if len(old.requests()) > 1 {
			return streamAfter(2)(w, r)
		}
		reportLoad(old, 1, true)
		writeEvents(w, r, 1, 1)
		return false
	})
	next = newFakeBackend(t, "i-next", func(w *bufio.Writer, r *http.Request) bool {
		reportLoad(old, 2, false)
		reportLoad(next, 1, true)
		writeEvents(w, r, 2, 2)
		return false
	})
	f = newExpiringFixtureOf(t, old, next)
	status, _, body, err := f.do(t, f.draftRequest(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
}

// Guards against excluding a server that is about to be ready again. An order broke off a stream at
// the first engine of a rollout, 0.1 ms after the stager gave the order and before a gateway
// received it. The version of the other engines was about to expire, and the first engine was ready
// again half a second later, but the gateway decided by earlier reports whether the stream may
// return to it; the stream was lost 2.6 s later. Here the server keeps running and sends no reports.
func TestStreamBrokenByARunningServerReturnsToIt(t *testing.T) {
	var only *fakeBackend
	only = newFakeBackend(t, "i-alone", func(w *bufio.Writer, r *http.Request) bool {
		if len(only.requests()) > 1 {
			return streamAfter(1)(w, r)
		}
		writeEvents(w, r, 1, 1)
		return false
	})
	f := newFixture(t, serviceconfig.Stream, true, only)
	status, _, body, err := f.do(t, f.draftRequest(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
}

// A stream does not return to a server that crashed when it broke the stream off.
func TestStreamDoesNotReturnToACrashedServer(t *testing.T) {
	var only *fakeBackend
	only = newFakeBackend(t, "i-alone", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		_ = only.listener.Close()
		return false
	})
	f := newFixture(t, serviceconfig.Stream, true, only)
	if _, _, body, err := f.do(t, f.draftRequest(t)); err == nil || body != events(1, 1) {
		t.Fatalf("%q %v", body, err)
	}
	if received := only.requests(); len(received) != 1 {
		t.Errorf("the request was sent %d times", len(received))
	}
}
