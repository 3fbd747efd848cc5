// ================================================================
// An endpoint: this process's end of all its links. It dials each address
// once and keeps the connection, accepts those of others, and hands each
// incoming stream to the handler of its kind.
// ================================================================

// Package link carries streams of msgpack messages between the system's
// processes, over one authenticated TCP connection per pair.
package link

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
	// streamWindow is what may be in transit on one stream, in bytes. The
	// smallest that yamux takes; more would only let chunks queue up.
	streamWindow = 256 << 10
	// DefaultMaxConnections bounds the incoming connections of a process.
	DefaultMaxConnections = 2048
)

// Handler serves one incoming stream. The endpoint closes the stream after it
// returns; an error is sent to the other side as a failure.
type Handler func(ctx context.Context, s *Stream) error

// Config says how an endpoint talks to others.
type Config struct {
	Own    vm.Identity
	Key    []byte
	TLS    *tls.Config
	Clock  *event.Clock
	Logger log.Logger
	// Dial opens a connection; a seam for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConnections bounds the incoming connections.
	MaxConnections int
}

// Endpoint is one process's end of its links.
type Endpoint struct {
	config   Config
	handlers map[Kind]Handler
	topics   map[string]Handler
	slots    chan struct{}

	mu       sync.Mutex
	sessions map[string]*dialed
	accepted map[*yamux.Session]bool
	closed   bool
}

// dialed is a session to one address; ready is closed once it is known
// whether the dial succeeded.
type dialed struct {
	ready   chan struct{}
	session *yamux.Session
	peer    vm.Identity
	err     error
}

// NewEndpoint returns an endpoint without handlers.
func NewEndpoint(c Config) *Endpoint {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	return &Endpoint{
		config:   c,
		handlers: map[Kind]Handler{},
		topics:   map[string]Handler{},
		slots:    make(chan struct{}, c.MaxConnections),
		sessions: map[string]*dialed{},
		accepted: map[*yamux.Session]bool{},
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// Handle sets the handler of a kind. Call it before Serve.
func (e *Endpoint) Handle(kind Kind, h Handler) { e.handlers[kind] = h }

// HandleTopic sets the handler of publish and subscribe streams of a topic.
// Call it before Serve.
func (e *Endpoint) HandleTopic(kind Kind, topic string, h Handler) {
	e.topics[topicKey(kind, topic)] = h
}

func topicKey(kind Kind, topic string) string { return string(rune(kind)) + topic }

// Own returns this process's identity.
func (e *Endpoint) Own() vm.Identity { return e.config.Own }

// ----------------------------------------------------------------
// Accepting

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
	if e.config.TLS != nil {
		conn = tls.Server(conn, e.config.TLS)
	}
	peer, err := handshake(conn, e.config.Own, e.config.Key, accepting)
	if err != nil {
		_ = level.Warn(e.config.Logger).Log("msg", "handshake failed", "from", conn.RemoteAddr().String(), "err", err)
		return
	}
	session, err := yamux.Server(conn, sessionConfig())
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

// ----------------------------------------------------------------
// Dialing

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
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, vm.Identity{}, err
	}
	return session, peer, nil
}

func (e *Endpoint) forget(address string, d *dialed) {
	_ = d.session.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[address] == d {
		delete(e.sessions, address)
	}
}

// Close closes every connection.
func (e *Endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, d := range e.sessions {
		if d.session != nil {
			_ = d.session.Close()
		}
	}
	for s := range e.accepted {
		_ = s.Close()
	}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindow
	return c
}
