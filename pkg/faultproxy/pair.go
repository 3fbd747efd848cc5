// ================================================================
// One connection through the proxy: two sockets, and two loops that carry bytes
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
	dialer, target *net.TCPConn
	label          string // under the proxy's lock
	silent         atomic.Bool
	midway         atomic.Pointer[Manner] // how it goes silent within the next piece
	over           chan struct{}          // closed when both loops have ended
}

func newPair(dialer, target *net.TCPConn) *pair {
	return &pair{dialer: dialer, target: target, over: make(chan struct{})}
}

func (c *pair) isSilent() bool { return c.silent.Load() }

func (c *pair) close() {
	_ = c.dialer.Close()
	_ = c.target.Close()
}

// forward carries bytes both ways until both sides have ended or the pair is
// silent. begins is called with the first bytes of the dialer.
func (c *pair) forward(begins func(first []byte)) {
	defer close(c.over)
	var both sync.WaitGroup
	both.Go(func() { c.carry(c.target, c.dialer, begins) })
	both.Go(func() { c.carry(c.dialer, c.target, func([]byte) {}) })
	both.Wait()
}

// carry carries bytes one way. It hands on how that way ends: an end of the
// stream as one, and a reset as a reset.
func (c *pair) carry(to, from *net.TCPConn, begins func(first []byte)) {
	buffer := make([]byte, pieceSize)
	first := true
	for {
		n, err := from.Read(buffer)
		if n > 0 && first {
			begins(buffer[:n])
			first = false
		}
		if n > 0 && !c.pass(to, buffer[:n]) {
			return
		}
		if err == nil {
			continue
		}
		switch {
		case c.isSilent():
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
		default:
			c.reset()
		}
		return
	}
}

// pass passes a piece on and tells whether more may follow.
func (c *pair) pass(to *net.TCPConn, piece []byte) bool {
	if c.isSilent() {
		return false
	}
	if m := c.midway.Load(); m != nil {
		_, _ = to.Write(piece[:len(piece)/2])
		c.hush(*m)
		return false
	}
	if _, err := to.Write(piece); err != nil {
		if !c.isSilent() {
			c.reset()
		}
		return false
	}
	return true
}

// hush makes the pair silent. What is being read or written stops there.
func (c *pair) hush(m Manner) {
	c.silent.Store(true)
	if !m.Acknowledged {
		dropPackets(c.dialer)
		dropPackets(c.target)
	}
	// A time that has passed ends the reads and writes under way.
	past := time.Unix(1, 0)
	_ = c.dialer.SetDeadline(past)
	_ = c.target.SetDeadline(past)
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
