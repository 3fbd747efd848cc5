// ================================================================
// Callers' connections and their listener: tracks which connections are in use and which are idle,
// and ends them in a planned stop without closing one that has a request in flight.
// ================================================================

package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxIdleAtStop is how long a connection may be idle during a stop. A caller that reuses
	// its connection does so within some 100 ms of the previous response.
	maxIdleAtStop = time.Second
	// stopPollInterval is the interval between checks of the connections still open.
	stopPollInterval = 20 * time.Millisecond
	// acceptIdleTimeout is how long the listener waits without a new connection before it
	// closes during a stop, and acceptLimit bounds that phase as a whole.
	acceptIdleTimeout = 20 * time.Millisecond
	acceptLimit       = 300 * time.Millisecond
)

// connections tracks callers' connections. The zero value has none. It is safe for concurrent
// use.
type connections struct {
	mu   sync.Mutex
	open int
	// idle holds the connections without a request, and since when.
	idle map[net.Conn]time.Time
	// expired holds the connections that were idle for too long, until they close or a request
	// arrives.
	expired map[net.Conn]bool
}

// trackState records a change of a connection's state; it is the server's ConnState.
func (c *connections) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle, c.expired = map[net.Conn]time.Time{}, map[net.Conn]bool{}
	}
	delete(c.idle, conn)
	switch s {
	case http.StateNew:
		c.open++
		c.idle[conn] = time.Now()
	case http.StateIdle:
		c.idle[conn] = time.Now()
	case http.StateActive:
		if c.expired[conn] {
			// A request arrived just as the idle limit passed. net/http reads in the background
			// while the handler runs, and would take the read deadline for a caller that
			// disconnected.
			_ = conn.SetReadDeadline(time.Time{})
		}
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	delete(c.expired, conn)
}

// drain ends connections that are idle for too long until none is left or the context ends. It
// returns how many are still in use.
func (c *connections) drain(ctx context.Context) (inUse int) {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for c.expireIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return c.inUse()
		case <-ticker.C:
		}
	}
	return 0
}

// expireIdle ends the connections that are idle for too long, and returns how many are open. It
// sets their read deadline instead of closing them, so that each ends in its own goroutine and
// one on which a request has just arrived continues.
func (c *connections) expireIdle(now time.Time) (open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idleSince := range c.idle {
		if now.Sub(idleSince) < maxIdleAtStop {
			continue
		}
		if err := conn.SetReadDeadline(now); err != nil {
			_ = conn.Close() // without a deadline it can only be closed
		}
		delete(c.idle, conn)
		c.expired[conn] = true
	}
	return c.open
}

// inUse returns how many connections have a request in flight.
func (c *connections) inUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open - len(c.idle)
}

// ----------------------------------------------------------------
// Listener

// callersListener accepts callers until stop is called, and then those that the kernel has already
// accepted, since closing the listener would reset them.
type callersListener struct {
	net.Listener
	stopping atomic.Bool
}

// deadlineListener is a listener with a deadline for Accept.
type deadlineListener interface{ SetDeadline(time.Time) error }

// Accept returns the next connection; net.ErrClosed once the listener has stopped.
func (l *callersListener) Accept() (net.Conn, error) {
	if l.stopping.Load() {
		l.setAcceptDeadline()
	}
	conn, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	return conn, err
}

// stop makes Accept fail once no more connections arrive.
func (l *callersListener) stop() {
	l.stopping.Store(true)
	l.setAcceptDeadline()
	time.AfterFunc(acceptLimit, func() { _ = l.Close() })
}

// setAcceptDeadline bounds Accept. It closes a listener that does not support deadlines.
func (l *callersListener) setAcceptDeadline() {
	d, ok := l.Listener.(deadlineListener)
	if !ok || d.SetDeadline(time.Now().Add(acceptIdleTimeout)) != nil {
		_ = l.Close()
	}
}
