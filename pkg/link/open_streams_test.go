package link

import (
	"context"
	"crypto/rand"
	"net"
	"testing"
	"time"
)

// slowClosingConn ends its pending reads and finishes closing only when released is closed, as a
// TLS connection to a silent peer may.
type slowClosingConn struct {
	net.Conn
	closing  chan<- bool
	released <-chan struct{}
}

func (c slowClosingConn) Close() error {
	c.closing <- true
	<-c.released
	return c.Conn.Close()
}

// Guards that reads and writes of streams end when their connection starts to close. yamux lets
// them poll without a pause until it is closed.
func TestStreamsEndWhenConnectionStartsToClose(t *testing.T) {
	cases := map[string]func(*Stream) error{
		"read": func(s *Stream) error { return s.Receive(new(string)) },
		"read with a deadline": func(s *Stream) error {
			s.SetDeadline(time.Now().Add(time.Hour))
			return s.Receive(new(string))
		},
		"write": func(s *Stream) error {
			incompressible := make([]byte, streamWindow)
			_, _ = rand.Read(incompressible)
			for {
				if err := s.Send(incompressible); err != nil {
					return err
				}
			}
		},
	}
	for name, call := range cases {
		t.Run(name, func(t *testing.T) { testStreamOfClosingConnection(t, call) })
	}
}

func testStreamOfClosingConnection(t *testing.T, call func(*Stream) error) {
	server := testEndpoint("server", "", 0)
	server.Handle(KindQuery, func(ctx context.Context, _ *Stream) error {
		<-ctx.Done()
		return nil
	})
	address := serveEndpoint(t, server)
	client := testEndpoint("client", "", 0)
	t.Cleanup(client.Close)
	closing, released := make(chan bool, 4), make(chan struct{})
	client.config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return slowClosingConn{conn, closing, released}, err
	}
	s, err := client.Open(t.Context(), address, KindQuery, "")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- call(s) }()
	time.Sleep(100 * time.Millisecond)
	closed := make(chan bool)
	go func() {
		client.Drop(s)
		close(closed)
	}()
	<-closing
	expectEnd(t, "a call that began before", ended)
	s.SetDeadline(time.Now().Add(time.Hour))
	go func() { ended <- call(s) }()
	expectEnd(t, "a call that began after", ended)
	close(released)
	<-closed
}

// expectEnd fails the test unless a call fails within two seconds.
func expectEnd(t *testing.T, name string, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err == nil {
			t.Errorf("%s the connection started to close succeeded", name)
		}
	case <-time.After(2 * time.Second):
		t.Errorf("%s the connection started to close goes on until it is closed", name)
	}
}
