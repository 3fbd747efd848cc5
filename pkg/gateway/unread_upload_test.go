// ================================================================
// Backend servers that answer an upload without reading it, with neither a length nor chunks, and end the
// connection in the middle of the answer. Guards against callers that get the part as a whole answer: the process
// lives on, so its probe confirms it, and the error of the connection went to the write of the upload.
// ================================================================

package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

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
