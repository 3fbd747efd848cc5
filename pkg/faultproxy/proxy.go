// ================================================================
// A TCP proxy on loopback in front of one address that injects network faults, for tests of whole
// programs. It silences open connections while new ones pass, resets them or delays their data.
//
//	gateway --> 127.0.0.9:7700 (proxy) --> 127.0.0.9:7701 (stager)
//
// There is one proxy per target, not one per pair of processes, since a process advertises a single
// address to all others.
// ================================================================

// Package faultproxy provides a TCP proxy for tests that injects faults into connections.
package faultproxy

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Config configures a proxy.
type Config struct {
	// Listen is the address of the proxy, and Target the address that it connects to.
	Listen, Target string
	// Label returns the label of a connection, by which faults select connections, from the first
	// bytes that the dialer sends. The source address would not do: on loopback it is the same for
	// all dialers. If Label is nil, all connections have the empty label.
	Label func(first []byte) string
}

// AcceptedConn is the label of an accepted connection and the time when it was accepted.
type AcceptedConn struct {
	Label string
	At    time.Time
}

// Proxy is a running proxy. It is safe for concurrent use.
type Proxy struct {
	config   Config
	listener net.Listener
	running  sync.WaitGroup

	mu       sync.Mutex
	conns    map[*proxiedConn]bool
	accepted []AcceptedConn
	delay    func(label string) time.Duration
	closed   bool
}

// Listen starts a proxy that accepts connections until Close.
func Listen(c Config) (*Proxy, error) {
	if c.Label == nil {
		c.Label = func([]byte) string { return "" }
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{config: c, listener: l, conns: map[*proxiedConn]bool{}}
	p.running.Add(1)
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// AcceptedConns returns the connections whose label is known, in the order in which the labels
// became known. A connection has no label until its dialer sends data.
func (p *Proxy) AcceptedConns() []AcceptedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.accepted)
}

// Close stops the proxy and closes all connections, including silent ones.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
	p.running.Wait()
}

func (p *Proxy) accept() {
	defer p.running.Done()
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Add(1)
		go p.serve(conn.(*net.TCPConn), time.Now())
	}
}

// serve connects a dialer to the target. If the target is unreachable, it resets the dialer's
// connection, as a port without a listener does.
func (p *Proxy) serve(dialer *net.TCPConn, at time.Time) {
	defer p.running.Done()
	conn, err := net.Dial("tcp", p.config.Target)
	if err != nil {
		reset(dialer)
		return
	}
	c := newProxiedConn(dialer, conn.(*net.TCPConn))
	if !p.add(c) {
		c.close()
		return
	}
	c.forward(func(first []byte) { p.setLabel(c, first, at) }, func() time.Duration { return p.delayOf(c) })
	if c.isSilent() {
		// A silent connection stays open until Close, so that neither end sees it closed.
		return
	}
	c.close()
	p.remove(c)
}

// add registers a connection. It returns false if the proxy is closed.
func (p *Proxy) add(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) remove(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// setLabel labels a connection by the dialer's first bytes and records it as accepted at the given
// time.
func (p *Proxy) setLabel(c *proxiedConn, first []byte, at time.Time) {
	label := p.config.Label(first)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.label = label
	p.accepted = append(p.accepted, AcceptedConn{label, at})
}
