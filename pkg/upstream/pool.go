// ================================================================
// The kept connections to one backend server. The one used last is taken
// first, so that the others grow old and are closed.
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
	// defaultIdleTimeout is how long a connection rests when the other side does not
	// say, and longestRest when it says more.
	defaultIdleTimeout = 4 * time.Second
	maxIdleTimeout     = 20 * time.Second
	// idleTimeoutMargin is kept to what the other side says: a request must not cross
	// its close.
	idleTimeoutMargin = time.Second
	// unackedTimeout is how long sent bytes may wait for their acknowledgement.
	unackedTimeout           = time.Second
	keepAliveIdleSeconds     = 1
	keepAliveIntervalSeconds = 1
	keepAliveProbes          = 2
)

// Dial makes a connection to an address, IP:PORT.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps the connections to one address.
type Pool struct {
	address string
	dial    Dial
	open    atomic.Int64

	mu     sync.Mutex
	idle   []*Connection
	closed bool
}

// NewPool returns an empty pool of an address, IP:PORT, over TCP.
func NewPool(address string) *Pool {
	return NewPoolWithDial(address, (&net.Dialer{Control: setSocketOptions, KeepAlive: -1}).DialContext)
}

// NewPoolWithDial returns an empty pool of an address whose connections dial makes.
func NewPoolWithDial(address string, dial Dial) *Pool { return &Pool{address: address, dial: dial} }

// setSocketOptions bounds the silence of a connection from its first packet on.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIdleSeconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveIntervalSeconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
	})
}

// Open returns how many connections there are, resting ones included.
func (p *Pool) Open() int { return int(p.open.Load()) }

// Get returns a resting connection, or dials one within dialTimeout. An error
// means that nothing was sent.
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
	return &Connection{conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize), pool: p, dialedAt: time.Now()}, nil
}

// AnswersDial tells whether anything answers a dial within dialTimeout; a refusal
// does too: a backend server that is full resets new connections. A connection
// is closed again: nothing is sent.
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

// RefusesDial tells whether a dial is refused within dialTimeout: nobody listens there. One
// that is not answered tells nothing.
func (p *Pool) RefusesDial(ctx context.Context, dialTimeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

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

func (p *Pool) putIdle(c *Connection, rest time.Duration) {
	if rest <= 0 {
		c.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(rest)
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

// CloseExpired closes connections that rested too long.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.closeIdle(func(c *Connection) bool { return !now.Before(c.idleUntil) })
}

// CloseUnusedSince closes the resting connections that nothing has come on since before, and
// returns how many. A connection may go silent for good without an end, which shows on
// none that rests: where one is found so, the others of its time are as good as found.
// One that was answered on later works, and is kept.
func (p *Pool) CloseUnusedSince(before time.Time) (closed int) {
	return p.closeIdle(func(c *Connection) bool { return c.idleSince.Before(before) })
}

// closeIdle closes the resting connections that some condition holds for.
func (p *Pool) closeIdle(holds func(*Connection) bool) int {
	p.mu.Lock()
	var closed, kept []*Connection
	for _, c := range p.idle {
		if holds(c) {
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

// Close closes the resting connections; those in use close when they are done.
func (p *Pool) Close() {
	p.mu.Lock()
	resting := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range resting {
		c.Close()
	}
}
