// ================================================================
// Connections within a test that fall silent: those that are open lose what they carry,
// both ways and without an error, and new ones work.
// ================================================================

// Package silenced has the connections that a test dials fall silent.
package silenced

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Conns are connections that can be silenced. The zero value has none.
type Conns struct {
	mu   sync.Mutex
	open []*atomic.Bool
}

// Dial dials an address. It fits where a function field dials.
func (c *Conns) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.Wrap(conn), nil
}

// Wrap returns a connection that falls silent with the others.
func (c *Conns) Wrap(conn net.Conn) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	silenced := &atomic.Bool{}
	c.open = append(c.open, silenced)
	return lossyConn{conn, silenced}
}

// Silence silences the connections that are open.
func (c *Conns) Silence() { c.setSilenced(true) }

// Restore ends their silence. What was lost stays lost.
func (c *Conns) Restore() { c.setSilenced(false) }

func (c *Conns) setSilenced(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, silenced := range c.open {
		silenced.Store(silent)
	}
}

// lossyConn loses what it carries once it is silenced.
type lossyConn struct {
	net.Conn
	silenced *atomic.Bool
}

// Write loses what is written, as if it were on its way.
func (c lossyConn) Write(b []byte) (int, error) {
	if c.silenced.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read loses what comes.
func (c lossyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silenced.Load() {
			return n, err
		}
	}
}
