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

// hold is a connection that an attempt has.
type hold struct {
	*upstream.Connection

	mu   sync.Mutex
	over bool // it was handed back
}

// Abort breaks the connection, unless the attempt does not have it any more.
func (h *hold) Abort() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.over {
		h.Connection.Abort()
	}
}

// Finish hands the connection back after an answer that was read to its end.
func (h *hold) Finish(answer *http.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = true
	h.Connection.Finish(answer)
}
