// What was seen: all connections that were open went silent at one moment, without a
// reset, while new ones worked, and for seconds most callers were refused.
// How it came about: every exchange with another process goes over the one connection
// that was dialed to it. A call that was not answered in time ended, and the next one
// went over the same connection.
// What caused it: only the ping of the connection, each 2 s and unanswered for 2 s, told
// that it was silent; nobody told the endpoint what callers knew after tens of ms.
// What proved it: with a ping each hour the tests here never reach the peer again, and
// with a doubt of each call that is not answered they do.

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
	// testTimeout ends a test that waits for what does not come; it is no bound on how
	// long things may take.
	testTimeout = 20 * time.Second
	// callTimeout is what a call of these tests may take.
	callTimeout = 200 * time.Millisecond
)

// silencingDialer dials connections and can silence those that are open, both ways. It may
// be told to lose new ones too.
type silencingDialer struct {
	silenced.Conns
	mu     sync.Mutex
	dials  map[string]int
	silent bool // what is dialed from now on does not come up
}

func newSilencingDialer() *silencingDialer { return &silencingDialer{dials: map[string]int{}} }

func (s *silencingDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	s.mu.Lock()
	s.dials[address]++
	lost := s.silent
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.Wrap(conn), nil
}

// blockDials has what is dialed from now on not come up.
func (s *silencingDialer) blockDials() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *silencingDialer) dialsTo(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials[address]
}

// newClientWithoutPings returns a client of a silencer whose pings come too late to help.
func newClientWithoutPings(t *testing.T, s *silencingDialer) *Endpoint {
	t.Helper()
	client := testEndpoint("client", "", 0)
	client.config.PingInterval, client.config.PingTimeout = time.Hour, time.Hour
	client.config.Dial = s.dial
	t.Cleanup(client.Close)
	return client
}

// newEchoServer returns a server that answers each call with what came, but for "wait", which
// it answers when the test ends, and sends what comes one-way to the channel.
func newEchoServer(t *testing.T) (server *Endpoint, came chan string) {
	t.Helper()
	server, came = testEndpoint("server", "", 0), make(chan string, 1024)
	server.config.PingInterval, server.config.PingTimeout = time.Hour, time.Hour
	server.Handle(KindQuery, func(ctx context.Context, s *Stream) error {
		var text string
		if err := s.Receive(&text); err != nil {
			return err
		}
		if text == "wait" {
			came <- text
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
			came <- text
		}
	})
	return server, came
}

func callWithTimeout(t *testing.T, client *Endpoint, address, text string) error {
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	var answer string
	return client.Call(ctx, address, KindQuery, text, &answer)
}

// eventually tries until do holds.
func eventually(t *testing.T, what string, do func() bool) {
	t.Helper()
	late := time.After(testTimeout)
	for !do() {
		select {
		case <-late:
			t.Fatalf("not within %s: %s", testTimeout, what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

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

// At rest: the next calls find out, and are answered over another connection.
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

// In the middle of a call that has long to wait: it is not kept waiting.
func TestCallOverSilentConnectionEndsEarly(t *testing.T) {
	server, came := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	ended := make(chan error, 1)
	go func() {
		var answer string
		ended <- client.Call(t.Context(), address, KindQuery, "wait", &answer)
	}()
	<-came
	s.Silence()
	if receiveInTime(t, "the call ends", ended) == nil {
		t.Error("a call was answered over a silent connection")
	}
	if err := callWithTimeout(t, client, address, "hello"); err != nil {
		t.Errorf("the next call: %v", err)
	}
}

// One-way messages bring no answer that could be missed: they follow the calls to the
// new connection.
func TestMessagesContinueOverReplacementConnection(t *testing.T) {
	server, came := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	m := NewMessenger[string](client, KindControlLog)
	defer m.Close()
	m.Send("server", address, "before")
	<-came
	s.Silence()
	eventually(t, "a message arrives", func() bool {
		_ = callWithTimeout(t, client, address, "hello")
		m.Send("server", address, "after")
		select {
		case text := <-came:
			return text == "after"
		default:
			return false
		}
	})
}

// A stream that only reads learns that its connection was given up.
func TestReceivingStreamEndsWhenItsConnectionIsReplaced(t *testing.T) {
	server, came := newEchoServer(t)
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
	<-came
	s.Silence()
	ended := make(chan error, 1)
	go func() {
		var text string
		ended <- stream.Receive(&text)
	}()
	_ = callWithTimeout(t, client, address, "hello")
	if receiveInTime(t, "the stream ends", ended) == nil {
		t.Error("a message came over a silent connection")
	}
}

// Where one connection was silent the others are looked at before they are needed.
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

// A peer that is only slow keeps its connection, and the streams on it.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	server, came := newEchoServer(t)
	address, s := serveEndpoint(t, server), newSilencingDialer()
	client := newClientWithoutPings(t, s)
	for range 3 {
		if callWithTimeout(t, client, address, "wait") == nil {
			t.Fatal("a slow peer answered")
		}
		<-came
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

// The accepting side gives up what a newer connection of the same process replaced: it
// would hold a place of the bounded number until its own ping finds out.
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

// A dead peer is told from a silent connection, and is not dialed again at once however
// often it is doubted.
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
		if found := client.Probe(address, time.Now()).Await(t.Context()); found != ProbeUnreachable {
			t.Fatalf("found %s", found)
		}
	}
	// The look may have begun its first rest anew on a machine that stood still.
	if dials := s.dialsTo(address); dials > 4 {
		t.Errorf("%d dials", dials)
	}
	if d := client.sessions[address]; d.session.IsClosed() {
		t.Error("the connection was closed, though the peer may wake")
	}
}

// A peer that wakes while a second connection is dialed keeps the first one: its streams
// go on, and the second one is given up.
func TestPeerThatRespondsDuringRedialKeepsItsConnection(t *testing.T) {
	server, came := newEchoServer(t)
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
	<-came
	s.Silence()
	old, dial := client.sessions[address].session, client.config.Dial
	client.config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		// The silence was a short one.
		s.Speak()
		if _, err := old.Ping(); err != nil {
			t.Error(err)
		}
		return dial(ctx, address)
	}
	if found := client.Probe(address, time.Now()).Await(t.Context()); found != ProbeResponsive {
		t.Fatalf("found %s", found)
	}
	if client.sessions[address].session != old || stream.IsReplaced() {
		t.Error("the connection was replaced")
	}
	if err := stream.Send("after"); err != nil || <-came != "after" {
		t.Errorf("the stream does not go on: %v", err)
	}
	eventually(t, "the second connection is closed", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.accepted) == 1
	})
}

// The rests of a peer that was dialed in vain double up to a bound, and begin anew after
// a while without.
func TestProbeBackoffDoubles(t *testing.T) {
	var s probeState
	for want := minProbeBackoff; want < 4*maxProbeBackoff; want *= 2 {
		s.finish(ProbeUnreachable, true)
		if s.backoff != min(want, maxProbeBackoff) {
			t.Errorf("rests for %s, not %s", s.backoff, min(want, maxProbeBackoff))
		}
	}
	s.finish(ProbeResponsive, false)
	if s.backoff != maxProbeBackoff {
		t.Error("an answer to a ping changes the rest")
	}
	s.backoffUntil = time.Now().Add(-2 * maxProbeBackoff)
	if s.finish(ProbeUnreachable, true); s.backoff != minProbeBackoff {
		t.Errorf("rests for %s after a long time", s.backoff)
	}
}
