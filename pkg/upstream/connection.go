// ================================================================
// One HTTP/1.1 connection to a backend server, with one request at a time.
//
// The client of net/http is not used: it resends a request by itself when a kept-alive
// connection breaks, and it reuses connections on which a surplus response waits. Here each
// call of Exchange writes a request at most once, and a connection in any unexpected state
// is closed.
// ================================================================

// Package upstream is an HTTP/1.1 client for backend servers with keep-alive connections.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	readBufferSize = 4 << 10
	// maxInlineWrite is the largest request, in bytes, that is written completely before
	// the response is read. A larger body is written in a separate goroutine, because a
	// backend server may respond before it has read the whole body.
	maxInlineWrite = 16 << 10
	// maxInterimResponses bounds the 1xx responses, of which a final one must follow the last.
	maxInterimResponses = 8
)

// Request is an outgoing request.
type Request struct {
	// Method, URI and Host are sent unchanged.
	Method, URI, Host string
	// Header is sent as it is; ForwardedHeader removes the fields that must not be
	// forwarded.
	Header http.Header
	Body   []byte
}

// Connection is a connection to a backend server.
type Connection struct {
	conn       net.Conn
	limiter    *headLimiter
	reader     *bufio.Reader // of limiter
	pool       *Pool
	dialedAt   time.Time // when it was established
	idleSince  time.Time // when its last complete response ended
	idleUntil  time.Time // when it expires while idle
	bodyUnsent atomic.Bool
	closeOnce  sync.Once

	sendMu              sync.Mutex
	earlierBytes        uint64 // bytes of the requests before the last one
	lastBytes           uint64 // bytes of the last request
	nothingAcknowledged bool   // of the last request, recorded by Abort
}

// DialedAt returns when the connection was established.
func (c *Connection) DialedAt() time.Time { return c.dialedAt }

// Close closes the connection. Later calls do nothing.
func (c *Connection) Close() {
	c.closeOnce.Do(func() {
		_ = c.conn.Close()
		c.pool.open.Add(-1)
	})
}

// Abort closes the connection with a reset and discards unsent data, so that the backend
// server does not start an abandoned request later.
func (c *Connection) Abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		c.recordAcknowledged()
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// NothingAcknowledged reports whether the peer's TCP had acknowledged no byte of the last
// request when the connection was aborted; false if unknown.
func (c *Connection) NothingAcknowledged() bool {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	return c.nothingAcknowledged
}

// recordAcknowledged records whether any byte of the last request is acknowledged.
func (c *Connection) recordAcknowledged() {
	acknowledged, err := acknowledgedBytes(c.conn)
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	c.nothingAcknowledged = err == nil && c.lastBytes > 0 && acknowledged == c.earlierBytes
}

// receive reads from the connection. It reports the peer's close as an end only if the last request was received.
func (c *Connection) receive(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	return n, checkEnd(c.conn, c.requestedBytes(), err)
}

// requestedBytes returns how many bytes the requests so far have, those that are still to be written included.
func (c *Connection) requestedBytes() uint64 {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	return c.earlierBytes + c.lastBytes
}

// recordRequestSize records the size of the request that is about to be sent.
func (c *Connection) recordRequestSize(bytes int) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	c.earlierBytes, c.lastBytes = c.earlierBytes+c.lastBytes, uint64(bytes)
}

// nothingReceived reports whether an idle connection has received nothing: neither the
// peer's close nor bytes that belong to no request.
func (c *Connection) nothingReceived() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = err == unix.EAGAIN
		return true
	})
	return err == nil && nothing
}

// Exchange sends a request and reads the head of its response. The caller reads the
// response's body and then calls Finish. Reads and writes fail once the deadline passes;
// ctx is not used.
func (c *Connection) Exchange(ctx context.Context, q Request, deadline time.Time) (*http.Response, error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	buffer := headBuffers.Get().(*[]byte)
	head := appendHead((*buffer)[:0], q)
	c.recordRequestSize(len(head) + len(q.Body))
	err := c.write(head, q.Body)
	*buffer = head
	headBuffers.Put(buffer)
	if err != nil {
		return nil, err
	}
	return c.readHead(q.Method)
}

// headBuffers holds buffers for request heads.
var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, readBufferSize); return &b }}

func (c *Connection) write(head, body []byte) error {
	if len(head)+len(body) <= maxInlineWrite {
		_, err := c.conn.Write(append(head, body...))
		return err
	}
	c.bodyUnsent.Store(true)
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	go func() {
		// After a failed write a response may still be read: the backend server may have responded without
		// the rest of the body. receive refuses one that ends with the connection.
		if _, err := c.conn.Write(body); err == nil {
			c.bodyUnsent.Store(false)
		}
	}()
	return nil
}

func (c *Connection) readHead(method string) (*http.Response, error) {
	c.limiter.startHead()
	defer c.limiter.endHead()
	for range maxInterimResponses {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.limiter.headError(err)
		}
		if err := checkHead(response.StatusCode, response.Header, c.limiter.scanner.fault); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return withoutQuotes(response), nil
		}
	}
	return nil, errTooManyInterim
}

// SetDeadline sets the deadline of all later reads and writes.
func (c *Connection) SetDeadline(t time.Time) { _ = c.conn.SetDeadline(t) }

// Finish ends an exchange whose response body was read to its end. It returns the
// connection to the pool if it can serve another request, and closes it otherwise.
func (c *Connection) Finish(response *http.Response) {
	if response.Close || c.bodyUnsent.Load() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.pool.putIdle(c, idleTimeout(response.Header))
}

// idleTimeout returns how long a connection may stay idle: idleTimeoutMargin less than the
// peer's Keep-Alive header says, or defaultIdleTimeout without one.
func idleTimeout(h http.Header) time.Duration {
	timeout := defaultIdleTimeout
	if seconds, ok := keepAliveSeconds(h.Get("Keep-Alive")); ok {
		timeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	return min(timeout, maxIdleTimeout)
}

// keepAliveSeconds returns the timeout parameter of a Keep-Alive header.
func keepAliveSeconds(field string) (int, bool) {
	const name = "timeout="
	for i := 0; i+len(name) <= len(field); i++ {
		if field[i:i+len(name)] != name {
			continue
		}
		end := i + len(name)
		for end < len(field) && field[end] >= '0' && field[end] <= '9' {
			end++
		}
		n, err := strconv.Atoi(field[i+len(name) : end])
		return n, err == nil
	}
	return 0, false
}

// ReadAll reads a body to its end. A body of more than limit bytes is an error.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Errorf("response of more than %d bytes", limit)
	}
	return data, err
}
