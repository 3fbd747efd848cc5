// ================================================================
// One connection to a backend server: one request at a time, HTTP/1.1.
//
// Why not net/http's client: it sends a request again by itself when a kept
// connection breaks, and it hands out connections on which a surplus answer
// waits. Here a request is written at most once for each call of Exchange, and
// a connection with anything odd about it is closed.
// ================================================================

// Package upstream speaks HTTP/1.1 to backend servers over kept connections.
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
	// maxInlineWrite is the largest request that is written before the answer is
	// looked at. A larger body is written beside the reading: a backend server
	// may answer before it has read all.
	maxInlineWrite = 16 << 10
	// maxInterimResponses bounds the 1xx answers before the final one.
	maxInterimResponses = 8
)

// Request is a request as it is sent.
type Request struct {
	// Method, URI and Host are sent as they are.
	Method, URI, Host string
	// Header is sent without the fields that concern one connection only.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Connection is a connection to a backend server.
type Connection struct {
	conn       net.Conn
	reader     *bufio.Reader
	pool       *Pool
	dialedAt   time.Time // when it was dialed
	idleSince  time.Time // when it came to rest after a whole answer
	idleUntil  time.Time // when the other side may close it while it rests
	bodyUnsent atomic.Bool
	closeOnce  sync.Once

	sendMu              sync.Mutex
	earlierBytes        uint64 // bytes of the requests before the last one
	lastBytes           uint64 // bytes of the last request
	nothingAcknowledged bool   // of the last request, when the connection was aborted
}

// DialedAt returns when the connection was dialed.
func (c *Connection) DialedAt() time.Time { return c.dialedAt }

// Close closes the connection.
func (c *Connection) Close() {
	c.closeOnce.Do(func() {
		_ = c.conn.Close()
		c.pool.open.Add(-1)
	})
}

// Abort closes the connection at once: what is not sent yet never arrives, so
// a request that was given up on is not begun later.
func (c *Connection) Abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		c.recordAcknowledged(tcp)
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// NothingAcknowledged tells whether the other side had acknowledged nothing of the last request when
// the connection was aborted; false where that is not known.
func (c *Connection) NothingAcknowledged() bool {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	return c.nothingAcknowledged
}

// recordAcknowledged notes what is acknowledged of the last request. The kernel counts the bytes of a
// connection from its first packet on, which counts as one.
func (c *Connection) recordAcknowledged(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	var info *unix.TCPInfo
	controlled := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if controlled != nil || err != nil {
		return // it is closed already
	}
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	const firstPacket = 1
	c.nothingAcknowledged = c.lastBytes > 0 && info.Bytes_acked == c.earlierBytes+firstPacket
}

// recordRequestSize notes that a request of so many bytes is about to be sent.
func (c *Connection) recordRequestSize(bytes int) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	c.earlierBytes, c.lastBytes = c.earlierBytes+c.lastBytes, uint64(bytes)
}

// nothingReceived tells whether nothing has come on a resting connection: neither its
// end nor bytes that belong to no request.
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Exchange sends a request and reads the head of its answer. The answer's body
// is read from the connection; Finish ends the exchange. The connection breaks
// when the context ends or the deadline passes.
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

// headBuffers holds the buffers that requests are put together in.
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
		// A write that fails shows in the reading, or does not matter.
		if _, err := c.conn.Write(body); err == nil {
			c.bodyUnsent.Store(false)
		}
	}()
	return nil
}

func (c *Connection) readHead(method string) (*http.Response, error) {
	for range maxInterimResponses {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
	return nil, errors.Errorf("more than %d interim answers", maxInterimResponses)
}

// SetDeadline bounds every later read and write.
func (c *Connection) SetDeadline(t time.Time) { _ = c.conn.SetDeadline(t) }

// Finish ends an exchange whose body was read to its end. The connection is
// kept when it can serve another request.
func (c *Connection) Finish(answer *http.Response) {
	if answer.Close || c.bodyUnsent.Load() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.pool.putIdle(c, idleTimeout(answer.Header))
}

// idleTimeout returns how long a connection may rest, a second less than the
// other side says.
func idleTimeout(h http.Header) time.Duration {
	rest := defaultIdleTimeout
	if seconds, ok := keepAliveSeconds(h.Get("Keep-Alive")); ok {
		rest = time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	return min(rest, maxIdleTimeout)
}

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

// ReadAll reads a body of at most limit bytes to its end.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Errorf("an answer of more than %d bytes", limit)
	}
	return data, err
}
