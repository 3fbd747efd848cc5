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
	// defaultRest is how long a connection rests when the other side does not
	// say, and longestRest when it says more.
	defaultRest = 4 * time.Second
	longestRest = 20 * time.Second
	// restMargin is kept to what the other side says: a request must not cross
	// its close.
	restMargin = time.Second
	// unackedTimeout is how long sent bytes may wait for their acknowledgement.
	unackedTimeout = time.Second
	probeIdle      = 1
	probeInterval  = 1
	probeCount     = 2
)

// Dial makes a connection to an address, IP:PORT.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps the connections to one address.
type Pool struct {
	address string
	dial    Dial
	open    atomic.Int64

	mu      sync.Mutex
	resting []*Connection
	closed  bool
}

// NewPool returns an empty pool of an address, IP:PORT, over TCP.
func NewPool(address string) *Pool {
	return NewPoolOver(address, (&net.Dialer{Control: control, KeepAlive: -1}).DialContext)
}

// NewPoolOver returns an empty pool of an address whose connections dial makes.
func NewPoolOver(address string, dial Dial) *Pool { return &Pool{address: address, dial: dial} }

// control bounds the silence of a connection from its first packet on.
func control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeIdle)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeInterval)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount)
	})
}

// Open returns how many connections there are, resting ones included.
func (p *Pool) Open() int { return int(p.open.Load()) }

// Get returns a resting connection, or dials one within dialTimeout. An error
// means that nothing was sent.
func (p *Pool) Get(ctx context.Context, dialTimeout time.Duration) (*Connection, error) {
	for {
		c := p.take()
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
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
	return &Connection{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), pool: p, made: time.Now()}, nil
}

// Reaches tells whether anything answers a dial within dialTimeout; a refusal
// does too: a backend server that is full resets new connections. A connection
// is closed again: nothing is sent.
func (p *Pool) Reaches(ctx context.Context, dialTimeout time.Duration) bool {
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

// Refuses tells whether a dial is refused within dialTimeout: nobody listens there. One
// that is not answered tells nothing.
func (p *Pool) Refuses(ctx context.Context, dialTimeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (p *Pool) take() *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.resting)
	if n == 0 {
		return nil
	}
	c := p.resting[n-1]
	p.resting = p.resting[:n-1]
	return c
}

func (p *Pool) put(c *Connection, rest time.Duration) {
	if rest <= 0 {
		c.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.heard = time.Now()
	c.expires = c.heard.Add(rest)
	p.mu.Lock()
	kept := !p.closed
	if kept {
		p.resting = append(p.resting, c)
	}
	p.mu.Unlock()
	if !kept {
		c.Close()
	}
}

// CloseOld closes connections that rested too long.
func (p *Pool) CloseOld() {
	now := time.Now()
	p.closeResting(func(c *Connection) bool { return !now.Before(c.expires) })
}

// Distrust closes the resting connections that nothing has come on since before, and
// returns how many. A connection may go silent for good without an end, which shows on
// none that rests: where one is found so, the others of its time are as good as found.
// One that was answered on later works, and is kept.
func (p *Pool) Distrust(before time.Time) (closed int) {
	return p.closeResting(func(c *Connection) bool { return c.heard.Before(before) })
}

// closeResting closes the resting connections that some condition holds for.
func (p *Pool) closeResting(holds func(*Connection) bool) int {
	p.mu.Lock()
	var closed, kept []*Connection
	for _, c := range p.resting {
		if holds(c) {
			closed = append(closed, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.resting = kept
	p.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
	return len(closed)
}

// Close closes the resting connections; those in use close when they are done.
func (p *Pool) Close() {
	p.mu.Lock()
	resting := p.resting
	p.resting, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range resting {
		c.Close()
	}
}
