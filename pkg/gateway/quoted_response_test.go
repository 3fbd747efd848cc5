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
	answers := rawserver.Malformed(long)
	answers["reason of a refusal"] = "HTTP/1.1 503 " + long + "\r\nContent-Length: 0\r\n\r\n"
	answers["id of a request"] = "HTTP/1.1 200 OK\r\n" + headerID + ": " + long + "\r\nContent-Length: 0\r\n\r\n"
	for name, answer := range answers {
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
