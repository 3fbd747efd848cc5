// ================================================================
// One connection through the proxy: two sockets, and two ways that carry bytes
// from one to the other.
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

// maxBlockBytes is the most that is carried at one time.
const maxBlockBytes = 32 << 10

// proxiedConn is a dialer's connection and the one to the target.
type proxiedConn struct {
	dialer, target     *net.TCPConn
	toTarget, toDialer *pipe
	label              string                         // under the proxy's lock
	midway             atomic.Pointer[SilenceOptions] // how it goes silent within the next piece
	halfSent           atomic.Bool                    // that piece has come
}

// pipe is one direction of a pair.
type pipe struct {
	from, to *net.TCPConn
	silent   atomic.Bool
	done     chan struct{} // closed when it carries nothing any more
}

func newProxiedConn(dialer, target *net.TCPConn) *proxiedConn {
	return &proxiedConn{
		dialer: dialer, target: target,
		toTarget: &pipe{from: dialer, to: target, done: make(chan struct{})},
		toDialer: &pipe{from: target, to: dialer, done: make(chan struct{})},
	}
}

// isSilent tells whether either way is.
func (c *proxiedConn) isSilent() bool { return c.toTarget.silent.Load() || c.toDialer.silent.Load() }

// pipes returns those that a manner silences.
func (c *proxiedConn) pipes(m SilenceOptions) []*pipe {
	switch m.Direction {
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

// reset breaks both sides.
func (c *proxiedConn) reset() {
	reset(c.dialer)
	reset(c.target)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// forward carries bytes both ways until both have ended. begins is called with the
// first bytes of the dialer, and delay says how long a piece is held up.
func (c *proxiedConn) forward(onFirst func(first []byte), delay func() time.Duration) {
	var both sync.WaitGroup
	both.Go(func() { c.forwardPipe(c.toTarget, onFirst, delay) })
	both.Go(func() { c.forwardPipe(c.toDialer, func([]byte) {}, delay) })
	both.Wait()
}

// forwardPipe carries bytes one way. It hands on how that way ends: an end of the
// stream as one, and a reset as a reset.
func (c *proxiedConn) forwardPipe(w *pipe, onFirst func(first []byte), delay func() time.Duration) {
	defer close(w.done)
	buffer := make([]byte, maxBlockBytes)
	first := true
	for {
		n, err := w.from.Read(buffer)
		if n > 0 {
			if first {
				onFirst(buffer[:n])
				first = false
			}
			if d := delay(); d > 0 {
				time.Sleep(d)
			}
			if !c.forwardBlock(w, buffer[:n]) {
				return
			}
		}
		if err == nil {
			continue
		}
		switch {
		case w.silent.Load():
		case errors.Is(err, io.EOF):
			_ = w.to.CloseWrite()
		default:
			c.reset()
		}
		return
	}
}

// forwardBlock passes a piece on and tells whether more may follow.
func (c *proxiedConn) forwardBlock(w *pipe, block []byte) bool {
	if w.silent.Load() {
		return false
	}
	if m := c.midway.Load(); m != nil && m.affects(w == c.toTarget) {
		if !c.halfSent.CompareAndSwap(false, true) {
			// The other way has a half under way: its answer is already lost.
			return false
		}
		_, _ = w.to.Write(block[:len(block)/2])
		c.silence(*m)
		return false
	}
	if _, err := w.to.Write(block); err != nil {
		if !w.silent.Load() {
			c.reset()
		}
		return false
	}
	return true
}

// silence makes the pair silent. What is being read or written stops there.
func (c *proxiedConn) silence(m SilenceOptions) {
	// A time that has passed ends the reads and writes under way.
	past := time.Unix(1, 0)
	for _, w := range c.pipes(m) {
		w.silent.Store(true)
		if !m.Acknowledged {
			dropPackets(w.from)
		}
		_ = w.from.SetReadDeadline(past)
		_ = w.to.SetWriteDeadline(past)
	}
}
