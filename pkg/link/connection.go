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
	session *yamux.Session
	peer    vm.Identity
	heard   *lastHeard
}

// lastHeard is when bytes last came. It is kept as the time since it was made, which
// a step of the clock does not move.
type lastHeard struct {
	made time.Time
	at   atomic.Int64
}

func newLastHeard() *lastHeard { return &lastHeard{made: time.Now()} }

func (h *lastHeard) note() { h.at.Store(int64(time.Since(h.made))) }

// time returns when bytes last came; when it was made, if none did.
func (h *lastHeard) time() time.Time { return h.made.Add(time.Duration(h.at.Load())) }

// heardConn notes when bytes come.
type heardConn struct {
	net.Conn
	heard *lastHeard
}

func (c heardConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.note()
	}
	return n, err
}

// isHeardSince tells whether bytes came after a moment.
func (c *connection) isHeardSince(t time.Time) bool { return c.heard.time().After(t) }

// ask pings the connection. The channel is closed when the answer has come, and never
// if none does: the ping that everybody sends now and then ends the connection then.
func (c *connection) ask() <-chan struct{} {
	answered := make(chan struct{})
	go func() {
		if _, err := c.session.Ping(); err == nil {
			close(answered)
		}
	}()
	return answered
}

// speaks pings the connection and tells whether anything comes within a time.
func (c *connection) speaks(within time.Duration) bool {
	asked := time.Now()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-c.ask():
		return true
	case <-c.session.CloseChan():
		return false
	case <-timer.C:
		return c.isHeardSince(asked)
	}
}
