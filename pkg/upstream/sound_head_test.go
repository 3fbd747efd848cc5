package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/golden"
)

// heads are heads of responses, sound and broken; a body of six bytes follows each.
var heads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 6",
	"HTTP/1.0 200 OK\r\nContent-Length: 6",
	"HTTP/1.1 200\r\nContent-Length: 6",
	"HTTP/1.1 599 Custom\r\nContent-Length: 6",
	"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6",
	// Statuses
	"HTTP/1.1 000 Unknown\r\nContent-Length: 6",
	"HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6",
	"HTTP/1.1 001 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6",
	"HTTP/1.1 099 Unknown\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6",
	"HTTP/1.1 +20 Unknown\r\nContent-Length: 6",
	"HTTP/1.1 -00 Unknown\r\nContent-Length: 6",
	"HTTP/1.1 600 Unknown\r\nContent-Length: 6",
	"HTTP/1.1 999 Unknown\r\nContent-Length: 6",
	"HTTP/1.1 20 OK\r\nContent-Length: 6",
	"HTTP/1.1 2000 OK\r\nContent-Length: 6",
	"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6",
	// Names and values of fields
	"HTTP/1.1 200 OK\r\nContent-Length : 6",
	"HTTP/1.1 200 OK\r\nContent-Length : 60",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
	"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX Y: z",
	"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nX\tY: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nX\x00Y: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nX\rY: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nX\x7fY: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nX\x80Y: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nX(Y): z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\n: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nno colon",
	"HTTP/1.1 200 OK\r\n X: z\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nX: folded\r\n value\r\nContent-Length: 6",
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX: z\x00",
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX: z\x01",
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX: z\x7f",
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX: z\ry",
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX: \x80\t z",
	// Lengths and protocols
	"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 5",
	"HTTP/1.1 200 OK\r\nContent-Length: +6",
	"HTTP/1.1 200 OK\r\nContent-Length: -6",
	"HTTP/1.1 200 OK\r\nContent-Length: 6, 6",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: unknown",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
	"HTTP/2.0 200 OK\r\nContent-Length: 6",
	"HTTP/9.9 200 OK\r\nContent-Length: 6",
	"HTTX/1.1 200 OK\r\nContent-Length: 6",
}

// exchangeHead sends a request to a server that answers with a head and a body, and describes the response.
func exchangeHead(t *testing.T, head string, roundTrip func(p *Pool) (*http.Response, error)) string {
	t.Helper()
	pool, _ := newPipePool(func(server net.Conn) {
		defer server.Close()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, _ = io.WriteString(server, head+"\r\n\r\nsix-by")
		}
	})
	response, err := roundTrip(pool)
	if err != nil {
		return "refused"
	}
	defer response.Body.Close()
	body, err := ReadAll(response.Body, maxResponseHead)
	if err != nil {
		return fmt.Sprintf("%d, body refused", response.StatusCode)
	}
	return fmt.Sprintf("%d %q", response.StatusCode, body)
}

// Guards against broken heads that are taken for answers; net/http accepts some. Both clients must agree.
func TestHeads(t *testing.T) {
	var b strings.Builder
	for _, head := range heads {
		result := exchangeHead(t, head, func(p *Pool) (*http.Response, error) {
			_, response, err := get(t, p)
			return response, err
		})
		other := exchangeHead(t, head, func(p *Pool) (*http.Response, error) {
			return NewClient(&http.Transport{DialContext: p.dial}).Get("http://server/")
		})
		if other != result {
			t.Errorf("%q: %s by a Connection, %s by a client of net/http", head, result, other)
		}
		_, _ = fmt.Fprintf(&b, "%q: %s\n", head, result)
	}
	golden.Check(t, "testdata/heads.txt", b.String())
}
