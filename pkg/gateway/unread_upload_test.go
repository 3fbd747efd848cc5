// ================================================================
// Backend servers that answer an upload without reading it, with neither a length nor chunks, and end the
// connection in the middle of the answer. Guards against callers that get the part as a whole answer: the process
// lives on, so its probe confirms it, and the error of the connection went to the write of the upload.
// ================================================================

package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/rawserver"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// newRawBackend returns a backend server that answers with raw bytes; answer returns them for a request.
func newRawBackend(t testing.TB, incarnation string, e rawserver.Ending, answer func(r *http.Request) string) *fakeBackend {
	t.Helper()
	l := rawserver.Start(t, func(conn *net.TCPConn, r *http.Request) { rawserver.Answer(answer(r), e)(conn, r) })
	return &fakeBackend{incarnation: incarnation, listener: l}
}

// unframedAnswer returns a function that returns an answer which ends with its connection.
func unframedAnswer(contentType, body string) func(r *http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: %s\r\n\r\n%s", headerID, r.Header.Get(headerID), contentType, body)
	}
}

// longUpload is a body that a server can't receive without reading it.
var longUpload = strings.Repeat("u", defaultMaxBody)

func TestPartAnswerToUnreadUploadIsNotComplete(t *testing.T) {
	const rounds = 5
	for _, c := range []struct {
		name, contentType, part string
		kind                    serviceconfig.Kind
		retried                 bool // the other server's answer reaches the caller
	}{
		{"repeatable", "text/plain", "part", serviceconfig.Repeatable, true},
		{"at most once", "text/plain", "part", serviceconfig.Once, false},
		{"long", "text/plain", strings.Repeat("x", maxBuffered+1), serviceconfig.Repeatable, false},
		{"stream", eventStream, events(1, 1), serviceconfig.Stream, false},
	} {
		for _, ending := range rawserver.Endings() {
			t.Run(c.name+", "+string(ending), func(t *testing.T) {
				bad := newRawBackend(t, "i-1", ending, unframedAnswer(c.contentType, c.part))
				sound := newFakeBackend(t, "i-2", respondWith("200 OK", "whole"))
				alone, beside := newFixture(t, c.kind, false, bad), newFixture(t, c.kind, false, bad, sound)
				for range rounds {
					if status, _, body, err := alone.do(t, alone.request(t, http.MethodPost, "a", longUpload)); status == http.StatusOK && err == nil {
						t.Errorf("alone: %d bytes of an answer look complete", len(body))
					}
					status, _, body, err := beside.do(t, beside.request(t, http.MethodPost, "a", longUpload))
					if status == http.StatusOK && err == nil && body != "whole" {
						t.Errorf("beside a sound server: %d bytes of an answer look complete", len(body))
					}
					if c.retried && (err != nil || body != "whole") {
						t.Errorf("status %d, %v, body %q; another server has the whole answer", status, err, body)
					}
				}
			})
		}
	}
}

// The same for uploads that fit into the buffers of the sockets, in part or as a whole, and for connections that end some
// milliseconds after the part: then the read may take the error, or the write, or the part may be delivered before.
func TestPartAnswerToShortUploadIsNotComplete(t *testing.T) {
	const rounds = 4
	parts := map[string]string{"text/plain": "part", "text/plain; long": strings.Repeat("x", maxBuffered+1), eventStream: events(1, 1)}
	for _, length := range []int{20 << 10, 200 << 10, 3 << 20} {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			for contentType, part := range parts {
				t.Run(fmt.Sprintf("%d bytes, %s, after %s", length, contentType, delay), func(t *testing.T) {
					answer := unframedAnswer(contentType, part)
					l := rawserver.Start(t, func(conn *net.TCPConn, r *http.Request) {
						_, _ = io.WriteString(conn, answer(r))
						time.Sleep(delay)
						rawserver.Reset.End(conn)
					})
					f := newFixture(t, serviceconfig.Once, false, &fakeBackend{incarnation: "i-1", listener: l})
					for range rounds {
						if status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", longUpload[:length])); status == http.StatusOK && err == nil {
							t.Errorf("%d bytes of an answer look complete", len(body))
						}
					}
				})
			}
		}
	}
}

// An early answer that is complete by its length counts, whatever becomes of the upload.
func TestAnswerWithLengthToUnreadUploadIsComplete(t *testing.T) {
	for _, ending := range rawserver.Endings() {
		for _, length := range []int{20 << 10, 200 << 10, 3 << 20} {
			server := newRawBackend(t, "i-1", ending, func(r *http.Request) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nwhole", headerID, r.Header.Get(headerID))
			})
			f := newFixture(t, serviceconfig.Once, false, server)
			if status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", longUpload[:length])); status != http.StatusOK || body != "whole" || err != nil {
				t.Errorf("%s, %d bytes: status %d, %v, body %q", ending, length, status, err, body)
			}
		}
	}
}
