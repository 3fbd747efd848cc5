// ================================================================
// Requests that crash each backend server that runs them. A crash fails all requests on that
// server; the gateway retries them, and callers retry at any gateway. Guards against retrying such
// a request without a limit: one of them then crashed server after server, and two fifths of all
// other work were lost. The soak tests cover the same with the real programs.
// ================================================================

package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	crashingBody = "a request that crashes its server"
	popularBody  = "a popular request"
	// maxCrashesPerRequest is how many servers one request may crash when its attempts reach one
	// gateway one after another.
	maxCrashesPerRequest = 3
)

// crashingServer is a fake server that crashes when it gets crashingBody: it closes its port and
// all connections.
type crashingServer struct {
	*fakeBackend
	portLast bool // its port closes only after it has accepted one more connection
	mu       sync.Mutex
	conns    []net.Conn
	crashed  bool
}

// crashingServers are fake servers that crash, and the number of crashes so far.
type crashingServers struct {
	all       []*crashingServer
	mu        sync.Mutex
	crashes   int
	crashNext bool // the next request crashes its server
	// status answers all other requests.
	status string
}

// newCrashingServers starts servers that answer each request in full, except the one that crashes
// them.
func newCrashingServers(t *testing.T, count int) *crashingServers {
	s := &crashingServers{status: "200 OK"}
	for i := range count {
		server := &crashingServer{}
		server.fakeBackend = newFakeBackendWithAccept(t, fmt.Sprintf("i-%d", i+1), s.script(server), server.accept)
		s.all = append(s.all, server)
	}
	return s
}

// script answers each request in full, except the one that crashes the server.
func (s *crashingServers) script(server *crashingServer) responseScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		if r.ContentLength == int64(len(crashingBody)) || s.takeCrashNext() {
			s.crash(server)
			return false
		}
		s.mu.Lock()
		status := s.status
		s.mu.Unlock()
		writeResponse(w, r, status, "", "whole")
		return true
	}
}

// takeCrashNext reports whether this request is to crash its server, and resets that.
func (s *crashingServers) takeCrashNext() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.crashNext
	s.crashNext = false
	return next
}

// crash counts a crash and then crashes the server, so that a crash is counted before it can be
// observed.
func (s *crashingServers) crash(server *crashingServer) {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	server.crash()
}

func (s *crashingServers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

func (s *crashingServers) list() (all []*fakeBackend) {
	for _, server := range s.all {
		all = append(all, server.fakeBackend)
	}
	return all
}

// accept records a connection, which crash closes.
func (s *crashingServer) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		_ = s.listener.Close()
		_ = conn.Close()
	}
	s.conns = append(s.conns, conn)
}

func (s *crashingServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
	if !s.portLast {
		_ = s.listener.Close()
	}
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

// sendAttempt sends an attempt of a request with a body and returns the status.
func (f *fixture) sendAttempt(t *testing.T, id, body string, change func(*http.Request)) int {
	t.Helper()
	r := f.request(t, http.MethodPost, id, body)
	if change != nil {
		change(r)
	}
	status, _, _, _ := f.do(t, r)
	return status
}

// quarantineRequest sends attempts of a request that crashes servers until it is quarantined.
func (f *fixture) quarantineRequest(t *testing.T, servers *crashingServers) {
	t.Helper()
	const attempts = 20
	for i := range attempts {
		f.sendAttempt(t, fmt.Sprintf("ending-%d", i), crashingBody, nil)
	}
	if n := servers.count(); n != maxCrashesPerRequest {
		t.Fatalf("%d attempts of one request crashed %d servers; %d may crash", attempts, n, maxCrashesPerRequest)
	}
}

func TestRequestThatCrashesServers(t *testing.T) {
	for _, kind := range []serviceconfig.Kind{serviceconfig.Repeatable, serviceconfig.Once} {
		t.Run("that is "+string(kind), func(t *testing.T) {
			servers := newCrashingServers(t, 8)
			f := newFixture(t, kind, false, servers.list()...)
			f.quarantineRequest(t, servers)
			if status := f.sendAttempt(t, "more", crashingBody, nil); status != http.StatusServiceUnavailable {
				t.Errorf("status %d for a quarantined request", status)
			}
			if status := f.sendAttempt(t, "other", "another order", nil); status != http.StatusOK {
				t.Errorf("status %d for another request", status)
			}
		})
	}
	t.Run("of another organisation", testOtherOrganisation)
	t.Run("whose attempts carry the last event id", testAttemptWithOtherHeaders)
	for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
		t.Run("next to a popular request, answered with "+status, func(t *testing.T) { testPopularRequestIsServed(t, status) })
	}
	t.Run("and servers that break off responses", testAbortedAnswerIsNoCrash)
}

// The same path and body by another organisation is another request.
func testOtherOrganisation(t *testing.T) {
	servers := newCrashingServers(t, 8)
	f := newFixture(t, serviceconfig.Repeatable, false, servers.list()...)
	f.quarantineRequest(t, servers)
	f.sendAttempt(t, "theirs", crashingBody, func(r *http.Request) { r.Header.Set(headerKey, "k2") })
	if servers.count() == maxCrashesPerRequest {
		t.Error("the request of another organisation was quarantined")
	}
}

// An attempt with another deadline and last event id is still the same request.
func testAttemptWithOtherHeaders(t *testing.T) {
	servers := newCrashingServers(t, 8)
	f := newFixture(t, serviceconfig.Repeatable, false, servers.list()...)
	f.quarantineRequest(t, servers)
	f.sendAttempt(t, "again", crashingBody, func(r *http.Request) {
		r.Header.Set(headerLastEvent, "7")
		r.Header.Set(headerDeadline, "900")
	})
	if n := servers.count(); n != maxCrashesPerRequest {
		t.Errorf("an attempt with another deadline and last event id crashed a server: %d crashes", n)
	}
}

// Each crash fails the popular request as well. It is still served, since it has run to completion
// elsewhere.
func testPopularRequestIsServed(t *testing.T, status string) {
	servers := newCrashingServers(t, 12)
	servers.mu.Lock()
	servers.status = status
	servers.mu.Unlock()
	f := newFixture(t, serviceconfig.Repeatable, false, servers.list()...)
	const runs, crashes = 30, 5
	for i := range runs {
		if i%(runs/crashes) == 1 {
			servers.crashOnNext()
		}
		if got := f.sendAttempt(t, fmt.Sprintf("popular-%d", i), popularBody, nil); !strings.HasPrefix(status, fmt.Sprint(got)) {
			t.Errorf("attempt %d: status %d", i, got)
		}
	}
	if n := servers.count(); n < crashes-1 {
		t.Fatalf("%d servers crashed under the request", n)
	}
}

// crashOnNext crashes the server that gets the next request.
func (s *crashingServers) crashOnNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashNext = true
}

// Servers that break off a response and keep running are no reason to quarantine a request.
func testAbortedAnswerIsNoCrash(t *testing.T) {
	abortsLeft := 6
	var mu sync.Mutex
	script := func(w *bufio.Writer, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if abortsLeft--; abortsLeft >= 0 {
			_, _ = w.WriteString("HTTP/1.1 200 OK\r\nContent-Le")
			return false
		}
		writeResponse(w, r, "200 OK", "", "whole")
		return true
	}
	var servers []*fakeBackend
	for i := range 4 {
		servers = append(servers, newFakeBackend(t, fmt.Sprintf("i-%d", i+1), script))
	}
	f := newFixture(t, serviceconfig.Repeatable, false, servers...)
	var last int
	for i := 0; i < 10 && last != http.StatusOK; i++ {
		last = f.sendAttempt(t, fmt.Sprintf("a-%d", i), strings.Repeat("x", 9), nil)
	}
	if last != http.StatusOK {
		t.Errorf("status %d after servers broke off responses", last)
	}
}
