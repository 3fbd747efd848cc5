package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// discardingConn discards writes without an error once it is silenced.
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

// maxSilence is how long a connection may be silent before it is closed: the requirements
// count a VM as reachable again 4 s after its connections were reset.
const maxSilence = 4 * time.Second

func TestUnansweredPingClosesConnectionInTime(t *testing.T) {
	c := testEndpoint("client", "", 0).sessionConfig()
	if delay := c.KeepAliveInterval + c.ConnectionWriteTimeout; !c.EnableKeepAlive || delay > maxSilence {
		t.Fatalf("a silent connection is closed after %s", delay)
	}
}

// A connection that goes silent without a reset while new ones work is closed by the
// periodic ping, whether it is idle or a call is waiting on it, and the next call dials
// again.
func TestSilentConnectionsAreClosedByPings(t *testing.T) {
	for name, waits := range map[string]bool{"idle connection": false, "call in progress": true} {
		t.Run(name, func(t *testing.T) { testSilentConnection(t, waits) })
	}
}

func testSilentConnection(t *testing.T, waits bool) {
	server := testEndpoint("server", "", 0)
	received := make(chan bool, 2)
	server.Handle(KindQuery, func(ctx context.Context, s *Stream) error {
		var text string
		if err := s.Receive(&text); err != nil {
			return err
		}
		received <- true
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
	<-received
	session := client.sessions[address].session
	ended := make(chan error, 1)
	if waits {
		go func() {
			var text string
			ended <- client.Call(t.Context(), address, KindQuery, "wait", &text)
		}()
		<-received
	}
	silenced.Store(true)
	if waits && <-ended == nil {
		t.Error("a call was answered over a silent connection")
	}
	<-session.CloseChan()
	if err := client.Call(t.Context(), address, KindQuery, "hello", &text); err != nil || len(dialed) != 2 {
		t.Errorf("the next call: %v, %d dials", err, len(dialed))
	}
}
