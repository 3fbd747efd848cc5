// ================================================================
// Pool of idle connections to one backend server. The most recently used connection is
// taken first, so that surplus connections reach their idle timeout and are closed.
// ================================================================

package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultIdleTimeout applies when the peer states no idle timeout, and
	// maxIdleTimeout when it states a longer one.
	defaultIdleTimeout = 4 * time.Second
	maxIdleTimeout     = 20 * time.Second
	// idleTimeoutMargin is subtracted from the peer's idle timeout, so that a request is
	// not sent while the peer closes the connection.
	idleTimeoutMargin = time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// breaks the connection.
	unackedTimeout = time.Second
	// A TCP keep-alive probe is sent after keepAliveIdleSeconds without data and then
	// every keepAliveIntervalSeconds; keepAliveProbes unanswered ones break the
	// connection.
	keepAliveIdleSeconds     = 1
	keepAliveIntervalSeconds = 1
	keepAliveProbes          = 2
)

// Dial connects to an address, IP:PORT.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address string
	dial    Dial
	open    atomic.Int64

	mu     sync.Mutex
	idle   []*Connection
	closed bool
}

// NewPool returns an empty pool of TCP connections to an address, IP:PORT.
func NewPool(address string) *Pool {
	return NewPoolWithDial(address, (&net.Dialer{Control: setSocketOptions, KeepAlive: -1}).DialContext)
}

// NewPoolWithDial returns an empty pool of connections to an address made by dial.
func NewPoolWithDial(address string, dial Dial) *Pool { return &Pool{address: address, dial: dial} }

// setSocketOptions makes the kernel detect a lost peer within seconds: by unacknowledged
// data, and by keep-alive probes on a connection without data in flight.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIdleSeconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveIntervalSeconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
	})
}

// OpenConnections returns the number of open connections, idle ones included.
func (p *Pool) OpenConnections() int { return int(p.open.Load()) }

// Get returns an idle connection, or dials a new one within dialTimeout. On error, no
// part of a request was sent.
func (p *Pool) Get(ctx context.Context, dialTimeout time.Duration) (*Connection, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.nothingReceived() {
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.open.Add(1)
	c := &Connection{conn: conn, pool: p, dialedAt: time.Now()}
	c.limiter = &headLimiter{receive: c.receive}
	c.reader = bufio.NewReaderSize(c.limiter, readBufferSize)
	return c, nil
}

// AnswersDial reports whether the address answers a dial within dialTimeout. A refusal or
// reset is an answer too: a backend server at its connection limit resets new
// connections. A connection that is made is closed without sending anything.
func (p *Pool) AnswersDial(ctx context.Context, dialTimeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		var timeout net.Error
		return !errors.As(err, &timeout) || !timeout.Timeout()
	}
	_ = conn.Close()
	return true
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle() *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// putIdle keeps a connection for timeout, or closes it if the pool is closed.
func (p *Pool) putIdle(c *Connection, timeout time.Duration) {
	if timeout <= 0 {
		c.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(timeout)
	p.mu.Lock()
	kept := !p.closed
	if kept {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !kept {
		c.Close()
	}
}

// CloseExpired closes the idle connections whose idle timeout has passed.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.closeIdle(func(c *Connection) bool { return !now.Before(c.idleUntil) })
}

// CloseUnusedSince closes the idle connections whose last response ended before t, and
// returns how many. The network may drop a connection without a close or reset, which an
// idle connection cannot detect: when one connection is found silent, idle connections of
// the same age are assumed to be silent as well. A connection with a later response works
// and is kept.
func (p *Pool) CloseUnusedSince(t time.Time) (closed int) {
	return p.closeIdle(func(c *Connection) bool { return c.idleSince.Before(t) })
}

// closeIdle closes the idle connections that match and returns how many.
func (p *Pool) closeIdle(match func(*Connection) bool) int {
	p.mu.Lock()
	var closed, kept []*Connection
	for _, c := range p.idle {
		if match(c) {
			closed = append(closed, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
	return len(closed)
}

// Close closes the idle connections; those in use are closed when they are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}
