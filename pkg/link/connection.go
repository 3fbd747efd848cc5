// ================================================================
// A connection and when it was last heard. What came over it, of any stream, is
// the cheapest sign that the other side and the way to it are well; a ping of the
// connection asks for one where nothing else does.
// ================================================================

package link

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/tidepost/tidepost/pkg/vm"
)

// connection is an authenticated connection with its streams.
type connection struct {
	session  *yamux.Session
	peer     vm.Identity
	received *receiveTime
}

// receiveTime is when bytes last came. It is kept as the time since it was made, which
// a step of the clock does not move.
type receiveTime struct {
	created time.Time
	offset  atomic.Int64
}

func newReceiveTime() *receiveTime { return &receiveTime{created: time.Now()} }

func (h *receiveTime) record() { h.offset.Store(int64(time.Since(h.created))) }

// time returns when bytes last came; when it was made, if none did.
func (h *receiveTime) time() time.Time { return h.created.Add(time.Duration(h.offset.Load())) }

// timedConn notes when bytes come.
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

// receivedSince tells whether bytes came after a moment.
func (c *connection) receivedSince(t time.Time) bool { return c.received.time().After(t) }

// startPing pings the connection. The channel is closed when the answer has come, and never
// if none does: the ping that everybody sends now and then ends the connection then.
func (c *connection) startPing() <-chan struct{} {
	answered := make(chan struct{})
	go func() {
		if _, err := c.session.Ping(); err == nil {
			close(answered)
		}
	}()
	return answered
}

// respondsWithin pings the connection and tells whether anything comes within a time.
func (c *connection) respondsWithin(within time.Duration) bool {
	asked := time.Now()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-c.startPing():
		return true
	case <-c.session.CloseChan():
		return false
	case <-timer.C:
		return c.receivedSince(asked)
	}
}
