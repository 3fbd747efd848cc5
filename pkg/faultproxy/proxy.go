// ================================================================
// A proxy on loopback that stands before one address and does to the connections
// through it what networks do: it silences those that are open while new ones
// pass, resets them or holds them up. It is for tests of whole programs.
//
//	gateway --> 127.0.0.9:7700 (proxy) --> 127.0.0.9:7701 (stager)
//
// Whoever dials shows in the first bytes that it sends, since on loopback all
// dialers have one source address: Label reads who it is from them, so that the
// connections of one kind of dialer are silenced by themselves.
//
// Rejected: one proxy for each pair of processes. Processes tell each other one
// address each, so all who dial a process go to the same place.
// ================================================================

// Package faultproxy is a proxy for tests that brings faults on connections.
package faultproxy

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Config says what a proxy stands before.
type Config struct {
	// Listen is the address of the proxy, and Target the one behind it.
	Listen, Target string
	// Label names a connection by the first bytes that its dialer sends; all
	// connections have the empty label when nil.
	Label func(first []byte) string
}

// AcceptedConn is a connection that came: its label and when it was accepted.
type AcceptedConn struct {
	Label string
	At    time.Time
}

// Proxy is a running proxy.
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

// Listen returns a proxy that takes connections until Close.
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

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// AcceptedConns returns the connections that showed their label so far, in the order
// in which they did.
func (p *Proxy) AcceptedConns() []AcceptedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.accepted)
}

// Close ends the proxy and all connections, silent ones too.
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

// serve connects a dialer with the target. One that cannot be reached resets the
// dialer's connection, as a port without a listener does.
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
		// It stays open until Close: its ends must not hear that it is over.
		return
	}
	c.close()
	p.remove(c)
}

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

func (p *Proxy) setLabel(c *proxiedConn, first []byte, at time.Time) {
	label := p.config.Label(first)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.label = label
	p.accepted = append(p.accepted, AcceptedConn{label, at})
}
