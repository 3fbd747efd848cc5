// ================================================================
// The connection of one attempt. The watchdog, a caller's disconnect and the detection of
// silent or unreachable backend servers end an attempt by aborting its connection, each from
// its own goroutine. Once the attempt has returned the connection to the pool, another request
// may use it, so later calls of Abort must have no effect.
// ================================================================

package gateway

import (
	"net/http"
	"sync"

	"github.com/tidepost/tidepost/pkg/upstream"
)

// attemptConn is a pooled connection that ignores Abort once it is returned.
type attemptConn struct {
	*upstream.Connection

	mu       sync.Mutex
	released bool // it was returned to the pool
}

// Abort closes the connection, unless it was returned to the pool.
func (c *attemptConn) Abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.released {
		c.Connection.Abort()
	}
}

// Finish returns the connection to the pool after a response that was read to its end.
func (c *attemptConn) Finish(response *http.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	c.Connection.Finish(response)
}
