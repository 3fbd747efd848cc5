package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// discardingConn loses what is written to it once it is silenced, without an error.
type discardingConn struct {
	net.Conn
	silenced *atomic.Bool
}

func (c discardingConn) Write(b []byte) (int, error) {
	if c.silenced.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// maxSilence is how long a connection may be silent until it is dropped: the
// users call a VM in touch again 4 s after its connections were reset.
const maxSilence = 4 * time.Second

func TestUnansweredPingClosesConnectionInTime(t *testing.T) {
	c := testEndpoint("client", "", 0).sessionConfig()
	if within := c.KeepAliveInterval + c.ConnectionWriteTimeout; !c.EnableKeepAlive || within > maxSilence {
		t.Fatalf("a silent connection is dropped after %s", within)
	}
}

// A connection may go silent for good without a reset while new ones work. It is
// found out by a ping of our own, at rest and in the middle of an exchange, and the
// next call dials anew.
func TestSilentConnectionsAreClosedByPings(t *testing.T) {
	for name, waits := range map[string]bool{"at rest": false, "in the middle of an exchange": true} {
		t.Run(name, func(t *testing.T) { testSilentConnection(t, waits) })
	}
}

func testSilentConnection(t *testing.T, waits bool) {
	server := testEndpoint("server", "", 0)
	came := make(chan bool, 2)
	server.Handle(KindQuery, func(ctx context.Context, s *Stream) error {
		var text string
		if err := s.Receive(&text); err != nil {
			return err
		}
		came <- true
		if text == "wait" {
			<-ctx.Done()
		}
		return s.Send(text)
	})
	address := serveEndpoint(t, server)
	client := testEndpoint("client", "", 0)
	t.Cleanup(client.Close)
	client.config.PingInterval, client.config.PingTimeout = 20*time.Millisecond, 200*time.Millisecond
	var silenced atomic.Bool
	dialed := make(chan bool, 2)
	client.config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if len(dialed) == 0 {
			conn = discardingConn{conn, &silenced}
		}
		dialed <- true
		return conn, err
	}
	var text string
	if err := client.Call(t.Context(), address, KindQuery, "hello", &text); err != nil {
		t.Fatal(err)
	}
	<-came
	session := client.sessions[address].session
	broken := make(chan error, 1)
	if waits {
		go func() {
			var text string
			broken <- client.Call(t.Context(), address, KindQuery, "wait", &text)
		}()
		<-came
	}
	silenced.Store(true)
	if waits && <-broken == nil {
		t.Error("a call was answered over a silent connection")
	}
	<-session.CloseChan()
	if err := client.Call(t.Context(), address, KindQuery, "hello", &text); err != nil || len(dialed) != 2 {
		t.Errorf("the next call: %v, %d dials", err, len(dialed))
	}
}
