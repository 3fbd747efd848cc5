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

// pieceSize is the most that is carried at one time.
const pieceSize = 32 << 10

// pair is a dialer's connection and the one to the target.
type pair struct {
	dialer, target     *net.TCPConn
	toTarget, toDialer *way
	label              string                 // under the proxy's lock
	midway             atomic.Pointer[Manner] // how it goes silent within the next piece
	halved             atomic.Bool            // that piece has come
}

// way is one direction of a pair.
type way struct {
	from, to *net.TCPConn
	silent   atomic.Bool
	over     chan struct{} // closed when it carries nothing any more
}

func newPair(dialer, target *net.TCPConn) *pair {
	return &pair{
		dialer: dialer, target: target,
		toTarget: &way{from: dialer, to: target, over: make(chan struct{})},
		toDialer: &way{from: target, to: dialer, over: make(chan struct{})},
	}
}

// isSilent tells whether either way is.
func (c *pair) isSilent() bool { return c.toTarget.silent.Load() || c.toDialer.silent.Load() }

// ways returns those that a manner silences.
func (c *pair) ways(m Manner) []*way {
	switch m.Only {
	case ToTarget:
		return []*way{c.toTarget}
	case ToDialer:
		return []*way{c.toDialer}
	}
	return []*way{c.toTarget, c.toDialer}
}

func (c *pair) close() {
	_ = c.dialer.Close()
	_ = c.target.Close()
}

// reset breaks both sides.
func (c *pair) reset() {
	reset(c.dialer)
	reset(c.target)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// forward carries bytes both ways until both have ended. begins is called with the
// first bytes of the dialer, and delay says how long a piece is held up.
func (c *pair) forward(begins func(first []byte), delay func() time.Duration) {
	var both sync.WaitGroup
	both.Go(func() { c.carry(c.toTarget, begins, delay) })
	both.Go(func() { c.carry(c.toDialer, func([]byte) {}, delay) })
	both.Wait()
}

// carry carries bytes one way. It hands on how that way ends: an end of the
// stream as one, and a reset as a reset.
func (c *pair) carry(w *way, begins func(first []byte), delay func() time.Duration) {
	defer close(w.over)
	buffer := make([]byte, pieceSize)
	first := true
	for {
		n, err := w.from.Read(buffer)
		if n > 0 {
			if first {
				begins(buffer[:n])
				first = false
			}
			if d := delay(); d > 0 {
				time.Sleep(d)
			}
			if !c.pass(w, buffer[:n]) {
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

// pass passes a piece on and tells whether more may follow.
func (c *pair) pass(w *way, piece []byte) bool {
	if w.silent.Load() {
		return false
	}
	if m := c.midway.Load(); m != nil && m.covers(w == c.toTarget) {
		if !c.halved.CompareAndSwap(false, true) {
			// The other way has a half under way: its answer is already lost.
			return false
		}
		_, _ = w.to.Write(piece[:len(piece)/2])
		c.hush(*m)
		return false
	}
	if _, err := w.to.Write(piece); err != nil {
		if !w.silent.Load() {
			c.reset()
		}
		return false
	}
	return true
}

// hush makes the pair silent. What is being read or written stops there.
func (c *pair) hush(m Manner) {
	// A time that has passed ends the reads and writes under way.
	past := time.Unix(1, 0)
	for _, w := range c.ways(m) {
		w.silent.Store(true)
		if !m.Acknowledged {
			dropPackets(w.from)
		}
		_ = w.from.SetReadDeadline(past)
		_ = w.to.SetWriteDeadline(past)
	}
}
