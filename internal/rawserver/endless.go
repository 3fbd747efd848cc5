// ================================================================
// Answers without end, and a check that what reads them does not keep them.
// ================================================================

package rawserver

import (
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/heapgrowth"
)

// LongLength is a length of answers without end, in bytes, for readers that get one at a time.
const LongLength = 256 << 20

// Endless is an answer without end: a beginning, and a text that follows it again and again.
type Endless struct{ Begin, Repeated string }

// EndlessHeads returns answers without end in their heads, by name.
func EndlessHeads() map[string]Endless {
	return map[string]Endless{
		"status line":       {"HTTP/1.1 200 ", "O"},
		"header field":      {"HTTP/1.1 200 OK\r\nX-Endless: ", "x"},
		"name of a field":   {"HTTP/1.1 200 OK\r\nX-", "n"},
		"many fields":       {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"continued field":   {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		"no HTTP":           {"", "\x00garbage"},
		"empty lines":       {"", "\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim fields":    {"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n"},
	}
}

// EndlessBodies returns answers without end in a plain body or in its chunks, by name.
func EndlessBodies() map[string]Endless {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]Endless{
		"plain body":      {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "x"},
		"failure":         {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
		"chunks":          {chunked, "1\r\nx\r\n"},
		"size of a chunk": {chunked, "0"},
		"chunk extension": {chunked + "1;", "x"},
		"trailer":         {chunked + "1\r\nx\r\n0\r\nX: ", "x"},
		"trailers":        {chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"},
	}
}

// script returns a script that writes length bytes of the answer, or less if the client closes the connection.
func (e Endless) script(length int) Script {
	const blockLength = 64 << 10
	block := strings.Repeat(e.Repeated, blockLength/len(e.Repeated))
	return func(conn *net.TCPConn, _ *http.Request) {
		_, err := io.WriteString(conn, e.Begin)
		for sent := 0; err == nil && sent < length; sent += len(block) {
			_, err = io.WriteString(conn, block)
		}
		Close.End(conn)
	}
}

// CheckNotKept fails the test if read keeps what it receives. read gets the listener of a server that writes up to length
// bytes of an answer, and may make atOnce requests at a time; a quarter of what they get may be kept in memory.
func CheckNotKept(t *testing.T, answers map[string]Endless, length, atOnce int, read func(t *testing.T, l net.Listener)) {
	t.Helper()
	for name, e := range answers {
		t.Run(name, func(t *testing.T) {
			l := Start(t, e.script(length))
			if growth := heapgrowth.Of(func() { read(t, l) }); growth > int64(length*atOnce/4) {
				t.Errorf("the heap has grown by %d MB; %d answers of %d MB were sent at a time", growth>>20, atOnce, length>>20)
			}
		})
	}
}

// Merge returns the answers of several maps.
func Merge(all ...map[string]Endless) map[string]Endless {
	merged := map[string]Endless{}
	for _, answers := range all {
		maps.Copy(merged, answers)
	}
	return merged
}
