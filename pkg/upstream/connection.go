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
	readBuffer = 4 << 10
	// writeAtOnce is the largest request that is written before the answer is
	// looked at. A larger body is written beside the reading: a backend server
	// may answer before it has read all.
	writeAtOnce = 16 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
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
	conn    net.Conn
	reader  *bufio.Reader
	pool    *Pool
	made    time.Time // when it was dialed
	heard   time.Time // when it came to rest after a whole answer
	expires time.Time // when the other side may close it while it rests
	unsent  atomic.Bool
	closed  sync.Once

	sending             sync.Mutex
	sent                uint64 // bytes of the requests before the last one
	last                uint64 // bytes of the last request
	nothingAcknowledged bool   // of the last request, when the connection was aborted
}

// Made returns when the connection was dialed.
func (c *Connection) Made() time.Time { return c.made }

// Close closes the connection.
func (c *Connection) Close() {
	c.closed.Do(func() {
		_ = c.conn.Close()
		c.pool.open.Add(-1)
	})
}

// Abort closes the connection at once: what is not sent yet never arrives, so
// a request that was given up on is not begun later.
func (c *Connection) Abort() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		c.noteAcknowledged(tcp)
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// NothingAcknowledged tells whether the other side had acknowledged nothing of the last request when
// the connection was aborted; false where that is not known.
func (c *Connection) NothingAcknowledged() bool {
	c.sending.Lock()
	defer c.sending.Unlock()
	return c.nothingAcknowledged
}

// noteAcknowledged notes what is acknowledged of the last request. The kernel counts the bytes of a
// connection from its first packet on, which counts as one.
func (c *Connection) noteAcknowledged(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	var info *unix.TCPInfo
	controlled := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if controlled != nil || err != nil {
		return // it is closed already
	}
	c.sending.Lock()
	defer c.sending.Unlock()
	const firstPacket = 1
	c.nothingAcknowledged = c.last > 0 && info.Bytes_acked == c.sent+firstPacket
}

// noteSending notes that a request of so many bytes is about to be sent.
func (c *Connection) noteSending(bytes int) {
	c.sending.Lock()
	defer c.sending.Unlock()
	c.sent, c.last = c.sent+c.last, uint64(bytes)
}

// quiet tells whether nothing has come on a resting connection: neither its
// end nor bytes that belong to no request.
func (c *Connection) quiet() bool {
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
	buffer := heads.Get().(*[]byte)
	head := appendHead((*buffer)[:0], q)
	c.noteSending(len(head) + len(q.Body))
	err := c.write(head, q.Body)
	*buffer = head
	heads.Put(buffer)
	if err != nil {
		return nil, err
	}
	return c.readHead(q.Method)
}

// heads holds the buffers that requests are put together in.
var heads = sync.Pool{New: func() any { b := make([]byte, 0, readBuffer); return &b }}

func (c *Connection) write(head, body []byte) error {
	if len(head)+len(body) <= writeAtOnce {
		_, err := c.conn.Write(append(head, body...))
		return err
	}
	c.unsent.Store(true)
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	go func() {
		// A write that fails shows in the reading, or does not matter.
		if _, err := c.conn.Write(body); err == nil {
			c.unsent.Store(false)
		}
	}()
	return nil
}

func (c *Connection) readHead(method string) (*http.Response, error) {
	for range maxInterim {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			return answer, nil
		}
	}
	return nil, errors.Errorf("more than %d interim answers", maxInterim)
}

// SetDeadline bounds every later read and write.
func (c *Connection) SetDeadline(t time.Time) { _ = c.conn.SetDeadline(t) }

// Finish ends an exchange whose body was read to its end. The connection is
// kept when it can serve another request.
func (c *Connection) Finish(answer *http.Response) {
	if answer.Close || c.unsent.Load() || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.pool.put(c, restTime(answer.Header))
}

// restTime returns how long a connection may rest, a second less than the
// other side says.
func restTime(h http.Header) time.Duration {
	rest := defaultRest
	if seconds, ok := keepAliveSeconds(h.Get("Keep-Alive")); ok {
		rest = time.Duration(seconds)*time.Second - restMargin
	}
	return min(rest, longestRest)
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
