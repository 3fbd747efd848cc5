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
	// patience ends a test that waits for what does not come; it is no bound on how
	// long things may take.
	patience = 20 * time.Second
	// callTime is what a call of these tests may take.
	callTime = 200 * time.Millisecond
)

// silencer dials connections and can silence those that are open, both ways. It may
// be told to lose new ones too.
type silencer struct {
	silenced.Conns
	mu     sync.Mutex
	dials  map[string]int
	silent bool // what is dialed from now on does not come up
}

func newSilencer() *silencer { return &silencer{dials: map[string]int{}} }

func (s *silencer) dial(ctx context.Context, address string) (net.Conn, error) {
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

// loseDials has what is dialed from now on not come up.
func (s *silencer) loseDials() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *silencer) dialsTo(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials[address]
}

// unpinged returns a client of a silencer whose pings come too late to help.
func unpinged(t *testing.T, s *silencer) *Endpoint {
	t.Helper()
	client := testEndpoint("client", "", 0)
	client.config.KeepAlive, client.config.Unanswered = time.Hour, time.Hour
	client.config.Dial = s.dial
	t.Cleanup(client.Close)
	return client
}

// echoing returns a server that answers each call with what came, but for "wait", which
// it answers when the test ends, and sends what comes one-way to the channel.
func echoing(t *testing.T) (server *Endpoint, came chan string) {
	t.Helper()
	server, came = testEndpoint("server", "", 0), make(chan string, 1024)
	server.config.KeepAlive, server.config.Unanswered = time.Hour, time.Hour
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

func callIn(t *testing.T, client *Endpoint, address, text string) error {
	ctx, cancel := context.WithTimeout(t.Context(), callTime)
	defer cancel()
	var answer string
	return client.Call(ctx, address, KindQuery, text, &answer)
}

// eventually tries until do holds.
func eventually(t *testing.T, what string, do func() bool) {
	t.Helper()
	late := time.After(patience)
	for !do() {
		select {
		case <-late:
			t.Fatalf("not within %s: %s", patience, what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func within(t *testing.T, what string, done <-chan error) error {
	t.Helper()
	select {
	case err := <-done:
		return err
	case <-time.After(patience):
		t.Fatalf("not within %s: %s", patience, what)
		return nil
	}
}

// At rest: the next calls find out, and are answered over another connection.
func TestCallsGoOnOverAnotherConnection(t *testing.T) {
	server, _ := echoing(t)
	address, s := serveEndpoint(t, server), newSilencer()
	client := unpinged(t, s)
	for range 2 {
		if err := callIn(t, client, address, "hello"); err != nil {
			t.Fatal(err)
		}
		s.Silence()
		eventually(t, "a call is answered", func() bool { return callIn(t, client, address, "hello") == nil })
	}
}

// In the middle of a call that has long to wait: it is not kept waiting.
func TestCallOverASilentConnectionIsNotKeptWaiting(t *testing.T) {
	server, came := echoing(t)
	address, s := serveEndpoint(t, server), newSilencer()
	client := unpinged(t, s)
	ended := make(chan error, 1)
	go func() {
		var answer string
		ended <- client.Call(t.Context(), address, KindQuery, "wait", &answer)
	}()
	<-came
	s.Silence()
	if within(t, "the call ends", ended) == nil {
		t.Error("a call was answered over a silent connection")
	}
	if err := callIn(t, client, address, "hello"); err != nil {
		t.Errorf("the next call: %v", err)
	}
}

// One-way messages bring no answer that could be missed: they follow the calls to the
// new connection.
func TestMessagesGoOnOverAnotherConnection(t *testing.T) {
	server, came := echoing(t)
	address, s := serveEndpoint(t, server), newSilencer()
	client := unpinged(t, s)
	m := NewMessenger[string](client, KindControlLog)
	defer m.Close()
	m.Send("server", address, "before")
	<-came
	s.Silence()
	eventually(t, "a message arrives", func() bool {
		_ = callIn(t, client, address, "hello")
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
func TestLongStreamEndsWithItsSilentConnection(t *testing.T) {
	server, came := echoing(t)
	address, s := serveEndpoint(t, server), newSilencer()
	client := unpinged(t, s)
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
	_ = callIn(t, client, address, "hello")
	if within(t, "the stream ends", ended) == nil {
		t.Error("a message came over a silent connection")
	}
}

// Where one connection was silent the others are looked at before they are needed.
func TestOtherConnectionsAreLookedAtToo(t *testing.T) {
	first, _ := echoing(t)
	second, _ := echoing(t)
	used, idle, s := serveEndpoint(t, first), serveEndpoint(t, second), newSilencer()
	client := unpinged(t, s)
	for _, address := range []string{used, idle} {
		if err := callIn(t, client, address, "hello"); err != nil {
			t.Fatal(err)
		}
	}
	s.Silence()
	eventually(t, "a call is answered", func() bool { return callIn(t, client, used, "hello") == nil })
	eventually(t, "the idle connection is replaced", func() bool { return s.dialsTo(idle) == 2 })
}

// A peer that is only slow keeps its connection, and the streams on it.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	server, came := echoing(t)
	address, s := serveEndpoint(t, server), newSilencer()
	client := unpinged(t, s)
	for range 3 {
		if callIn(t, client, address, "wait") == nil {
			t.Fatal("a slow peer answered")
		}
		<-came
	}
	if err := callIn(t, client, address, "hello"); err != nil {
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
func TestReplacedConnectionIsGivenUpOnBothSides(t *testing.T) {
	server, _ := echoing(t)
	address, s := serveEndpoint(t, server), newSilencer()
	client := unpinged(t, s)
	if err := callIn(t, client, address, "hello"); err != nil {
		t.Fatal(err)
	}
	old := client.sessions[address].session
	s.Silence()
	eventually(t, "a call is answered", func() bool { return callIn(t, client, address, "hello") == nil })
	eventually(t, "one connection is left", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.accepted) == 1 && len(server.slots) == 1 && old.IsClosed()
	})
}

// A dead peer is told from a silent connection, and is not dialed again at once however
// often it is doubted.
func TestDeadPeerIsFoundSoAndLeftAlone(t *testing.T) {
	server, _ := echoing(t)
	address, s := serveEndpoint(t, server), newSilencer()
	client := unpinged(t, s)
	if err := callIn(t, client, address, "hello"); err != nil {
		t.Fatal(err)
	}
	s.Silence()
	s.loseDials()
	for range 100 {
		if found := client.Doubt(address, time.Now()).Await(t.Context()); found != Unreached {
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
func TestPeerThatSpeaksMeanwhileKeepsItsConnection(t *testing.T) {
	server, came := echoing(t)
	address, s := serveEndpoint(t, server), newSilencer()
	client := unpinged(t, s)
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
	if found := client.Doubt(address, time.Now()).Await(t.Context()); found != Speaks {
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
func TestRestsDouble(t *testing.T) {
	var s doubts
	for want := firstRest; want < 4*longestRest; want *= 2 {
		s.end(Unreached, true)
		if s.rest != min(want, longestRest) {
			t.Errorf("rests for %s, not %s", s.rest, min(want, longestRest))
		}
	}
	s.end(Speaks, false)
	if s.rest != longestRest {
		t.Error("an answer to a ping changes the rest")
	}
	s.restUntil = time.Now().Add(-2 * longestRest)
	if s.end(Unreached, true); s.rest != firstRest {
		t.Errorf("rests for %s after a long time", s.rest)
	}
}
