// ================================================================
// Backend servers that are killed. The kernel closes the connections of a killed process one after the
// other and its listening socket last. Guards against taking a connection that is still accepted meanwhile
// for a sign that the process runs: half of a response then passed as the whole one.
// ================================================================

package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// newKilledServers starts servers of which the first is killed after the given part of its response.
func newKilledServers(t *testing.T, contentType, part string, answer func(r *http.Request) string) *crashingServers {
	servers := newUnframedServers(t, contentType, part, answer)
	servers.all[0].portLast = true
	return servers
}

// A part of a response without a length is not delivered as the whole one.
func TestResponseOfKilledServerIsNotComplete(t *testing.T) {
	long := strings.Repeat("x", maxBuffered+1)
	whole := map[string]string{"text/plain": "whole", eventStream: events(1, 4)}
	for _, c := range []struct {
		name, contentType, part string
		kind                    serviceconfig.Kind
		resumable               bool
	}{
		{"repeatable", "text/plain", "who", serviceconfig.Repeatable, false},
		{"at most once", "text/plain", "who", serviceconfig.Once, false},
		{"long", "text/plain", long, serviceconfig.Repeatable, false},
		{"resumable stream", eventStream, events(1, 2), serviceconfig.Stream, true},
		{"stream", eventStream, events(1, 2), serviceconfig.Stream, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := newKilledServers(t, c.contentType, c.part, func(r *http.Request) string {
				if r.Header.Get(headerLastEvent) == "2" {
					return events(3, 4)
				}
				return whole[c.contentType]
			})
			f := newFixture(t, c.kind, c.resumable, servers.list()...)
			status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
			if status == http.StatusOK && err == nil && body != whole[c.contentType] {
				t.Errorf("%d bytes of a response that a crash ended look complete", len(body))
			}
			repeatable := c.kind == serviceconfig.Repeatable || c.resumable
			if repeatable && len(c.part) < maxBuffered && (err != nil || body != whole[c.contentType]) {
				t.Errorf("status %d, %v, body %q; another server has the whole response", status, err, body)
			}
		})
	}
}

// The crash of a killed server is recorded against the request that ran there.
func TestKilledServerIsRecordedAsCrashed(t *testing.T) {
	servers := newCrashingServers(t, 2)
	servers.all[0].portLast = true
	f := newFixture(t, serviceconfig.Once, false, servers.list()...)
	f.sendAttempt(t, "a", crashingBody, nil)
	if records := f.gateway.quarantine.Records(); len(records) != 1 {
		t.Errorf("%d records of a crash, want 1", len(records))
	}
}

// Whole responses without a length are delivered as such by servers that live on, however they treat probes.
func TestResponseOfLiveServerIsComplete(t *testing.T) {
	const slowProbe = 300 * time.Millisecond
	for name, respond := range map[string]responseScript{
		"draining": respondWith("503 Service Unavailable", ""),
		"slow": func(w *bufio.Writer, r *http.Request) bool {
			time.Sleep(slowProbe)
			return respondWith("200 OK", "")(w, r)
		},
		"closing each connection": func(w *bufio.Writer, r *http.Request) bool {
			writeResponse(w, r, "200 OK", "Connection: close\r\n", "")
			return false
		},
		"without a response's length": func(w *bufio.Writer, r *http.Request) bool {
			writeUnframed(w, r, "text/plain", "ok")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			for contentType, body := range map[string]string{"text/plain": "whole", eventStream: events(1, 4)} {
				server := newFakeBackend(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
					writeUnframed(w, r, contentType, body)
					return false
				})
				server.onProbe = respond
				f := newFixture(t, serviceconfig.Stream, false, server)
				status, _, got, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
				if status != http.StatusOK || err != nil || got != body {
					t.Errorf("status %d, %v, body %q", status, err, got)
				}
			}
		})
	}
}

// A server at its limit of connections resets new ones, and still delivers whole responses.
func TestResponseOfServerThatResetsConnectionsIsComplete(t *testing.T) {
	const resets = 3
	var accepted atomic.Int32
	server := newFakeBackendWithAccept(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
		writeUnframed(w, r, "text/plain", "whole")
		return false
	}, func(conn net.Conn) {
		if n := accepted.Add(1); n > 1 && n <= 1+resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
	f := newFixture(t, serviceconfig.Once, false, server)
	status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
	if status != http.StatusOK || err != nil || body != "whole" {
		t.Errorf("status %d, %v, body %q after %d connections", status, err, body, accepted.Load())
	}
}

// A process that took over the address does not confirm the response of the one before.
func TestOtherProcessDoesNotConfirmResponse(t *testing.T) {
	server := newFakeBackend(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
		writeUnframed(w, r, "text/plain", "who")
		return false
	})
	server.onProbe = respondWith("421 Misdirected Request", "")
	f := newFixture(t, serviceconfig.Once, false, server)
	if status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order")); status == http.StatusOK && err == nil {
		t.Errorf("body %q looks complete", body)
	}
}

// A probe that was sent before a connection ended proves nothing about what happened since.
func TestProbeSentBeforeEndIsNotUsed(t *testing.T) {
	received, respond := make(chan struct{}, 2), make(chan struct{})
	server := newFakeBackend(t, "i-1", respondWith("200 OK", ""))
	server.onProbe = func(w *bufio.Writer, r *http.Request) bool {
		received <- struct{}{}
		<-respond
		return respondWith("200 OK", "")(w, r)
	}
	f := newFixture(t, serviceconfig.Once, false, server)
	b := f.gateway.backends.forService("menu")[0]
	x := &exchange{gateway: f.gateway, request: &request{service: &serviceconfig.Service{}}, backend: b}
	first := b.startCrashProbe(time.Now(), x.livenessProbe())
	<-received
	ended := time.Now()
	close(respond)
	result, probe := x.awaitLiveness(context.Background(), ended)
	if result != probeAlive || probe == first {
		t.Errorf("result %q, from the probe before the end: %t", result, probe == first)
	}
}
