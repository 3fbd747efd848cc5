// ================================================================
// An endpoint manages all links of a process. It keeps one connection to each
// address that it dials, accepts connections from other processes, and passes
// each incoming stream to the handler of its kind.
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
	// pingInterval is the time between two pings of a connection, and pingTimeout is how
	// long the reply to one may take: an idle connection that goes silent without a reset
	// is closed after 4 s at the latest. Callers detect a silent connection in use earlier,
	// see Endpoint.Probe. A ping costs some ten microseconds.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
	// streamWindow is how many bytes may be in transit on one stream. It is the smallest
	// window that yamux allows; a larger one would only let chunks queue up.
	streamWindow = 256 << 10
	// DefaultMaxConnections is the default limit of incoming connections of a process.
	DefaultMaxConnections = 2048
)

// Handler serves one incoming stream. The endpoint closes the stream after the handler
// returns, and sends an error that it returns to the peer as a failure.
type Handler func(ctx context.Context, s *Stream) error

// Config is the configuration of an endpoint.
type Config struct {
	// Self is the identity of this process.
	Self vm.Identity
	// Key is the shared key that connections are authenticated with; may be empty with TLS.
	Key []byte
	// TLS is the mutual TLS of connections; nil for plain TCP.
	TLS    *tls.Config
	Clock  *event.Clock
	Logger log.Logger
	// Dial opens a connection; nil for TCP. Tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConnections limits the incoming connections; 0 is DefaultMaxConnections.
	MaxConnections int
	// PingInterval is the time between two pings of a connection, and PingTimeout is how
	// long the reply may take. If PingInterval is 0, pingInterval and pingTimeout apply.
	// Tests set them.
	PingInterval, PingTimeout time.Duration
	// OnProbe is called with the result of each probe of a connection; may be nil.
	OnProbe func(ProbeResult)
}

// Endpoint manages the links of one process. It is safe for concurrent use once its
// handlers are set.
type Endpoint struct {
	config   Config
	handlers map[Kind]Handler
	topics   map[string]Handler
	slots    chan struct{}

	mu       sync.Mutex
	sessions map[string]*dialedConn // by address
	replaced map[*dialedConn]bool   // replaced connections that are not closed yet
	accepted map[*connection]bool
	closed   bool
}

// dialedConn is the connection to one address; ready is closed when the dial has
// succeeded or failed.
type dialedConn struct {
	connection
	address       string
	ready         chan struct{}
	err           error
	established   time.Time
	isReplacement bool // it replaced a silent connection
	probes        probeState
	// inUse ends when another connection replaces this one.
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

// Handle sets the handler of a kind. It must be called before Serve.
func (e *Endpoint) Handle(kind Kind, h Handler) { e.handlers[kind] = h }

// HandleTopic sets the handler of publish and subscribe streams of a topic.
// It must be called before Serve.
func (e *Endpoint) HandleTopic(kind Kind, topic string, h Handler) {
	e.topics[topicKey(kind, topic)] = h
}

func topicKey(kind Kind, topic string) string { return string(rune(kind)) + topic }

// Self returns the identity of this process.
func (e *Endpoint) Self() vm.Identity { return e.config.Self }

// Close closes all connections. Later calls to Open fail.
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
