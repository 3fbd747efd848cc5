// ================================================================
// The dialing side of an endpoint. All streams to an address share one connection, and
// callers that arrive while it is being dialed wait for the same dial.
// ================================================================

package link

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/tidepost/tidepost/pkg/failure"
)

// Open opens a stream of a kind to an address, dialing it if there is no connection. The
// topic is empty except for publish and subscribe streams. The stream is closed when the
// context ends.
func (e *Endpoint) Open(ctx context.Context, address string, kind Kind, topic string) (*Stream, error) {
	d, err := e.session(ctx, address)
	if err != nil {
		return nil, err
	}
	opened, err := d.session.OpenStream()
	if err != nil {
		e.dropConn(d)
		return nil, unreachable(address, err)
	}
	s := &Stream{conn: d.streams.add(opened), clock: e.config.Clock, peer: d.peer, dialed: d}
	if deadline, ok := ctx.Deadline(); ok {
		s.SetDeadline(deadline)
	}
	s.closeOnDone(ctx)
	if err := s.Send(newOpening(kind, topic)); err != nil {
		s.Close()
		return nil, unreachable(address, err)
	}
	return s, nil
}

// Call opens a stream, sends a request and reads one response. It fails before its
// deadline if its connection is found silent and replaced; the caller may then retry.
func (e *Endpoint) Call(ctx context.Context, address string, kind Kind, request, response any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := e.Open(ctx, address, kind, "")
	if err != nil {
		return err
	}
	defer s.Close()
	defer e.probeDuringCall(ctx, address).Stop()
	defer s.OnReplaced(func() { s.SetDeadline(time.Unix(1, 0)) })()
	if err := s.Send(request); err != nil {
		return failure.Of(unreachable(address, err)).WithRan(failure.RanUnknown)
	}
	err = s.Receive(response)
	if err != nil && s.IsReplaced() && failure.Of(err).Kind() == failure.Internal {
		return failure.New(failure.Unreachable, "%s: the connection was silent and has been replaced", address).WithRan(failure.RanUnknown)
	}
	return callError(address, err)
}

// callError converts the error of a read: it keeps a failure that the peer sent, and turns
// any other error into Unreachable with an unknown outcome.
func callError(address string, err error) error {
	if err == nil {
		return nil
	}
	f := failure.Of(err)
	if f.Kind() != failure.Internal {
		return f
	}
	return failure.New(failure.Unreachable, "the stream to %s was interrupted: %v", address, err).WithRan(failure.RanUnknown)
}

func unreachable(address string, err error) error {
	if f := failure.Of(err); f.Kind() != failure.Internal {
		return f
	}
	return failure.New(failure.Unreachable, "%s: %v", address, err)
}

// session returns the connection to an address with its yamux session, and dials it if
// there is none. Callers that arrive during the dial wait for its result.
func (e *Endpoint) session(ctx context.Context, address string) (*dialedConn, error) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil, failure.New(failure.Draining, "this process is stopping")
	}
	d := e.sessions[address]
	if d != nil && d.session != nil && d.session.IsClosed() {
		d = nil
	}
	if d == nil {
		d = newPendingConn(address)
		e.sessions[address] = d
		go e.dial(d)
	}
	e.mu.Unlock()
	select {
	case <-d.ready:
		return d, d.err
	case <-ctx.Done():
		return nil, unreachable(address, ctx.Err())
	}
}

func (e *Endpoint) dial(d *dialedConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout+handshakeTimeout)
	defer cancel()
	c, err := e.connect(ctx, d.address)
	e.mu.Lock()
	d.connection, d.established = c, time.Now()
	if err != nil {
		d.err = unreachable(d.address, err)
		delete(e.sessions, d.address)
	} else if e.closed {
		_ = c.session.Close()
	}
	e.mu.Unlock()
	close(d.ready)
}

// connect dials an address and authenticates both sides to each other.
func (e *Endpoint) connect(ctx context.Context, address string) (connection, error) {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := e.config.Dial(dial, address)
	if err != nil {
		return connection{}, err
	}
	received := newReceiveTime()
	conn = timedConn{conn, received}
	if e.config.TLS != nil {
		conn = tls.Client(conn, e.config.TLS)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	peer, err := handshake(conn, e.config.Self, e.config.Key, dialing)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return connection{}, err
	}
	streams := &openStreams{}
	session, err := yamux.Client(interruptingConn{conn, streams}, e.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return connection{}, err
	}
	return connection{session, peer, received, streams}, nil
}

// Drop closes the connection of a stream that the caller found silent. The next call dials
// again unless a replacement connection exists already.
func (e *Endpoint) Drop(s *Stream) {
	if s.dialed != nil {
		e.dropConn(s.dialed)
	}
}

func (e *Endpoint) dropConn(d *dialedConn) {
	_ = d.session.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[d.address] == d {
		delete(e.sessions, d.address)
	}
}
