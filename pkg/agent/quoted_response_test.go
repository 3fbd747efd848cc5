package agent

import (
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
)

// Guards against failures that quote what a service in trouble sent; they reach callers.
func TestFailuresDoNotQuoteResponses(t *testing.T) {
	const mark = "BROKEN"
	long := strings.Repeat(mark, 10_000)
	for name, answer := range map[string]string{
		"no HTTP":              long + "\r\n\r\n",
		"status line":          "HTTP/1.1 " + long + "\r\n\r\n",
		"line without a colon": "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"name of a field":      "HTTP/1.1 200 OK\r\n" + long + "(): x\r\n\r\n",
		"length":               "HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
		"head cut in a line":   "HTTP/1.1 200 OK\r\n" + long,
		"trailer":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + mark + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := sendParts(rawserver.Start(t, rawserver.Answer(answer, rawserver.Close)), uploadRequest("order"))
			if err == nil || strings.Contains(err.Error(), mark) {
				t.Errorf("%.200v", err)
			}
		})
	}
}
