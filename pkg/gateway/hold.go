// ================================================================
// A connection for as long as one attempt has it. The watchdog, the caller's leaving and
// what is found about silent or lost backend servers end an attempt by breaking its
// connection, each from a goroutine of its own. Once the attempt has handed it back to the
// pool another request may have it, and none of them may touch it any more.
// ================================================================

package gateway

import (
	"net/http"
	"sync"

	"github.com/tidepost/tidepost/pkg/upstream"
)

// attemptConn is a connection that an attempt has.
type attemptConn struct {
	*upstream.Connection

	mu       sync.Mutex
	released bool // it was handed back
}

// Abort breaks the connection, unless the attempt does not have it any more.
func (h *attemptConn) Abort() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released {
		h.Connection.Abort()
	}
}

// Finish hands the connection back after an answer that was read to its end.
func (h *attemptConn) Finish(answer *http.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	h.Connection.Finish(answer)
}
