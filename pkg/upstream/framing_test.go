package upstream

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/golden"
)

// Only a response without a length, chunks or a status that excludes a body ends with its connection.
func TestFramingOf(t *testing.T) {
	var b strings.Builder
	for _, method := range []string{http.MethodGet, http.MethodHead} {
		for _, head := range []string{"200 OK\r\nContent-Length: 2", "200 OK\r\nTransfer-Encoding: chunked", "204 No Content", "200 OK"} {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+head+"\r\n\r\n")), &http.Request{Method: method})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(&b, "%s %q: %s\n", method, head, FramingOf(response))
		}
	}
	golden.Check(t, "testdata/framings.txt", b.String())
}
