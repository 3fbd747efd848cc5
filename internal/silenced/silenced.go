// ================================================================
// Connections for tests of silent connections: the open ones drop all data in both directions without
// an error, as if a device on the path had lost their state, while new ones work.
// ================================================================

// Package silenced wraps the connections of a test so that they can be made silent.
package silenced

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Conns is a set of connections that can be silenced. The zero value is an empty set. It is safe for
// concurrent use.
type Conns struct {
	mu   sync.Mutex
	open []*atomic.Bool
}

// Dial dials a TCP address and adds the connection to the set.
func (c *Conns) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.Wrap(conn), nil
}

// Wrap adds a connection to the set and returns the one to use in its place.
func (c *Conns) Wrap(conn net.Conn) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	silenced := &atomic.Bool{}
	c.open = append(c.open, silenced)
	return lossyConn{conn, silenced}
}

// Silence makes all connections of the set drop data. Connections that are added later work.
func (c *Conns) Silence() { c.setSilenced(true) }

// Restore makes all connections of the set work again. Data that was dropped stays lost.
func (c *Conns) Restore() { c.setSilenced(false) }

func (c *Conns) setSilenced(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, silenced := range c.open {
		silenced.Store(silent)
	}
}

// lossyConn drops all data while it is silenced.
type lossyConn struct {
	net.Conn
	silenced *atomic.Bool
}

// Write discards the data while the connection is silenced and reports it as written.
func (c lossyConn) Write(b []byte) (int, error) {
	if c.silenced.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read discards what arrives while the connection is silenced.
func (c lossyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silenced.Load() {
			return n, err
		}
	}
}
