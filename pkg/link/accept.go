// ================================================================
// The accepting side of an endpoint: connections up to a bound, a handshake
// each, and a handler for each stream.
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

// supersededTimeout is how long a connection may stay silent after a newer one came
// from the same process. Its answer to a ping waits behind what is under way on a stream,
// which takes 2.3 s on a link of 0.9 Mbit/s.
const supersededTimeout = 3 * time.Second

// Serve accepts connections until the listener is closed.
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
	heard := newReceiveTime()
	conn = timedConn{conn, heard}
	if e.config.TLS != nil {
		conn = tls.Server(conn, e.config.TLS)
	}
	peer, err := handshake(conn, e.config.Own, e.config.Key, accepting)
	if err != nil {
		_ = level.Warn(e.config.Logger).Log("msg", "handshake failed", "from", conn.RemoteAddr().String(), "err", err)
		return
	}
	session, err := yamux.Server(conn, e.sessionConfig())
	if err != nil {
		return
	}
	c := &connection{session, peer, heard}
	if !e.addAccepted(c) {
		return
	}
	defer e.removeAccepted(c)
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		go e.serveStream(ctx, &Stream{conn: conn, clock: e.config.Clock, peer: peer})
	}
}

// addAccepted keeps a connection, and looks at older ones of the same process: it may
// have come to replace one of them. Its slot and whoever waits on its streams are
// needed before the ping of the connection finds out.
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

// closeIfSilent closes a connection that brings nothing for a while though it is asked.
func closeIfSilent(c *connection) {
	if !c.respondsWithin(supersededTimeout) {
		_ = c.session.Close()
	}
}

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
		_ = s.Fail(failure.New(failure.BadRequest, "stream kind %d %q is not served here", o.kind, o.topic))
		return
	}
	if err := h(ctx, s); err != nil {
		_ = s.Fail(failure.Of(err))
	}
}

// recoverStream keeps a defect in one handler from ending the process with
// everything else that is in flight. Whether anything ran is then not known.
func (e *Endpoint) recoverStream(s *Stream) {
	if r := recover(); r != nil {
		_ = level.Error(e.config.Logger).Log("msg", "handler panicked", "panic", r, "stack", string(debug.Stack()))
		_ = s.Fail(failure.New(failure.Internal, "a handler panicked: %v", r).WithRan(failure.RanUnknown))
	}
}
