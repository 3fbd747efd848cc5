package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveOK starts a server that responds 200 to every request and returns its address.
func serveOK(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return l.Addr().String()
}

// exchange gets a connection and receives the response to one request on it; finish
// returns the connection to the pool.
func exchange(t *testing.T, p *Pool) (c *Connection, finish func()) {
	t.Helper()
	c, err := p.Get(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.Exchange(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h"}, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return c, func() { c.Finish(response) }
}

// CloseUnusedSince closes connections without a response since a time, so that they are
// not reused; a connection dialed before but with a later response is kept.
func TestCloseUnusedSinceKeepsUsedConnections(t *testing.T) {
	p := NewPool(serveOK(t))
	old, finishOld := exchange(t, p)
	kept, finishKept := exchange(t, p)
	finishOld()
	since := time.Now()
	finishKept()
	if closed := p.CloseUnusedSince(since); closed != 1 || p.OpenConnections() != 1 {
		t.Fatalf("%d closed, %d open", closed, p.OpenConnections())
	}
	first, finish := exchange(t, p)
	second, _ := exchange(t, p)
	if first != kept || second == old || !second.DialedAt().After(since) {
		t.Fatal("the pool did not return the kept connection first and a new one second")
	}
	finish()
	if closed := p.CloseUnusedSince(since); closed != 0 {
		t.Fatalf("%d connections with a later response closed", closed)
	}
}
