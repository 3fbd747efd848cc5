package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/settings"
)

// responseScript is what a fake backend server does with a request: it writes raw bytes to the
// connection, and reports whether to keep it.
type responseScript func(w *bufio.Writer, r *http.Request) (keep bool)

// fakeBackend is a backend server whose responses are scripted byte by byte.
type fakeBackend struct {
	incarnation string
	listener    net.Listener
	script      responseScript
	onAccept    func(net.Conn) // called with each connection; may be nil
	onProbe     responseScript // responds to probes; nil responds at once

	mu          sync.Mutex
	receivedIDs []string // ids of the received requests
	gone        chan string
}

func newFakeBackend(t testing.TB, incarnation string, script responseScript) *fakeBackend {
	t.Helper()
	return newFakeBackendWithAccept(t, incarnation, script, nil)
}

// newFakeBackendWithAccept is newFakeBackend with a function that is called with each
// connection.
func newFakeBackendWithAccept(t testing.TB, incarnation string, script responseScript, onAccept func(net.Conn)) *fakeBackend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeBackend{incarnation: incarnation, listener: l, script: script, onAccept: onAccept, gone: make(chan string, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

func (s *fakeBackend) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.onAccept != nil {
			s.onAccept(conn)
		}
		go s.serve(conn)
	}
}

func (s *fakeBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodOptions {
			if !s.respondToProbe(conn, r) {
				return
			}
			continue
		}
		s.mu.Lock()
		s.receivedIDs = append(s.receivedIDs, r.Header.Get(headerID))
		s.mu.Unlock()
		w := bufio.NewWriter(conn)
		keep := s.script(w, r)
		_ = w.Flush()
		if !keep {
			return
		}
	}
}

// respondToProbe responds to a probe and reports whether to keep the connection.
func (s *fakeBackend) respondToProbe(conn net.Conn, r *http.Request) (keep bool) {
	respond := s.onProbe
	if respond == nil {
		respond = respondWith("200 OK", "")
	}
	w := bufio.NewWriter(conn)
	defer func() { _ = w.Flush() }()
	return respond(w, r)
}

func (s *fakeBackend) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.receivedIDs...)
}

// probeResponse is the response of a server in virtual time to a probe.
const probeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// respondWith returns a script that answers every request completely.
func respondWith(status, body string) responseScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		writeResponse(w, r, status, "", body)
		return true
	}
}

func writeResponse(w *bufio.Writer, r *http.Request, status, header, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headerID, r.Header.Get(headerID), header, len(body), body)
}

// writeEvents writes the head of a stream and the events from..to, each as a chunk.
func writeEvents(w *bufio.Writer, r *http.Request, from, to int) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, r.Header.Get(headerID))
	for i := from; i <= to; i++ {
		writeChunk(w, event(i))
	}
}

func writeChunk(w *bufio.Writer, text string) {
	_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	_ = w.Flush()
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: word %d\n\n", i, i) }

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

// fixture is a gateway in front of fake backend servers, without control nodes.
type fixture struct {
	gateway *Gateway
	server  *httptest.Server
	exited  chan struct{} // closed when the gateway started by run has ended
}

const testSettings = `
vm: {name: gateway-1, region: north, failure_domain: hall-a}
peers: {listen: "127.0.0.1:1"}
callers: {listen: "127.0.0.1:2"}
ready: {listen: "127.0.0.1:3"}
control: {seeds: ["127.0.0.1:4"]}
retries: {reserve: 1000}
`

// newGateway returns a gateway with the given settings that is not running.
func newGateway(t testing.TB, text string) *Gateway {
	t.Helper()
	return newLoggedGateway(t, io.Discard, text)
}

// newLoggedGateway is newGateway with a log writer.
func newLoggedGateway(t testing.TB, log io.Writer, text string) *Gateway {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.LoadGateway(path)
	if err != nil {
		t.Fatal(err)
	}
	g, err := New(s, "", NativeProtocol(), daemon.Hooks{Log: log})
	if err != nil {
		t.Fatal(err)
	}
	// The tests of the budget cover the time just after a start.
	g.budget = fullWindowBudget(s.RetryRatio(), s.RetryReserve(), s.RetryWindow())
	return g
}

// newFixture returns a gateway with one route of a kind to the fake backend servers, preferred
// in the given order.
func newFixture(t testing.TB, kind serviceconfig.Kind, resumable bool, servers ...*fakeBackend) *fixture {
	t.Helper()
	g := newGateway(t, testSettings)
	// The result of a dial must not depend on how busy the machine is.
	g.crashProbeWait = func(int) time.Duration { return time.Minute }
	route := serviceconfig.NewRoute("r", "menus.example", "/draft/", kind, 3*time.Second, 400*time.Millisecond, 400*time.Millisecond, 1,
		[]serviceconfig.Target{serviceconfig.NewTarget("menu", 1)}, 2, false, resumable, nil)
	d := serviceconfig.NewDocument(1, []serviceconfig.Route{route},
		[]serviceconfig.Service{serviceconfig.NewService("menu", "", 0, "", serviceconfig.Engine{}, false, 0)},
		[]serviceconfig.Organisation{
			serviceconfig.NewOrganisation("larder", []string{"k1"}, 0, false, nil),
			serviceconfig.NewOrganisation("lamps", []string{"k2"}, 0, false, nil),
		}, serviceconfig.Limits{})
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	g.index.Advance(d)
	for _, server := range servers {
		g.backends.applyRegistration(registry.NewRegistration(server.incarnation, "menu", server.listener.Addr().String(), "hall-a", "v1", 4, registry.Ready, 0, nil, 1, 0))
	}
	f := &fixture{gateway: g, server: httptest.NewServer(g)}
	f.prefer(servers...)
	t.Cleanup(f.server.Close)
	return f
}

// prefer makes the gateway prefer the servers in the given order, by pretending that the later
// ones have more work in flight.
func (f *fixture) prefer(servers ...*fakeBackend) {
	for i, server := range servers {
		for _, b := range f.gateway.backends.forService("menu") {
			if b.latestRegistration().Incarnation() == server.incarnation {
				b.startRequest(time.Duration(i)*time.Second, nil)
			}
		}
	}
}

// request returns a caller's request.
func (f *fixture) request(t testing.TB, method, id, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, f.server.URL+"/draft/x?y=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "menus.example"
	r.Header.Set(headerID, id)
	r.Header.Set(headerKey, "k1")
	r.Header.Set(headerDeadline, "3000")
	return r
}

// do sends a request and returns the response. An error in reading the body is returned with
// the bytes read before it.
func (f *fixture) do(t testing.TB, r *http.Request) (status int, header http.Header, body string, readError error) {
	t.Helper()
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, readError := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(raw), readError
}
