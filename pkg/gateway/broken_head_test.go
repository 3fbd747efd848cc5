// ================================================================
// Backend servers in trouble that answer with a broken head. Guards against callers that get such an answer, or bytes
// of it.
// ================================================================

package gateway

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// brokenMark is in each broken answer, and must not reach callers.
const brokenMark = "BROKEN"

// testBrokenHead checks that an answer is neither delivered nor quoted: a request that may run again gets the answer of
// another server, and others an error that does not say they have not run.
func testBrokenHead(t *testing.T, answer string) {
	t.Helper()
	for _, c := range []struct {
		name       string
		kind       serviceconfig.Kind
		beside     bool
		wantStatus int
	}{
		{"alone", serviceconfig.Repeatable, false, http.StatusBadGateway},
		{"beside a sound server", serviceconfig.Repeatable, true, http.StatusOK},
		{"at most once", serviceconfig.Once, true, http.StatusBadGateway},
	} {
		bad := newRawBackend(t, "i-1", rawserver.Close, func(*http.Request) string { return answer })
		servers := []*fakeBackend{bad}
		sound := newFakeBackend(t, "i-2", respondWith("200 OK", "whole"))
		if c.beside {
			servers = append(servers, sound)
		}
		f := newFixture(t, c.kind, false, servers...)
		status, header, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
		if status != c.wantStatus || err != nil || status == http.StatusOK && body != "whole" {
			t.Errorf("%s: status %d, %v, body %q", c.name, status, err, body)
		}
		if strings.Contains(body, brokenMark) || header.Get(brokenMark) != "" {
			t.Errorf("%s: bytes of the answer reach the caller: %v, %q", c.name, header, body)
		}
		if c.kind == serviceconfig.Once && len(sound.requests()) > 0 {
			t.Errorf("%s: the request was sent twice", c.name)
		}
	}
}

// A status below 200 that is no interim one was skipped, and what followed it was delivered as the answer.
func TestAnswerWithImpossibleStatusIsNotDelivered(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + brokenMark
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			testBrokenHead(t, "HTTP/1.1 "+status+" Unknown\r\nContent-Length: 6\r\n\r\n"+brokenMark)
		})
		t.Run(status+", then 200", func(t *testing.T) { testBrokenHead(t, "HTTP/1.1 "+status+" Unknown\r\n\r\n"+whole) })
	}
}

// A field whose name holds a blank was ignored, or passed on, with what it says about the body. A name that begins with
// one was taken for a part of the field before it.
func TestAnswerWithBrokenFieldNameIsNotDelivered(t *testing.T) {
	for _, fields := range []string{
		"Content-Length : 60", "Content-Length\t: 60", "Transfer-Encoding : chunked", brokenMark + " Y: b", brokenMark + ": a\r\nX Y: b",
		brokenMark + "\x01: b", brokenMark + "\x7f: b", brokenMark + "\x80: b", "X\x00: " + brokenMark, "X\r: " + brokenMark,
		" X: " + brokenMark, brokenMark + ": a\r\n Content-Length: 60", brokenMark + ": a\r\n\tTransfer-Encoding: chunked",
	} {
		t.Run(fields, func(t *testing.T) {
			testBrokenHead(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n\r\n6\r\n"+brokenMark+"\r\n0\r\n\r\n")
			testBrokenHead(t, "HTTP/1.1 103 Early Hints\r\n"+fields+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"+brokenMark)
		})
	}
}

// The field was dropped, and the framing of the chunks delivered as the body.
func TestEncodedAnswerOfHTTP10IsNotDelivered(t *testing.T) {
	testBrokenHead(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n"+brokenMark+"\r\n0\r\n\r\n")
}

// A broken answer to a probe does not confirm that a server which ended its answer with the connection is in order.
func TestBrokenProbeAnswerDoesNotConfirm(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 Unknown\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\n Z: a\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"garbage\r\n\r\n",
	} {
		t.Run(answer, func(t *testing.T) {
			t.Parallel()
			server := newFakeBackend(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
				writeUnframed(w, r, "text/plain", "part")
				return false
			})
			server.onProbe = func(w *bufio.Writer, _ *http.Request) bool {
				_, _ = w.WriteString(answer)
				return false
			}
			f := newFixture(t, serviceconfig.Once, false, server)
			if status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order")); status == http.StatusOK && err == nil {
				t.Errorf("%q looks like a whole answer", body)
			}
		})
	}
}
