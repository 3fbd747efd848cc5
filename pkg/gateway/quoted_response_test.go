package gateway

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Guards against errors that quote what a backend server in trouble sent, at any length: to callers, and in the log.
func TestErrorsDoNotQuoteResponses(t *testing.T) {
	const maxErrorLength = 1 << 10
	long := strings.Repeat(brokenMark, 10_000)
	for name, answer := range map[string]string{
		"no HTTP":              long + "\r\n\r\n",
		"status line":          "HTTP/1.1 " + long + "\r\n\r\n",
		"line without a colon": "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"name of a field":      "HTTP/1.1 200 OK\r\n" + long + "(): x\r\n\r\n",
		"length":               "HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: " + long + "\r\n\r\n",
		"encoding":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + long + "\r\n\r\n",
		"head cut in a line":   "HTTP/1.1 200 OK\r\n" + long,
		"trailer":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + brokenMark + "\r\n\r\n",
		"reason of a refusal":  "HTTP/1.1 503 " + long + "\r\nContent-Length: 0\r\n\r\n",
		"id of a request":      "HTTP/1.1 200 OK\r\n" + headerID + ": " + long + "\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			f := newFixture(t, serviceconfig.Once, false, newRawBackend(t, "i-1", rawserver.Close, func(*http.Request) string { return answer }))
			f.gateway.process.Logger = daemon.NewLogger(&log, "info", "gateway-1")
			status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "order"))
			if status != http.StatusBadGateway || err != nil || len(body) > maxErrorLength || strings.Contains(body, brokenMark) {
				t.Errorf("status %d, %v, %d bytes: %.200q", status, err, len(body), body)
			}
			f.server.Close() // the last line may be written after the response
			if text := log.String(); strings.Contains(text, brokenMark) || !strings.Contains(text, `"msg":"attempt"`) {
				t.Errorf("log of %d bytes: %.200q", len(text), text)
			}
		})
	}
}
