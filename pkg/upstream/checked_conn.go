// ================================================================
// A connection of a client of net/http. net/http hides what a Connection sees for itself: the bytes of heads, and
// whether the peer has received the request when it closes the connection.
// ================================================================

package upstream

import (
	"net"
	"sync"
	"sync/atomic"
)

// checkedConn counts the bytes that are sent, and scans the heads that are received.
type checkedConn struct {
	net.Conn
	sent atomic.Uint64 // those of a write in progress included

	mu      sync.Mutex
	scanner headScanner
}

// startResponse has the connection expect the head of a response.
func (c *checkedConn) startResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.startResponse()
}

// headFault returns why the bytes of the last response's head are not sound; nil if they are.
func (c *checkedConn) headFault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.fault
}

// Write writes to the connection.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.sent.Add(uint64(len(p)))
	return c.Conn.Write(p)
}

// Read reads from the connection. It reports the peer's close as an end only if the peer has received all that was sent.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.scanner.scan(p[:n])
	c.mu.Unlock()
	return n, checkEnd(c.Conn, c.sent.Load(), err)
}
