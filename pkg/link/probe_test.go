// These tests guard against a fault in which all open connections went silent at once
// without a reset while new ones worked, and most callers were refused for seconds: calls
// that timed out were followed by calls over the same connection, and only the periodic
// ping (every 2 s, with a timeout of 2 s) detected the silence. The tests set that ping to
// one hour, so that they reach the peer again only through probes by the callers.

package link

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/silenced"
)

const (
	// testTimeout fails a test whose condition does not become true; it is not a limit under test.
	testTimeout = 20 * time.Second
	// callTimeout is the deadline of a call in these tests.
	callTimeout = 200 * time.Millisecond
)

// silencingDialer dials connections. It can silence the open ones in both directions and
// make new dials hang.
type silencingDialer struct {
	silenced.Conns
	mu      sync.Mutex
	dials   map[string]int
	blocked bool // new dials hang
}

func newSilencingDialer() *silencingDialer { return &silencingDialer{dials: map[string]int{}} }

func (s *silencingDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	s.mu.Lock()
	s.dials[address]++
	blocked := s.blocked
	s.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.Wrap(conn), nil
}

// blockDials makes all dials from now on hang.
func (s *silencingDialer) blockDials() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked = true
}

func (s *silencingDialer) dialsTo(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials[address]
}

// newClientWithoutPings returns a client whose periodic pings come too late to detect a
// silent connection.
func newClientWithoutPings(t *testing.T, s *silencingDialer) *Endpoint {
	t.Helper()
	client := testEndpoint("client", "", 0)
	client.config.PingInterval, client.config.PingTimeout = time.Hour, time.Hour
	client.config.Dial = s.dial
	t.Cleanup(client.Close)
	return client
}

// newEchoServer returns a server that echoes each call and passes one-way messages to the
// channel. It passes the call "wait" to the channel too, and responds to it at the end of the
// test.
func newEchoServer(t *testing.T) (server *Endpoint, received chan string) {
	t.Helper()
	server, received = testEndpoint("server", "", 0), make(chan string, 1024)
	server.config.PingInterval, server.config.PingTimeout = time.Hour, time.Hour
	server.Handle(KindQuery, func(ctx context.Context, s *Stream) error {
		var text string
		if err := s.Receive(&text); err != nil {
			return err
		}
		if text == "wait" {
			received <- text
			<-ctx.Done()
		}
		return s.Send(text)
	})
	server.Handle(KindControlLog, func(_ context.Context, s *Stream) error {
		for {
			var text string
			if err := s.Receive(&text); err != nil {
				return nil
			}
			received <- text
		}
	})
	return server, received
}

func callWithTimeout(t *testing.T, client *Endpoint, address, text string) error {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	var response string
	return client.Call(ctx, address, KindQuery, text, &response)
}

// eventually polls until condition returns true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	timeout := time.After(testTimeout)
	for !condition() {
		select {
		case <-timeout:
			t.Fatalf("not within %s: %s", testTimeout, what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// receiveInTime receives an error from a channel, and fails the test after testTimeout.
func receiveInTime(t *testing.T, what string, done <-chan error) error {
	t.Helper()
	select {
	case err := <-done:
		return err
	case <-time.After(testTimeout):
		t.Fatalf("not within %s: %s", testTimeout, what)
		return nil
	}
}

// After an idle connection goes silent, calls succeed again over its replacement.
func TestCallsContinueOverReplacementConnection(t *testing.T) {
	server, _ := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	for range 2 {
		if err := callWithTimeout(t, client, address, "hello"); err != nil {
			t.Fatal(err)
		}
		s.Silence()
		eventually(t, "a call is answered", func() bool { return callWithTimeout(t, client, address, "hello") == nil })
	}
}

// A call whose connection goes silent while it waits fails early.
func TestCallOverSilentConnectionEndsEarly(t *testing.T) {
	server, received := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	ended := make(chan error, 1)
	go func() {
		var response string
		ended <- client.Call(t.Context(), address, KindQuery, "wait", &response)
	}()
	<-received
	s.Silence()
	if receiveInTime(t, "the call ends", ended) == nil {
		t.Error("a call was answered over a silent connection")
	}
	if err := callWithTimeout(t, client, address, "hello"); err != nil {
		t.Errorf("the next call: %v", err)
	}
}

// One-way messages have no response that could time out. They move to the replacement
// connection that calls have brought up.
func TestMessagesContinueOverReplacementConnection(t *testing.T) {
	server, received := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	m := NewMessenger[string](client, KindControlLog)
	defer m.Close()
	m.Send("server", address, "before")
	<-received
	s.Silence()
	eventually(t, "a message arrives", func() bool {
		_ = callWithTimeout(t, client, address, "hello")
		m.Send("server", address, "after")
		select {
		case text := <-received:
			return text == "after"
		default:
			return false
		}
	})
}

// A stream that only reads ends when its silent connection is replaced.
func TestReceivingStreamEndsWhenItsConnectionIsReplaced(t *testing.T) {
	server, received := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	stream, err := client.Open(t.Context(), address, KindQuery, "")
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if err := stream.Send("wait"); err != nil {
		t.Fatal(err)
	}
	<-received
	s.Silence()
	ended := make(chan error, 1)
	go func() {
		var text string
		ended <- stream.Receive(&text)
	}()
	_ = callWithTimeout(t, client, address, "hello")
	if receiveInTime(t, "the stream ends", ended) == nil {
		t.Error("a message arrived over a silent connection")
	}
}

// After one connection was found silent, the others are probed before they are needed.
func TestOtherConnectionsAreProbed(t *testing.T) {
	first, _ := newEchoServer(t)
	second, _ := newEchoServer(t)
	used, idle, s := serveEndpoint(t, first), serveEndpoint(t, second), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	for _, address := range []string{used, idle} {
		if err := callWithTimeout(t, client, address, "hello"); err != nil {
			t.Fatal(err)
		}
	}
	s.Silence()
	eventually(t, "a call is answered", func() bool { return callWithTimeout(t, client, used, "hello") == nil })
	eventually(t, "the idle connection is replaced", func() bool { return s.dialsTo(idle) == 2 })
}

// A slow peer keeps its connection and the streams on it.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	server, received := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	for range 3 {
		if callWithTimeout(t, client, address, "wait") == nil {
			t.Fatal("a slow peer answered")
		}
		<-received
	}
	if err := callWithTimeout(t, client, address, "hello"); err != nil {
		t.Fatal(err)
	}
	server.mu.Lock()
	accepted := len(server.accepted)
	server.mu.Unlock()
	if client.sessions[address].session.IsClosed() || accepted != 1 {
		t.Errorf("the connection was dropped; %d connections", accepted)
	}
}

// The accepting side closes a silent connection after a newer one of the same process
// arrives. It would otherwise hold one of the limited slots until the periodic ping fails.
func TestReplacedConnectionIsClosedOnBothSides(t *testing.T) {
	server, _ := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	if err := callWithTimeout(t, client, address, "hello"); err != nil {
		t.Fatal(err)
	}
	old := client.sessions[address].session
	s.Silence()
	eventually(t, "a call is answered", func() bool { return callWithTimeout(t, client, address, "hello") == nil })
	eventually(t, "one connection is left", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.accepted) == 1 && len(server.slots) == 1 && old.IsClosed()
	})
}

// A probe distinguishes an unreachable peer from a silent connection, and repeated probes do not
// dial the peer again before the backoff has passed.
func TestUnreachablePeerIsNotRedialedAtOnce(t *testing.T) {
	server, _ := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	if err := callWithTimeout(t, client, address, "hello"); err != nil {
		t.Fatal(err)
	}
	s.Silence()
	s.blockDials()
	for range 100 {
		if result := client.Probe(address, time.Now()).Await(t.Context()); result != ProbeUnreachable {
			t.Fatalf("probe result %s", result)
		}
	}
	// On a stalled machine the first backoff may have started again.
	if dials := s.dialsTo(address); dials > 4 {
		t.Errorf("%d dials", dials)
	}
	if d := client.sessions[address]; d.session.IsClosed() {
		t.Error("the connection was closed, though the peer may recover")
	}
}

// A peer that responds again while a second connection is dialed keeps the first one with
// its streams, and the second one is closed.
func TestPeerThatRespondsDuringRedialKeepsItsConnection(t *testing.T) {
	server, received := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	stream, err := client.Open(t.Context(), address, KindControlLog, "")
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if err := stream.Send("before"); err != nil {
		t.Fatal(err)
	}
	<-received
	s.Silence()
	old, dial := client.sessions[address].session, client.config.Dial
	client.config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		// The first connection works again before the second one is dialed.
		s.Restore()
		if _, err := old.Ping(); err != nil {
			t.Error(err)
		}
		return dial(ctx, address)
	}
	if result := client.Probe(address, time.Now()).Await(t.Context()); result != ProbeResponsive {
		t.Fatalf("probe result %s", result)
	}
	if client.sessions[address].session != old || stream.IsReplaced() {
		t.Error("the connection was replaced")
	}
	if err := stream.Send("after"); err != nil || <-received != "after" {
		t.Errorf("the stream no longer works: %v", err)
	}
	eventually(t, "the second connection is closed", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.accepted) == 1
	})
}

// The probe backoff doubles up to its maximum with each second connection dialed, and
// starts again from its minimum after a long time without one.
func TestProbeBackoffDoubles(t *testing.T) {
	var s probeState
	for want := minProbeBackoff; want < 4*maxProbeBackoff; want *= 2 {
		s.finish(ProbeUnreachable, true)
		if s.backoff != min(want, maxProbeBackoff) {
			t.Errorf("backoff of %s, not %s", s.backoff, min(want, maxProbeBackoff))
		}
	}
	s.finish(ProbeResponsive, false)
	if s.backoff != maxProbeBackoff {
		t.Error("a probe without a second dial changes the backoff")
	}
	s.backoffUntil = time.Now().Add(-2 * maxProbeBackoff)
	if s.finish(ProbeUnreachable, true); s.backoff != minProbeBackoff {
		t.Errorf("backoff of %s after a long time", s.backoff)
	}
}
