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

	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"

	"github.com/tidepost/tidepost/pkg/failure"
)

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
	boundSilence(conn)
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
	if !e.keepAccepted(session) {
		return
	}
	defer e.dropAccepted(session)
	for {
		conn, err := session.AcceptStream()
		if err != nil {
			return
		}
		go e.serveStream(ctx, &Stream{conn: conn, clock: e.config.Clock, peer: peer})
	}
}

func (e *Endpoint) keepAccepted(s *yamux.Session) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		_ = s.Close()
		return false
	}
	e.accepted[s] = true
	return true
}

func (e *Endpoint) dropAccepted(s *yamux.Session) {
	_ = s.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.accepted, s)
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
