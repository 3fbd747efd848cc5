package gateway

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Seen: while a version of the weights went out and gateways were stopped beside it, up to
// 14 streams ended midway: `attempt cut` at one engine, then `all 2 attempts are used up`
// after a second `cut`, or `the budget of repeats is used up`.
//
// How: the order for the weights cut a stream at its engine; it went on at an engine that
// had its own order before it, was cut there too, and had no attempt left. Cause: the
// choice knew that the version of an engine lapses and not that the order which ends it
// comes before. Proved by the lines of the soak's gateways, and here.
func TestStreamCutByAnOrderResumesWhereNoOrderIsDue(t *testing.T) {
	cut := newStandIn(t, "i-cut", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		return false
	})
	before := newStandIn(t, "i-before-its-order", streamAfter(1))
	after := newStandIn(t, "i-after-its-order", streamAfter(1))
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Raise(engineDocument(t))
	f.hearVersion(cut, 1)
	f.hearVersion(before, 1)
	f.hearVersion(after, 2)
	f.prefer(cut, before, after)
	f.hearNamed(f.gateway.settings.WeightsWithin())
	status, _, body, err := f.do(t, f.draft(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if came := before.requests(); len(came) > 0 {
		t.Error("it went on where the order is still to come")
	}
}

// streamAfter is a script that writes what follows an event, up to the third.
func streamAfter(last int) exchangeScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, last+1, 3)
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	}
}

// Seen: a stream that an order had cut waited at the engine where it was to go on, and was
// cut a second time: `no answer: use of closed network connection`. How: the watchdog gave up
// an attempt that was silent before its first event, though no other might follow, and the
// caller had half an answer. Cause: it asked whether a stream may go on elsewhere only once
// events of that attempt had come. Proved here: the engine begins after the longest patience.
func TestSilentLastAttemptOfAStreamIsNotInterrupted(t *testing.T) {
	cut := newStandIn(t, "i-cut", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		return false
	})
	slow := newStandIn(t, "i-slow", func(w *bufio.Writer, r *http.Request) bool {
		<-time.After(maxAttemptSilence + 2*watchdogInterval)
		return streamAfter(1)(w, r)
	})
	f := newLapsingOf(t, cut, slow)
	status, _, body, err := f.do(t, f.draft(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
}

// The order that cut a stream at its engine is carried out while the stream is cut by that
// of the next engine, too. It goes back: a route bounds the servers that a request is sent
// to, and not how often.
func TestStreamCutByTwoOrdersReturnsToItsFirstServer(t *testing.T) {
	var f *fixture
	var old, next *standIn
	reportLoad := func(s *standIn, version uint64, busy bool) {
		f.gateway.backends.hearLoad(feed.NewLoad("menu", s.listener.Addr().String(), "menu", version, 1, 0, 1, busy, false))
	}
	old = newStandIn(t, "i-old", func(w *bufio.Writer, r *http.Request) bool {
		if len(old.requests()) > 1 {
			return streamAfter(2)(w, r)
		}
		reportLoad(old, 1, true)
		writeEvents(w, r, 1, 1)
		return false
	})
	next = newStandIn(t, "i-next", func(w *bufio.Writer, r *http.Request) bool {
		reportLoad(old, 2, false)
		reportLoad(next, 1, true)
		writeEvents(w, r, 2, 2)
		return false
	})
	f = newLapsingOf(t, old, next)
	status, _, body, err := f.do(t, f.draft(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
}

// Seen: a stream that began before a planned stop ended midway in it: `attempt broken ...
// unexpected EOF, sign lives`, then `no other backend server` 2.6 s later.
//
// How: the order for the weights cut it at the first engine of a roll, 0.1 ms after the stager
// had given the order and before a gateway was told of it. The other engines served a version
// whose end was near, and the one that had cut it was ready again half a second later. Cause:
// whether a stream may go back to its server was asked of what was heard before the cut.
// Proved by the stamps of the stager's line `order given` and of the gateway's `attempt`, and
// here: the server lives, and nothing is heard of it.
func TestStreamBrokenByALiveServerRetriesIt(t *testing.T) {
	var alone *standIn
	alone = newStandIn(t, "i-alone", func(w *bufio.Writer, r *http.Request) bool {
		if len(alone.requests()) > 1 {
			return streamAfter(1)(w, r)
		}
		writeEvents(w, r, 1, 1)
		return false
	})
	f := newFixture(t, serviceconfig.Stream, true, alone)
	status, _, body, err := f.do(t, f.draft(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
}

// A server that broke a stream off and has ended is not gone back to.
func TestStreamDoesNotRetryAnEndedServer(t *testing.T) {
	var alone *standIn
	alone = newStandIn(t, "i-alone", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		_ = alone.listener.Close()
		return false
	})
	f := newFixture(t, serviceconfig.Stream, true, alone)
	if _, _, body, err := f.do(t, f.draft(t)); err == nil || body != events(1, 1) {
		t.Fatalf("%q %v", body, err)
	}
	if came := alone.requests(); len(came) != 1 {
		t.Errorf("it was sent %d times", len(came))
	}
}
