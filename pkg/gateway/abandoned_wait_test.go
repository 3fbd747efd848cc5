package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// newWaitingAttempt returns an attempt that waits for its first event at a server with a script, and its
// caller's response.
func newWaitingAttempt(t *testing.T, script responseScript) (x *exchange, caller *httptest.ResponseRecorder) {
	t.Helper()
	f := newFixture(t, serviceconfig.Stream, true)
	f.gateway.index.Advance(engineDocument(t))
	f.registerVersion(newFakeBackend(t, "i-own", script), 1)
	route, _ := f.gateway.index.Load().Route("menus.example", "/draft/x")
	caller = httptest.NewRecorder()
	q := &request{
		ctx: t.Context(), writer: caller, incoming: f.draftRequest(t), header: http.Header{}, route: route, service: f.service(t), model: "menu", stop: f.gateway.stop,
		started: time.Now(), deadline: time.Now().Add(time.Minute), tried: map[*backend]bool{}, ranAt: map[*backend]bool{}, detachFromStop: func() bool { return true },
	}
	x = f.gateway.startAttempt(q, f.backend("i-own"))
	if x == nil {
		t.Fatal("no attempt")
	}
	x.started, x.watch = time.Now(), &watchdog{exchange: x}
	t.Cleanup(x.close)
	return x, caller
}

// firstPart returns the first events of a stream, which ends after them.
func firstPart() streamPart {
	return streamPart{reader: newEventReader(http.NoBody), events: []byte(events(1, 2))}
}

// Events that arrive as a waiting attempt is aborted don't reach the caller: it would have an answer
// that its own gateway cuts short.
func TestAbortedWaitDeliversNothing(t *testing.T) {
	x, caller := newWaitingAttempt(t, closeWithoutResponse)
	x.interrupt(interruptStall, stageWaiting, nil, time.Now(), x.conn.Abort)
	if x.relayParts(&http.Response{StatusCode: http.StatusOK}, firstPart()) {
		t.Error("the request counts as answered")
	}
	if caller.Body.Len() > 0 || x.request.headWritten {
		t.Errorf("the caller received %q", caller.Body.String())
	}
}

// An attempt is not aborted as one that waits once its first events have reached the caller.
func TestStartedStreamIsNotAbortedAsWaiting(t *testing.T) {
	x, caller := newWaitingAttempt(t, closeWithoutResponse)
	part := firstPart()
	if !x.relayParts(&http.Response{StatusCode: http.StatusOK, Status: "200 OK"}, part) {
		t.Fatal("the stream was not relayed")
	}
	if !bytes.Equal(caller.Body.Bytes(), part.events) {
		t.Fatalf("the caller received %q", caller.Body.String())
	}
	for _, reason := range []interruptReason{interruptStall, interruptSilence, interruptNewerSilent, interruptUnreachable} {
		x.interrupt(reason, stageWaiting, nil, time.Now(), func() { t.Errorf("aborted: %s", reason) })
	}
}
