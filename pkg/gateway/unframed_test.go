// ================================================================
// Responses that have neither a length nor chunks and end with their connection. Guards against taking
// what a crashed backend server has sent for a complete response.
// ================================================================

package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// writeUnframed writes a response that ends with its connection.
func writeUnframed(w *bufio.Writer, r *http.Request, contentType, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n%s", headerID, r.Header.Get(headerID), contentType, body)
	_ = w.Flush()
}

// newUnframedServers starts servers that answer without a length or chunks. The first one crashes after
// the given part of its answer.
func newUnframedServers(t *testing.T, contentType, part string, answer func(r *http.Request) string) *crashingServers {
	s := &crashingServers{}
	for i := range 2 {
		server := &crashingServer{}
		server.fakeBackend = newFakeBackendWithAccept(t, fmt.Sprintf("i-%d", i+1), func(w *bufio.Writer, r *http.Request) bool {
			if i == 0 {
				writeUnframed(w, r, contentType, part)
				s.crash(server)
				return false
			}
			writeUnframed(w, r, contentType, answer(r))
			return false
		}, server.accept)
		s.all = append(s.all, server)
	}
	return s
}

const eventStream = "text/event-stream"

// A stream that its server ends by a crash, between two events, continues at another server.
func TestUnframedStreamResumesAfterCrash(t *testing.T) {
	servers := newUnframedServers(t, eventStream, events(1, 2), func(r *http.Request) string {
		if r.Header.Get(headerLastEvent) == "2" {
			return events(3, 4)
		}
		return events(1, 4)
	})
	f := newFixture(t, serviceconfig.Stream, true, servers.list()...)
	status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
	if status != http.StatusOK || err != nil || body != events(1, 4) {
		t.Errorf("status %d, %v, body %q", status, err, body)
	}
}

// Where it can't continue, its caller sees that it is not complete.
func TestUnframedStreamIsNotCompleteAfterCrash(t *testing.T) {
	servers := newUnframedServers(t, eventStream, events(1, 2), func(*http.Request) string { return events(1, 4) })
	f := newFixture(t, serviceconfig.Stream, false, servers.list()...)
	if _, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order")); err == nil {
		t.Errorf("the stream that a crash ended looks complete: %q", body)
	}
}

// A plain response, short or relayed as it arrives, is not complete either.
func TestUnframedResponseIsNotCompleteAfterCrash(t *testing.T) {
	long := strings.Repeat("x", maxBuffered+1)
	for name, part := range map[string]string{"short": "who", "long": long} {
		t.Run(name, func(t *testing.T) {
			servers := newUnframedServers(t, "text/plain", part, func(*http.Request) string { return "whole" })
			f := newFixture(t, serviceconfig.Repeatable, false, servers.list()...)
			_, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
			if err == nil && body != "whole" {
				t.Errorf("%d bytes of a response that a crash ended look complete", len(body))
			}
		})
	}
}

// A server that lives on has ended such a response, and its requests are no suspects.
func TestUnframedResponseOfLiveServerIsComplete(t *testing.T) {
	for _, contentType := range []string{eventStream, "text/plain"} {
		server := newFakeBackend(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
			writeUnframed(w, r, contentType, events(1, 2))
			return false
		})
		f := newFixture(t, serviceconfig.Stream, false, server)
		status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
		if status != http.StatusOK || err != nil || body != events(1, 2) {
			t.Errorf("status %d, %v, body %q", status, err, body)
		}
	}
}
