// ================================================================
// The document in force at one process. It only ever rises: documents are told
// by several control nodes at once, in any order.
// ================================================================

package serviceconfig

import (
	"sync"
	"sync/atomic"
)

// Current is the index of the newest document that was raised. The zero value
// has none. It is safe for concurrent use; readers take no lock.
type Current struct {
	mu    sync.Mutex
	index atomic.Pointer[Index]
}

// Load returns the index; nil while there is none.
func (c *Current) Load() *Index { return c.index.Load() }

// Number returns the document's number; 0 while there is none.
func (c *Current) Number() uint64 {
	if index := c.Load(); index != nil {
		return index.Number()
	}
	return 0
}

// Advance puts a document in force if its number is above the one in force, and
// tells whether it was.
func (c *Current) Advance(d Document) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := c.Load(); index != nil && d.number <= index.Number() {
		return false
	}
	c.index.Store(NewIndex(d))
	return true
}
