package upstream

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Only a response without a length, chunks or a status that excludes a body ends with its connection.
func TestFramingOf(t *testing.T) {
	for head, want := range map[string]Framing{
		"200 OK\r\nContent-Length: 2\r\n\r\nok":                            FramedByLength,
		"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": FramedByChunks,
		"204 No Content\r\n\r\n":                                           FramedByLength,
		"200 OK\r\n\r\nok":                                                 FramedByClose,
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+head)), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if got := FramingOf(response); got != want {
			t.Errorf("%q: %s, want %s", response.Status, got, want)
		}
	}
}
