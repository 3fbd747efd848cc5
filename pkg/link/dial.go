// ================================================================
// The dialing side of an endpoint: one connection an address, shared by all
// streams to it, dialed once however many callers wait.
// ================================================================

package link

import (
	"context"
	"crypto/tls"

	"github.com/hashicorp/yamux"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Open opens a stream of a kind to an address. The stream is closed when the
// context ends.
func (e *Endpoint) Open(ctx context.Context, address string, kind Kind, topic string) (*Stream, error) {
	d, err := e.session(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := d.session.OpenStream()
	if err != nil {
		e.forget(address, d)
		return nil, unreachable(address, err)
	}
	s := &Stream{conn: conn, clock: e.config.Clock, peer: d.peer}
	if deadline, ok := ctx.Deadline(); ok {
		s.SetDeadline(deadline)
	}
	s.closeOn(ctx)
	if err := s.Send(newOpening(kind, topic)); err != nil {
		s.Close()
		return nil, unreachable(address, err)
	}
	return s, nil
}

// Call opens a stream, sends a request and reads the one answer.
func (e *Endpoint) Call(ctx context.Context, address string, kind Kind, request, answer any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := e.Open(ctx, address, kind, "")
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(request); err != nil {
		return failure.Of(unreachable(address, err)).WithRan(failure.RanUnknown)
	}
	return brokenOff(address, s.Receive(answer))
}

// brokenOff types the error of a read: a failure stays what it is, anything
// else says that the outcome is unknown.
func brokenOff(address string, err error) error {
	if err == nil {
		return nil
	}
	f := failure.Of(err)
	if f.Kind() != failure.Internal {
		return f
	}
	return failure.New(failure.Unreachable, "%s broke off: %v", address, err).WithRan(failure.RanUnknown)
}

func unreachable(address string, err error) error {
	if f := failure.Of(err); f.Kind() != failure.Internal {
		return f
	}
	return failure.New(failure.Unreachable, "%s: %v", address, err)
}

// session returns the session to an address, dialing it when there is none.
// Callers that come while it is being dialed wait for the same dial.
func (e *Endpoint) session(ctx context.Context, address string) (*dialed, error) {
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
		d = &dialed{ready: make(chan struct{})}
		e.sessions[address] = d
		go e.dial(address, d)
	}
	e.mu.Unlock()
	select {
	case <-d.ready:
		return d, d.err
	case <-ctx.Done():
		return nil, unreachable(address, ctx.Err())
	}
}

func (e *Endpoint) dial(address string, d *dialed) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	session, peer, err := e.connect(ctx, address)
	e.mu.Lock()
	d.session, d.peer = session, peer
	if err != nil {
		d.err = unreachable(address, err)
		delete(e.sessions, address)
	} else if e.closed {
		_ = session.Close()
	}
	e.mu.Unlock()
	close(d.ready)
}

func (e *Endpoint) connect(ctx context.Context, address string) (*yamux.Session, vm.Identity, error) {
	conn, err := e.config.Dial(ctx, address)
	if err != nil {
		return nil, vm.Identity{}, err
	}
	if e.config.TLS != nil {
		conn = tls.Client(conn, e.config.TLS)
	}
	peer, err := handshake(conn, e.config.Own, e.config.Key, dialing)
	if err != nil {
		_ = conn.Close()
		return nil, vm.Identity{}, err
	}
	session, err := yamux.Client(conn, e.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, vm.Identity{}, err
	}
	return session, peer, nil
}

// Drop closes the connection to an address, if there is one; the next call
// dials anew. It is for callers that find a peer silent.
func (e *Endpoint) Drop(address string) {
	e.mu.Lock()
	d := e.sessions[address]
	delete(e.sessions, address)
	e.mu.Unlock()
	if d != nil && d.session != nil {
		_ = d.session.Close()
	}
}

func (e *Endpoint) forget(address string, d *dialed) {
	_ = d.session.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[address] == d {
		delete(e.sessions, address)
	}
}
