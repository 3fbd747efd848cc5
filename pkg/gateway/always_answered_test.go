// ================================================================
// Tests that every request that the gateway has read gets a response that states its outcome.
// They guard against closing a kept connection without a response after its request was
// forwarded to a working backend server.
//
// A handler may return without writing anything in several cases: a panic, which net/http does
// not report if its log is discarded; a caller that closed its sending side and still reads; the
// end of a planned stop while a request waits; a stream that finds no free slot when its engine
// breaks it off.
// ================================================================

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/loopback"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// TestEveryReadRequestIsAnswered checks the status of the response after each way out of a
// handler.
func TestEveryReadRequestIsAnswered(t *testing.T) {
	t.Run("a panic before the request is forwarded", func(t *testing.T) {
		f := newFixture(t, serviceconfig.Once, false, newFakeBackend(t, "i-1", respondWith("200 OK", "whole")))
		f.gateway.protocol.ReadRequest = func(http.Header) RequestHead { panic("seeded") }
		if status, err := f.statusOf(t); status != http.StatusInternalServerError {
			t.Errorf("status %d, %v", status, err)
		}
	})
	t.Run("a panic after the request was forwarded", func(t *testing.T) {
		f := newFixture(t, serviceconfig.Once, false, newFakeBackend(t, "i-1", respondWith("200 OK", "whole")))
		f.gateway.protocol.ReadResponse = func(int, http.Header) ResponseHead { panic("seeded") }
		if status, err := f.statusOf(t); status != http.StatusBadGateway {
			t.Errorf("status %d, %v", status, err)
		}
	})
	t.Run("a caller that has closed its sending side", testHalfClosedCallerIsAnswered)
	t.Run("a planned stop with a silent backend server", testStopWithSilentBackend)
	t.Run("a stream whose retry is rejected once", testBrokenStreamRetriesRejection)
	t.Run("a request after a stream that ends during a planned stop", testKeptConnectionDuringStop)
}

// statusOf sends a request and returns the status, or the error.
func (f *fixture) statusOf(t *testing.T) (int, error) {
	response, err := http.DefaultTransport.RoundTrip(f.request(t, http.MethodPost, "a", "order"))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// silentScript returns a script that writes nothing until the test is over.
func silentScript(t *testing.T, received chan<- struct{}) responseScript {
	testEnded := make(chan struct{})
	t.Cleanup(func() { close(testEnded) })
	return func(*bufio.Writer, *http.Request) bool {
		received <- struct{}{}
		<-testEnded
		return false
	}
}

// net/http writes an empty success for a handler that writes nothing.
func testHalfClosedCallerIsAnswered(t *testing.T) {
	received := make(chan struct{}, 1)
	f := newFixture(t, serviceconfig.Once, false, newFakeBackend(t, "i-1", silentScript(t, received)))
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := f.request(t, http.MethodPost, "a", "order")
	if err := r.Write(conn); err != nil {
		t.Fatal(err)
	}
	<-received
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", response.StatusCode)
	}
}

// The planned stop ends long before the request's deadline.
func testStopWithSilentBackend(t *testing.T) {
	received := make(chan struct{}, 1)
	f := newFixture(t, serviceconfig.Once, false, newFakeBackend(t, "i-1", silentScript(t, received)))
	address, stop := f.run(t, time.Second)
	r := f.request(t, http.MethodPost, "a", "order")
	r.URL.Host = address
	go func() {
		<-received
		stop()
	}()
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatalf("the connection closed without a response: %v", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("status %d", response.StatusCode)
	}
}

// run runs the fixture's gateway as the program does, with a limit for its planned stop. It
// returns the address for callers and a function that sends the stop signal.
func (f *fixture) run(t *testing.T, limit time.Duration) (address string, stop func()) {
	t.Helper()
	return f.runLogged(t, limit, io.Discard)
}

// runLogged is run with a log writer.
func (f *fixture) runLogged(t *testing.T, limit time.Duration, log io.Writer) (address string, stop func()) {
	t.Helper()
	address = loopback.FreeAddress(t)
	g := newLoggedGateway(t, log, fmt.Sprintf(`
vm: {name: gateway-1, region: north, failure_domain: hall-a}
peers: {listen: "127.0.0.1:1"}
callers: {listen: %q}
ready: {listen: %q}
control: {seeds: ["127.0.0.1:4"]}
retries: {reserve: 1000}
drain: {notice: 0s, limit: %s}
`, address, loopback.FreeAddress(t), limit))
	g.backends = f.gateway.backends
	g.index.Advance(f.gateway.index.Load().Document())
	signals := make(chan os.Signal, 1)
	f.exited = make(chan struct{})
	go func() {
		defer close(f.exited)
		if err := g.Run(signals); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(f.awaitExit)
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return address, func() { signals <- syscall.SIGTERM }
		}
	}
}

// awaitExit waits until the gateway started by run has ended.
func (f *fixture) awaitExit() { <-f.exited }

// A stream that began before the signal cannot announce that its connection closes, so the next
// request on that connection must be answered.
func testKeptConnectionDuringStop(t *testing.T) {
	received, proceed := make(chan struct{}, 1), make(chan struct{})
	f := newFixture(t, serviceconfig.Stream, true, newFakeBackend(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		if r.Header.Get(headerID) == "a" {
			received <- struct{}{}
			<-proceed
		}
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	}))
	address, stop := f.run(t, 8*time.Second)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(id string) *http.Response {
		t.Helper()
		r := f.request(t, http.MethodPost, id, "order")
		if err := r.Write(conn); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, r)
		if err != nil {
			t.Fatalf("request %s: the connection closed without a response: %v", id, err)
		}
		return response
	}
	first := send("a")
	<-received
	stop()
	f.awaitConnectionRefused(address)
	close(proceed)
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		t.Fatal(err)
	}
	if first.Close {
		t.Fatal("the stream announced that its connection closes: the case tests nothing")
	}
	if second := send("b"); second.StatusCode != http.StatusOK || !second.Close {
		t.Errorf("%s, announced %t", second.Status, second.Close)
	}
}

// The response to a request that arrived before the signal and is answered after it must
// announce that its connection closes: the caller's next request over it would arrive late in
// the stop.
func TestResponseAfterSignalAnnouncesClose(t *testing.T) {
	for _, kind := range []serviceconfig.Kind{serviceconfig.Once, serviceconfig.Stream} {
		received, proceed := make(chan struct{}), make(chan struct{})
		f := newFixture(t, kind, false, newFakeBackend(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
			received <- struct{}{}
			<-proceed
			if kind == serviceconfig.Stream {
				return completeStream(w, r)
			}
			return respondWith("200 OK", "whole")(w, r)
		}))
		go func() {
			<-received
			f.gateway.stop.begin(time.Now(), time.Minute)
			close(proceed)
		}()
		response, err := http.DefaultTransport.RoundTrip(f.request(t, http.MethodPost, "a", "order"))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if !response.Close {
			t.Errorf("%s: the response does not announce that its connection closes", kind)
		}
	}
}

// awaitConnectionRefused waits until an address refuses connections.
func (f *fixture) awaitConnectionRefused(address string) {
	for {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// The second server rejects the rest of the stream once, as a full server does.
func testBrokenStreamRetriesRejection(t *testing.T) {
	first := newFakeBackend(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 2)
		return false
	})
	var attempts atomic.Int32
	second := newFakeBackend(t, "i-2", func(w *bufio.Writer, r *http.Request) bool {
		if attempts.Add(1) == 1 {
			writeResponse(w, r, "503 Service Unavailable", headerNotRun+": 1\r\n", "")
			return true
		}
		writeEvents(w, r, 3, 4)
		_, _ = w.WriteString("0\r\n\r\n")
		return true
	})
	f := newFixture(t, serviceconfig.Stream, true, first, second)
	status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
	if status != http.StatusOK || body != events(1, 4) || err != nil {
		t.Errorf("%d %q %v", status, strings.TrimSpace(body), err)
	}
}
