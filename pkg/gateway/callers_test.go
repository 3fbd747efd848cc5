package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// deadlineConn is a connection that keeps its deadline for reading.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

// SetReadDeadline keeps it.
func (c *deadlineConn) SetReadDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

// A planned stop ends a connection that rests by the end of its time for reading. Where a
// request comes at that moment, what ended the rest ended the request as well: net/http
// reads beside the handler, takes the end of its time for a caller that left, and ends the
// request's context.
func TestRequestArrivingAtIdleLimitIsServed(t *testing.T) {
	var c connections
	conn := &deadlineConn{}
	c.trackState(conn, http.StateNew)
	c.expireIdle(time.Now().Add(maxIdleAtStop))
	if conn.deadline.IsZero() {
		t.Fatal("a connection that rests goes on")
	}
	c.trackState(conn, http.StateActive)
	if !conn.deadline.IsZero() {
		t.Error("the request on it is read until " + conn.deadline.String())
	}
}
