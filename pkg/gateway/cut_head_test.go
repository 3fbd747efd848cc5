package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Guards against a backend server that stops in the middle of an answer's head and ends its connection: other systems
// passed on a 200 with an empty or short body.
func TestAnswerCutInHeadIsNotDelivered(t *testing.T) {
	const body = "six-by"
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\n" + body,
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n" + body + "\r\n0\r\n\r\n",
		"close":   "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Other: kept\r\n\r\n",
		"stream":  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for _, ending := range []rawserver.Ending{rawserver.Close, rawserver.Reset} {
			t.Run(fmt.Sprintf("%s, %s", name, ending), func(t *testing.T) {
				cut := 0
				bad := newRawBackend(t, "i-1", ending, func(*http.Request) string { return head[:cut] })
				sound := newFakeBackend(t, "i-2", respondWith("200 OK", "whole"))
				alone := newFixture(t, serviceconfig.Once, false, bad)
				beside := newFixture(t, serviceconfig.Repeatable, false, bad, sound)
				for cut = range len(head) {
					if status, _, got, err := alone.do(t, alone.request(t, http.MethodPost, "a", "order")); status != http.StatusBadGateway || err != nil {
						t.Errorf("cut at %d, alone: status %d, %v, body %q", cut, status, err, got)
					}
					if status, _, got, err := beside.do(t, beside.request(t, http.MethodPost, "a", "order")); status != http.StatusOK || err != nil || got != "whole" {
						t.Errorf("cut at %d, beside a sound server: status %d, %v, body %q", cut, status, err, got)
					}
				}
			})
		}
	}
}
