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
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/hashicorp/yamux"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	dialTimeout = 1500 * time.Millisecond
	// pingInterval lies between two pings of a connection, and writeTimeout is
	// how long one may stay unanswered: a connection that went silent without a reset
	// and that nobody uses is dropped after 4 s at the most. One in use is found out by
	// its callers, see Doubt. A ping costs some ten microseconds.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
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
	// PingInterval is how often a connection is pinged, and how long a ping may stay
	// unanswered; a seam for tests, zero is keepAliveInterval and writeTimeout.
	PingInterval, PingTimeout time.Duration
	// OnProbe is told what came of each look at a connection in doubt; may be nil.
	OnProbe func(ProbeResult)
}

// Endpoint is one process's end of its links.
type Endpoint struct {
	config   Config
	handlers map[Kind]Handler
	topics   map[string]Handler
	slots    chan struct{}

	mu       sync.Mutex
	sessions map[string]*dialedConn
	replaced map[*dialedConn]bool // replaced, and not closed yet
	accepted map[*connection]bool
	closed   bool
}

// dialedConn is the connection to one address; ready is closed once it is known
// whether the dial succeeded.
type dialedConn struct {
	connection
	address       string
	ready         chan struct{}
	err           error
	established   time.Time
	isReplacement bool // it took the place of a silent one
	probes        probeState
	// inUse ends when another connection takes the place of this one.
	inUse        context.Context
	markReplaced func()
}

func newPendingConn(address string) *dialedConn {
	d := &dialedConn{address: address, ready: make(chan struct{})}
	d.inUse, d.markReplaced = context.WithCancel(context.Background())
	return d
}

func newReadyConn(address string, c connection) *dialedConn {
	d := newPendingConn(address)
	d.connection = c
	close(d.ready)
	return d
}

// NewEndpoint returns an endpoint without handlers.
func NewEndpoint(c Config) *Endpoint {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = DefaultMaxConnections
	}
	if c.PingInterval == 0 {
		c.PingInterval, c.PingTimeout = pingInterval, pingTimeout
	}
	return &Endpoint{
		config:   c,
		handlers: map[Kind]Handler{},
		topics:   map[string]Handler{},
		slots:    make(chan struct{}, c.MaxConnections),
		sessions: map[string]*dialedConn{},
		replaced: map[*dialedConn]bool{},
		accepted: map[*connection]bool{},
	}
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
	for d := range e.replaced {
		_ = d.session.Close()
	}
	for c := range e.accepted {
		_ = c.session.Close()
	}
}

func (e *Endpoint) sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = e.config.PingInterval
	c.ConnectionWriteTimeout = e.config.PingTimeout
	c.MaxStreamWindowSize = streamWindow
	return c
}
