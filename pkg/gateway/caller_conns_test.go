package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// deadlineConn is a connection that stores its read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

// SetReadDeadline stores the deadline.
func (c *deadlineConn) SetReadDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

// A planned stop ends idle connections by a read deadline. If a request arrives at that moment,
// the deadline must be removed: net/http reads in the background while the handler runs, takes
// the expired deadline for a disconnected caller, and cancels the request's context.
func TestRequestArrivingAtIdleLimitIsServed(t *testing.T) {
	var c connections
	conn := &deadlineConn{}
	c.trackState(conn, http.StateNew)
	c.expireIdle(time.Now().Add(maxIdleAtStop))
	if conn.deadline.IsZero() {
		t.Fatal("an idle connection has no read deadline")
	}
	c.trackState(conn, http.StateActive)
	if !conn.deadline.IsZero() {
		t.Error("the request keeps the read deadline " + conn.deadline.String())
	}
}
