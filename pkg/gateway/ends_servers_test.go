// ================================================================
// What was seen: one request ended each backend server that ran it, and was sent to
// servers again and again; two fifths of all other work were lost with them. How it
// comes about: a server that ends takes all its requests with it, a gateway sends them
// once more, and callers come again, at any gateway. What caused it: nothing of a request
// was remembered after its end. What proved it: these cases, and the same with the real
// programs in soak.
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
	crashingBody = "a request that ends its server"
	popularBody  = "what everybody asks"
	// maxCrashesPerRequest is how many servers one request may end that comes at one gateway, one try
	// after the other.
	maxCrashesPerRequest = 3
)

// crashingServer is a stand-in that ends when it runs a certain body: its port closes, and all its
// connections.
type crashingServer struct {
	*fakeBackend
	mu      sync.Mutex
	conns   []net.Conn
	crashed bool
}

// crashingServers are stand-ins that end, and how many have.
type crashingServers struct {
	all       []*crashingServer
	mu        sync.Mutex
	crashes   int
	crashNext bool // the next request ends its server
	// status is what all others are answered with.
	status string
}

// newCrashingServers starts stand-ins that answer each request whole, but for the one that ends
// them.
func newCrashingServers(t *testing.T, count int) *crashingServers {
	m := &crashingServers{status: "200 OK"}
	for i := range count {
		one := &crashingServer{}
		one.fakeBackend = newFakeBackendWithAccept(t, fmt.Sprintf("i-%d", i+1), m.script(one), one.accept)
		m.all = append(m.all, one)
	}
	return m
}

// script answers whole, but for the request that ends the server.
func (m *crashingServers) script(one *crashingServer) responseScript {
	return func(w *bufio.Writer, r *http.Request) bool {
		if r.ContentLength == int64(len(crashingBody)) || m.takeCrashNext() {
			m.crash(one)
			return false
		}
		m.mu.Lock()
		status := m.status
		m.mu.Unlock()
		writeResponse(w, r, status, "", "whole")
		return true
	}
}

// takeCrashNext tells whether this is the request that the next end comes with.
func (m *crashingServers) takeCrashNext() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := m.crashNext
	m.crashNext = false
	return next
}

// crash counts an end and has it come: whoever sees it finds it counted.
func (m *crashingServers) crash(one *crashingServer) {
	m.mu.Lock()
	m.crashes++
	m.mu.Unlock()
	one.crash()
}

func (m *crashingServers) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashes
}

func (m *crashingServers) servers() (all []*fakeBackend) {
	for _, one := range m.all {
		all = append(all, one.fakeBackend)
	}
	return all
}

// accept keeps a connection until the end.
func (m *crashingServer) accept(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		_ = conn.Close()
	}
	m.conns = append(m.conns, conn)
}

func (m *crashingServer) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	_ = m.listener.Close()
	for _, conn := range m.conns {
		_ = conn.Close()
	}
}

// try sends a try of a request with a body and returns the status.
func (f *fixture) try(t *testing.T, id, body string, change func(*http.Request)) int {
	t.Helper()
	r := f.request(t, http.MethodPost, id, body)
	if change != nil {
		change(r)
	}
	status, _, _, _ := f.do(t, r)
	return status
}

// quarantineRequest has a request end servers until it may no more.
func (f *fixture) quarantineRequest(t *testing.T, m *crashingServers) {
	t.Helper()
	const tries = 20
	for i := range tries {
		f.try(t, fmt.Sprintf("ending-%d", i), crashingBody, nil)
	}
	if n := m.count(); n != maxCrashesPerRequest {
		t.Fatalf("%d tries of one request ended %d servers; %d may end", tries, n, maxCrashesPerRequest)
	}
}

func TestRequestThatCrashesServers(t *testing.T) {
	for _, kind := range []serviceconfig.Kind{serviceconfig.Repeatable, serviceconfig.Once} {
		t.Run("that is "+string(kind), func(t *testing.T) {
			m := newCrashingServers(t, 8)
			f := newFixture(t, kind, false, m.servers()...)
			f.quarantineRequest(t, m)
			if status := f.try(t, "more", crashingBody, nil); status != http.StatusServiceUnavailable {
				t.Errorf("status %d for a request that is kept away from servers", status)
			}
			if status := f.try(t, "other", "another order", nil); status != http.StatusOK {
				t.Errorf("status %d for another request", status)
			}
		})
	}
	t.Run("of another organisation", testOtherOrganisation)
	t.Run("whose tries carry the last event", testTryWithOtherHeaders)
	for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
		t.Run("beside one that everybody asks, answered with "+status, func(t *testing.T) { testPopularRequestIsServed(t, status) })
	}
	t.Run("and servers that live on", testAbortedAnswerIsNoCrash)
}

// The same path and body by another organisation is another request.
func testOtherOrganisation(t *testing.T) {
	m := newCrashingServers(t, 8)
	f := newFixture(t, serviceconfig.Repeatable, false, m.servers()...)
	f.quarantineRequest(t, m)
	f.try(t, "theirs", crashingBody, func(r *http.Request) { r.Header.Set(headerKey, "k2") })
	if m.count() == maxCrashesPerRequest {
		t.Error("the request of another organisation was kept away from servers")
	}
}

func testTryWithOtherHeaders(t *testing.T) {
	m := newCrashingServers(t, 8)
	f := newFixture(t, serviceconfig.Repeatable, false, m.servers()...)
	f.quarantineRequest(t, m)
	f.try(t, "again", crashingBody, func(r *http.Request) {
		r.Header.Set(headerLastEvent, "7")
		r.Header.Set(headerDeadline, "900")
	})
	if n := m.count(); n != maxCrashesPerRequest {
		t.Errorf("a try with another deadline and last event ended a server: %d", n)
	}
}

// Each end takes the popular request with it, and it is served all the same: it has run
// whole elsewhere.
func testPopularRequestIsServed(t *testing.T, status string) {
	m := newCrashingServers(t, 12)
	m.mu.Lock()
	m.status = status
	m.mu.Unlock()
	f := newFixture(t, serviceconfig.Repeatable, false, m.servers()...)
	const runs, ends = 30, 5
	for i := range runs {
		if i%(runs/ends) == 1 {
			m.crashOnNext()
		}
		if got := f.try(t, fmt.Sprintf("popular-%d", i), popularBody, nil); !strings.HasPrefix(status, fmt.Sprint(got)) {
			t.Errorf("try %d: status %d", i, got)
		}
	}
	if n := m.count(); n < ends-1 {
		t.Fatalf("%d servers ended under it", n)
	}
}

// crashOnNext has the server end that runs the next request.
func (m *crashingServers) crashOnNext() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashNext = true
}

// Servers that break an answer off and live on are no reason to keep a request away.
func testAbortedAnswerIsNoCrash(t *testing.T) {
	breaks := 6
	var mu sync.Mutex
	script := func(w *bufio.Writer, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if breaks--; breaks >= 0 {
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
		last = f.try(t, fmt.Sprintf("a-%d", i), strings.Repeat("x", 9), nil)
	}
	if last != http.StatusOK {
		t.Errorf("status %d after servers broke answers off", last)
	}
}
