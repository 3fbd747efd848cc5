// ================================================================
// One connection through the proxy: two sockets and two pipes, one for each direction, that copy
// bytes between them.
// ================================================================

package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxBlockBytes is the size of the read buffer of a pipe.
const maxBlockBytes = 32 << 10

// proxiedConn is a dialer's connection to the proxy and the proxy's connection to the target.
type proxiedConn struct {
	dialer, target     *net.TCPConn
	toTarget, toDialer *pipe
	label              string                         // guarded by Proxy.mu
	pendingSilence     atomic.Pointer[SilenceOptions] // set if silence begins within the next block
	halfSent           atomic.Bool                    // half of that block was sent
}

// pipe is one direction of a proxiedConn.
type pipe struct {
	from, to *net.TCPConn
	silent   atomic.Bool
	done     chan struct{} // closed when copying has ended
}

func newProxiedConn(dialer, target *net.TCPConn) *proxiedConn {
	return &proxiedConn{
		dialer: dialer, target: target,
		toTarget: &pipe{from: dialer, to: target, done: make(chan struct{})},
		toDialer: &pipe{from: target, to: dialer, done: make(chan struct{})},
	}
}

// isSilent reports whether at least one direction is silent.
func (c *proxiedConn) isSilent() bool { return c.toTarget.silent.Load() || c.toDialer.silent.Load() }

// pipes returns the pipes that the options select.
func (c *proxiedConn) pipes(o SilenceOptions) []*pipe {
	switch o.Direction {
	case ToTarget:
		return []*pipe{c.toTarget}
	case ToDialer:
		return []*pipe{c.toDialer}
	}
	return []*pipe{c.toTarget, c.toDialer}
}

func (c *proxiedConn) close() {
	_ = c.dialer.Close()
	_ = c.target.Close()
}

// reset resets both sockets.
func (c *proxiedConn) reset() {
	reset(c.dialer)
	reset(c.target)
}

// reset closes a socket with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// forward copies bytes in both directions until both have ended. It calls onFirst with the dialer's
// first bytes, and waits for delay before it forwards a block.
func (c *proxiedConn) forward(onFirst func(first []byte), delay func() time.Duration) {
	var both sync.WaitGroup
	both.Go(func() { c.forwardPipe(c.toTarget, onFirst, delay) })
	both.Go(func() { c.forwardPipe(c.toDialer, func([]byte) {}, delay) })
	both.Wait()
}

// forwardPipe copies bytes in one direction. An end of stream is forwarded as an end of
// stream and any other error as a reset of both sockets; a silent pipe forwards neither.
func (c *proxiedConn) forwardPipe(p *pipe, onFirst func(first []byte), delay func() time.Duration) {
	defer close(p.done)
	buffer := make([]byte, maxBlockBytes)
	first := true
	for {
		n, err := p.from.Read(buffer)
		if n > 0 {
			if first {
				onFirst(buffer[:n])
				first = false
			}
			if d := delay(); d > 0 {
				time.Sleep(d)
			}
			if !c.forwardBlock(p, buffer[:n]) {
				return
			}
		}
		if err == nil {
			continue
		}
		switch {
		case p.silent.Load():
		case errors.Is(err, io.EOF):
			_ = p.to.CloseWrite()
		default:
			c.reset()
		}
		return
	}
}

// forwardBlock writes a block and reports whether the pipe continues.
func (c *proxiedConn) forwardBlock(p *pipe, block []byte) bool {
	if p.silent.Load() {
		return false
	}
	if o := c.pendingSilence.Load(); o != nil && o.affects(p == c.toTarget) {
		if !c.halfSent.CompareAndSwap(false, true) {
			// The other direction has sent half of its block already; nothing may follow here, or a
			// response would pass after the silence began.
			return false
		}
		_, _ = p.to.Write(block[:len(block)/2])
		c.silence(*o)
		return false
	}
	if _, err := p.to.Write(block); err != nil {
		if !p.silent.Load() {
			c.reset()
		}
		return false
	}
	return true
}

// silence makes the selected directions silent. It interrupts reads and writes in progress.
func (c *proxiedConn) silence(o SilenceOptions) {
	// A deadline in the past interrupts reads and writes in progress.
	past := time.Unix(1, 0)
	for _, p := range c.pipes(o) {
		p.silent.Store(true)
		if !o.Acknowledged {
			dropPackets(p.from)
		}
		_ = p.from.SetReadDeadline(past)
		_ = p.to.SetWriteDeadline(past)
	}
}
