package link

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

func testEndpoint(name, key string, connections int) *Endpoint {
	return NewEndpoint(Config{
		Self: vm.NewIdentity(vm.ID(name), 1, "r", "d", ""), Key: []byte(key),
		Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(), MaxConnections: connections,
	})
}

func serveEndpoint(t *testing.T, e *Endpoint) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		e.Close()
	})
	go func() { _ = e.Serve(ctx, l) }()
	return l.Addr().String()
}

// A call with another key is refused as unauthorised, and a call of a kind without a
// handler as a bad request.
func TestCallsNeedTheSharedKey(t *testing.T) {
	server := testEndpoint("server", "a key of sixteen bytes", 0)
	server.Handle(KindQuery, func(_ context.Context, s *Stream) error {
		var text string
		if err := s.Receive(&text); err != nil {
			return err
		}
		return s.Send(strings.ToUpper(text) + " from " + string(s.Peer().ID()))
	})
	address := serveEndpoint(t, server)
	cases := []struct {
		key  string
		kind Kind
		want failure.Kind
	}{
		{"a key of sixteen bytes", KindQuery, ""},
		{"another key of sixteen bytes", KindQuery, failure.Unauthorised},
		{"a key of sixteen bytes", KindDrain, failure.BadRequest},
	}
	for _, c := range cases {
		client := testEndpoint("client", c.key, 0)
		var response string
		err := client.Call(context.Background(), address, c.kind, "hello", &response)
		client.Close()
		switch {
		case c.want == "" && (err != nil || response != "HELLO from client"):
			t.Errorf("key %q: %q, %v", c.key, response, err)
		case c.want == failure.Unauthorised && err == nil:
			t.Errorf("key %q was accepted", c.key)
		case c.want == failure.BadRequest && !failure.Is(err, c.want):
			t.Errorf("kind %d: %v", c.kind, err)
		}
	}
}

// A response without its end frame must not be taken for a complete one.
func TestTruncatedStreamIsNotACompleteResponse(t *testing.T) {
	server := testEndpoint("server", "", 0)
	server.Handle(KindChunk, func(_ context.Context, s *Stream) error {
		if err := s.Send("part"); err != nil {
			return err
		}
		s.Close()
		return nil
	})
	address := serveEndpoint(t, server)
	client := testEndpoint("client", "", 0)
	defer client.Close()
	s, err := client.Open(context.Background(), address, KindChunk, "")
	if err != nil {
		t.Fatal(err)
	}
	var part string
	if err := s.Receive(&part); err != nil || part != "part" {
		t.Fatalf("%q, %v", part, err)
	}
	if err := s.Receive(&part); failure.Of(err).Ran() == failure.NotRun {
		t.Fatalf("a truncated stream ended with %v", err)
	}
}

// A panic in a handler is answered with a failure of unknown outcome, and the endpoint
// continues to serve other streams.
func TestPanicEndsOneStreamOnly(t *testing.T) {
	server := testEndpoint("server", "", 0)
	server.Handle(KindQuery, func(context.Context, *Stream) error { panic("handler defect") })
	server.Handle(KindStatus, func(_ context.Context, s *Stream) error { return s.Send("alive") })
	address := serveEndpoint(t, server)
	client := testEndpoint("client", "", 0)
	defer client.Close()
	var response string
	err := client.Call(context.Background(), address, KindQuery, "x", &response)
	if failure.Of(err).Ran() != failure.RanUnknown {
		t.Errorf("a panic was answered with %v", err)
	}
	if err := client.Call(context.Background(), address, KindStatus, "x", &response); err != nil || response != "alive" {
		t.Errorf("after a panic: %q, %v", response, err)
	}
}
