package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/rawserver"
)

// endlessBytes is what an endless sender sends at most, so that a test ends.
const endlessBytes = 4 << 20

// serveEndless returns a function that answers one request with a head.
func serveEndless(head rawserver.Endless) func(server net.Conn) {
	return func(server net.Conn) {
		defer server.Close()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		_, _ = io.WriteString(server, head.Begin+strings.Repeat(head.Repeated, endlessBytes/len(head.Repeated)))
	}
}

// countingConn counts the bytes that were read.
type countingConn struct {
	net.Conn
	read atomic.Int64
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// newPipePool returns a pool whose only connection leads to serve.
func newPipePool(serve func(net.Conn)) (*Pool, *countingConn) {
	clientSide, serverSide := net.Pipe()
	go serve(serverSide)
	counting := &countingConn{Conn: clientSide}
	return NewPoolWithDial("server", func(context.Context, string, string) (net.Conn, error) { return counting, nil }), counting
}

// get sends a request over a new connection of a pool.
func get(t *testing.T, p *Pool) (*Connection, *http.Response, error) {
	t.Helper()
	c, err := p.Get(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.Exchange(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h"}, time.Now().Add(time.Minute))
	return c, response, err
}

// Guards against a backend server that sends a head without end: it was read into memory until the deadline.
func TestEndlessHeadIsRefused(t *testing.T) {
	for name, head := range rawserver.EndlessHeads() {
		t.Run(name, func(t *testing.T) {
			pool, conn := newPipePool(serveEndless(head))
			c, _, err := get(t, pool)
			if err == nil {
				t.Fatal("a response without end was accepted")
			}
			c.Close()
			if read := conn.read.Load(); read > maxResponseHead {
				t.Errorf("%d bytes were read: %.200v", read, err)
			}
		})
	}
}

// The bound holds for each head anew, and not for bodies.
func TestHeadLimitSparesBodies(t *testing.T) {
	const rounds, bodyLength, fieldLength = 3, 2 * maxResponseHead, maxResponseHead / 2
	pool, _ := newPipePool(func(server net.Conn) {
		reader := bufio.NewReader(server)
		for range rounds {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 131072\r\nX-Long: "+strings.Repeat("x", fieldLength)+"\r\n\r\n"+strings.Repeat("b", bodyLength))
		}
	})
	c, response, err := get(t, pool)
	for round := 1; ; round++ {
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || len(body) != bodyLength {
			t.Fatalf("round %d: %d bytes, %v", round, len(body), err)
		}
		if round == rounds {
			break
		}
		response, err = c.Exchange(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h"}, time.Now().Add(time.Minute))
	}
}

// Guards against an engine, an origin or the platform that sends a head without end: the clients of net/http read
// 10 MB of each.
func TestTransportBoundsHeads(t *testing.T) {
	for name, head := range rawserver.EndlessHeads() {
		t.Run(name, func(t *testing.T) {
			pool, conn := newPipePool(serveEndless(head))
			transport := newTransport(&http.Transport{DialContext: pool.dial, DisableKeepAlives: true})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", nil)
			if err != nil {
				t.Fatal(err)
			}
			if response, err := transport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
				t.Fatal("a response without end was accepted")
			}
			transport.CloseIdleConnections()
			if read := conn.read.Load(); read > maxResponseHead+readBufferSize {
				t.Errorf("%d bytes were read", read)
			}
		})
	}
}
