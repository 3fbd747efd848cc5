// ================================================================
// Callers' connections and their listener: who is there, who rests, and how both end in
// a planned stop without a connection that closes under a request.
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
	// maxIdleAtStop is how long a connection may rest in a stop: a caller that goes on with
	// its connection does so within some 100 ms of the answer before.
	maxIdleAtStop = time.Second
	// stopPollInterval lies between two looks at what still goes on.
	stopPollInterval = 20 * time.Millisecond
	// acceptIdleTimeout is for how long nobody may come before the listener closes, and
	// acceptMost how long that may take in all.
	acceptIdleTimeout = 20 * time.Millisecond
	acceptLimit       = 300 * time.Millisecond
)

// connections are those of callers. The zero value has none. It is safe for concurrent
// use.
type connections struct {
	mu   sync.Mutex
	open int
	// idle are those on which no request is, with since when.
	idle map[net.Conn]time.Time
	// expired are those that rested too long, until they close or a request comes.
	expired map[net.Conn]bool
}

// trackState follows a connection; it is the server's ConnState.
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
			// A request came as its rest ended. net/http, which reads beside the
			// handler, would take the end of that time for a caller that left.
			_ = conn.SetReadDeadline(time.Time{})
		}
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	delete(c.expired, conn)
}

// drain ends connections that rest too long until none is left, or the context ends.
// It returns how many are in use then.
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

// expireIdle ends the connections that rest too long, and returns how many are open. The
// end of its time for reading ends a connection from its own goroutine: one on which a
// request has just come goes on with it.
func (c *connections) expireIdle(now time.Time) (open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idleSince := range c.idle {
		if now.Sub(idleSince) < maxIdleAtStop {
			continue
		}
		if err := conn.SetReadDeadline(now); err != nil {
			_ = conn.Close() // it is broken
		}
		delete(c.idle, conn)
		c.expired[conn] = true
	}
	return c.open
}

// inUse returns how many connections have a request on them.
func (c *connections) inUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open - len(c.idle)
}

// ----------------------------------------------------------------
// Their listener

// callersListener takes callers until it is told to stop, and then those that the kernel
// has accepted already: to close it resets them.
type callersListener struct {
	net.Listener
	stopping atomic.Bool
}

// deadlineListener is a listener whose Accept can be bounded.
type deadlineListener interface{ SetDeadline(time.Time) error }

// Accept returns the next connection; net.ErrClosed once it has stopped.
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

// stop has Accept end when nobody comes any more.
func (l *callersListener) stop() {
	l.stopping.Store(true)
	l.setAcceptDeadline()
	time.AfterFunc(acceptLimit, func() { _ = l.Close() })
}

// setAcceptDeadline bounds Accept. A listener that cannot be bounded closes.
func (l *callersListener) setAcceptDeadline() {
	b, ok := l.Listener.(deadlineListener)
	if !ok || b.SetDeadline(time.Now().Add(acceptIdleTimeout)) != nil {
		_ = l.Close()
	}
}
