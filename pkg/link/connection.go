// ================================================================
// A connection and the time at which it last received bytes. Traffic of any stream shows
// that the peer and the network path work and costs nothing extra; a ping checks a
// connection without traffic.
// ================================================================

package link

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/tidepost/tidepost/pkg/vm"
)

// connection is an authenticated connection that carries multiplexed streams.
type connection struct {
	session  *yamux.Session
	peer     vm.Identity
	received *receiveTime
	streams  *openStreams
}

// receiveTime is the time at which bytes last arrived. It is stored as an offset from its
// creation, so that a step of the wall clock does not change it. It is safe for concurrent
// use.
type receiveTime struct {
	created time.Time
	offset  atomic.Int64
}

func newReceiveTime() *receiveTime { return &receiveTime{created: time.Now()} }

func (t *receiveTime) record() { t.offset.Store(int64(time.Since(t.created))) }

// time returns the time at which bytes last arrived, or the time of creation if none did.
func (t *receiveTime) time() time.Time { return t.created.Add(time.Duration(t.offset.Load())) }

// timedConn records the time at which bytes arrive.
type timedConn struct {
	net.Conn
	received *receiveTime
}

func (c timedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.record()
	}
	return n, err
}

// receivedSince reports whether bytes arrived after t.
func (c *connection) receivedSince(t time.Time) bool { return c.received.time().After(t) }

// startPing pings the connection and returns a channel that is closed when the reply
// arrives. Without a reply the channel stays open: the periodic ping then closes the
// connection.
func (c *connection) startPing() <-chan struct{} {
	replied := make(chan struct{})
	go func() {
		if _, err := c.session.Ping(); err == nil {
			close(replied)
		}
	}()
	return replied
}

// respondsWithin pings the connection and reports whether any bytes arrive within a
// timeout.
func (c *connection) respondsWithin(timeout time.Duration) bool {
	pinged := time.Now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-c.startPing():
		return true
	case <-c.session.CloseChan():
		return false
	case <-timer.C:
		return c.receivedSince(pinged)
	}
}
