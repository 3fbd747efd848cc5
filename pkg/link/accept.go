// ================================================================
// The accepting side of an endpoint. It limits the number of connections,
// authenticates each one and runs a handler for each incoming stream.
// ================================================================

package link

import (
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"
	"time"

	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"

	"github.com/tidepost/tidepost/pkg/failure"
)

// supersededTimeout is how long a connection may stay silent after the same process has
// opened a newer one. A reply to a ping queues behind the stream data in transit, which
// takes 2.3 s on a link of 0.9 Mbit/s.
const supersededTimeout = 3 * time.Second

// Serve accepts connections until the listener is closed. It returns nil if the context
// has ended by then, and the listener's error otherwise.
func (e *Endpoint) Serve(ctx context.Context, l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		select {
		case e.slots <- struct{}{}:
			go e.serveConnection(ctx, conn)
		default:
			_ = level.Warn(e.config.Logger).Log("msg", "connection refused: too many", "bound", e.config.MaxConnections)
			_ = conn.Close()
		}
	}
}

func (e *Endpoint) serveConnection(ctx context.Context, conn net.Conn) {
	defer func() { <-e.slots }()
	defer conn.Close()
	applyTCPKeepAlive(conn)
	received := newReceiveTime()
	conn = timedConn{conn, received}
	if e.config.TLS != nil {
		conn = tls.Server(conn, e.config.TLS)
	}
	peer, err := handshake(conn, e.config.Self, e.config.Key, accepting)
	if err != nil {
		_ = level.Warn(e.config.Logger).Log("msg", "handshake failed", "from", conn.RemoteAddr().String(), "err", err)
		return
	}
	streams := &openStreams{}
	session, err := yamux.Server(interruptingConn{conn, streams}, e.sessionConfig())
	if err != nil {
		return
	}
	c := &connection{session, peer, received, streams}
	if !e.addAccepted(c) {
		return
	}
	defer e.removeAccepted(c)
	for {
		s, err := session.AcceptStream()
		if err != nil {
			return
		}
		go e.serveStream(ctx, &Stream{conn: streams.add(s), clock: e.config.Clock, peer: peer})
	}
}

// addAccepted registers a connection and pings the older ones of the same process, since
// the new one may be their replacement. The periodic ping would find a silent connection
// later, and until then it would hold its slot and keep readers of its streams waiting.
// If the endpoint is closed, addAccepted closes the connection and returns false.
func (e *Endpoint) addAccepted(c *connection) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		_ = c.session.Close()
		return false
	}
	for older := range e.accepted {
		if older.peer == c.peer {
			go closeIfSilent(older)
		}
	}
	e.accepted[c] = true
	return true
}

// closeIfSilent pings a connection and closes it if nothing arrives within
// supersededTimeout.
func closeIfSilent(c *connection) {
	if !c.respondsWithin(supersededTimeout) {
		_ = c.session.Close()
	}
}

// removeAccepted closes a connection and removes it from the accepted ones.
func (e *Endpoint) removeAccepted(c *connection) {
	_ = c.session.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.accepted, c)
}

func (e *Endpoint) serveStream(ctx context.Context, s *Stream) {
	defer s.Close()
	defer e.recoverStream(s)
	var o opening
	if err := s.Receive(&o); err != nil {
		_ = s.Fail(failure.Of(err))
		return
	}
	h := e.handlers[o.kind]
	if o.topic != "" {
		h = e.topics[topicKey(o.kind, o.topic)]
	}
	if h == nil {
		_ = s.Fail(failure.New(failure.BadRequest, "no handler for stream kind %d with topic %q", o.kind, o.topic))
		return
	}
	if err := h(ctx, s); err != nil {
		_ = s.Fail(failure.Of(err))
	}
}

// recoverStream responds to a panic of a handler with a failure, so that the process and all
// other work in flight continue. Whether the request ran is then unknown.
func (e *Endpoint) recoverStream(s *Stream) {
	if r := recover(); r != nil {
		_ = level.Error(e.config.Logger).Log("msg", "handler panicked", "panic", r, "stack", string(debug.Stack()))
		_ = s.Fail(failure.New(failure.Internal, "a handler panicked: %v", r).WithRan(failure.RanUnknown))
	}
}
