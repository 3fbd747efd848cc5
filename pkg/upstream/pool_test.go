package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveOK answers every request on every connection.
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

// exchange gets a connection and has a request answered over it.
func exchange(t *testing.T, p *Pool) (c *Connection, finish func()) {
	t.Helper()
	c, err := p.Get(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.Exchange(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h"}, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return c, func() { c.Finish(answer) }
}

// Connections that nothing has come on since a moment are closed and not handed out
// again; one that was answered on later is kept, also where it was made before.
func TestCloseUnusedSinceKeepsUsedConnections(t *testing.T) {
	p := NewPool(serveOK(t))
	old, finishOld := exchange(t, p)
	kept, finishKept := exchange(t, p)
	finishOld()
	moment := time.Now()
	finishKept()
	if closed := p.CloseUnusedSince(moment); closed != 1 || p.Open() != 1 {
		t.Fatalf("%d closed, %d are open", closed, p.Open())
	}
	first, finish := exchange(t, p)
	second, _ := exchange(t, p)
	if first != kept || second == old || !second.DialedAt().After(moment) {
		t.Fatal("handed out was another one than the one that is kept, and then a new one")
	}
	finish()
	if closed := p.CloseUnusedSince(moment); closed != 0 {
		t.Fatalf("%d closed that were answered on later", closed)
	}
}
