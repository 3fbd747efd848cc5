// ================================================================
// An in-memory network for tests: hosts that listen and dial, links that can be cut silently, and
// hosts that can be disconnected. It works in virtual time (testing/synctest).
// ================================================================

// Package memnet is an in-memory network for tests of whole programs in virtual time.
package memnet

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// cutPollInterval is the time between two checks of whether a cut link is restored.
const cutPollInterval = 20 * time.Millisecond

// Network connects hosts. It is safe for concurrent use. Create it with New.
type Network struct {
	latency time.Duration // one-way latency of each write

	mu        sync.Mutex
	listeners map[string]*listener
	hosts     map[string]string // address to host
	cuts      map[[2]string]bool
	conns     map[*conn]bool
}

// New returns a network in which each write arrives after the given latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency:   latency,
		listeners: map[string]*listener{}, hosts: map[string]string{},
		cuts: map[[2]string]bool{}, conns: map[*conn]bool{},
	}
}

// listener implements net.Listener for a host.
type listener struct {
	network *Network
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// Listen returns the function with which a host listens on an address.
func (n *Network) Listen(host string) func(address string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.listeners[address] != nil {
			return nil, errors.Errorf("%s is already in use", address)
		}
		l := &listener{network: n, address: address, queue: make(chan net.Conn), closed: make(chan struct{})}
		n.listeners[address] = l
		n.hosts[address] = host
		return l, nil
	}
}

// Dial returns the function with which a host dials an address. A dial over a cut link blocks until
// its context ends.
func (n *Network) Dial(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		to := n.hosts[address]
		n.mu.Unlock()
		if n.isCut(host, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil {
			return nil, errors.Errorf("%s: connection refused", address)
		}
		ours, theirs := n.connect(host, to)
		select {
		case l.queue <- theirs:
			return ours, nil
		case <-l.closed:
			return nil, errors.Errorf("%s: connection refused", address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// conn is one end of a connection. Written data is pending for the latency and for as long as the link
// is cut, and then moves to the peer's buffer. The data of one instant arrives as a whole: a receiver
// that waited for the rest of a frame while it holds a lock would keep virtual time from advancing.
type conn struct {
	network  *Network
	from, to string
	peer     *conn
	closed   chan struct{}
	once     sync.Once
	sent     chan struct{}
	arrived  chan struct{}

	mu       sync.Mutex
	pending  []segment
	buffer   []byte
	deadline time.Time
}

// segment is the data of one write.
type segment struct {
	at   time.Time
	data []byte
}

// connect returns the two ends of a connection.
func (n *Network) connect(a, b string) (near, far *conn) {
	near = &conn{network: n, from: a, to: b, closed: make(chan struct{}), sent: make(chan struct{}, 1), arrived: make(chan struct{}, 1)}
	far = &conn{network: n, from: b, to: a, closed: make(chan struct{}), sent: make(chan struct{}, 1), arrived: make(chan struct{}, 1)}
	near.peer, far.peer = far, near
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = true, true
	go near.deliverLoop()
	go far.deliverLoop()
	return near, far
}

// notify wakes up the receiver of a channel with one buffered element. It does not block.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.mu.Lock()
	c.pending = append(c.pending, segment{time.Now(), append([]byte(nil), data...)})
	c.mu.Unlock()
	notify(c.sent)
	return len(data), nil
}

// deliverLoop delivers pending data to the peer until the connection is closed.
func (c *conn) deliverLoop() {
	for {
		select {
		case <-c.sent:
		case <-c.closed:
			return
		}
		time.Sleep(c.network.latency)
		for c.network.isCut(c.from, c.to) {
			select {
			case <-c.closed:
				return
			case <-time.After(cutPollInterval):
			}
		}
		c.deliver()
	}
}

// deliver moves the data that was sent before this instant to the peer's buffer. A frame's header and
// body are written at one instant, and so arrive together.
func (c *conn) deliver() {
	now := time.Now()
	c.mu.Lock()
	var data []byte
	for len(c.pending) > 0 && c.pending[0].at.Before(now) {
		data = append(data, c.pending[0].data...)
		c.pending = c.pending[1:]
	}
	if len(c.pending) > 0 {
		notify(c.sent)
	}
	c.mu.Unlock()
	c.peer.mu.Lock()
	c.peer.buffer = append(c.peer.buffer, data...)
	c.peer.mu.Unlock()
	notify(c.peer.arrived)
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.buffer) > 0 {
			n := copy(data, c.buffer)
			c.buffer = c.buffer[n:]
			c.mu.Unlock()
			return n, nil
		}
		deadline := c.deadline
		c.mu.Unlock()
		var timeout <-chan time.Time
		if !deadline.IsZero() {
			timeout = time.After(time.Until(deadline))
		}
		select {
		case <-c.arrived:
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.peer.closed:
			return 0, net.ErrClosed
		case <-timeout:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }

// SetWriteDeadline implements net.Conn. It does nothing, because writes do not block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

// SetCut cuts or restores the link between two hosts in both directions.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// RestoreAll restores all links.
func (n *Network) RestoreAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = map[[2]string]bool{}
}

// DisconnectHost closes all connections of a host.
func (n *Network) DisconnectHost(host string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if c.from == host || c.to == host {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}
