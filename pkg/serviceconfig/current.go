// ================================================================
// The document in force at one process. Its number only increases: several control nodes
// distribute documents at the same time, in any order.
// ================================================================

package serviceconfig

import (
	"sync"
	"sync/atomic"
)

// Current holds the index of the document in force. The zero value has no document. It is
// safe for concurrent use; readers take no lock.
type Current struct {
	mu    sync.Mutex
	index atomic.Pointer[Index]
}

// Load returns the index; nil before the first document.
func (c *Current) Load() *Index { return c.index.Load() }

// Number returns the document's number; 0 before the first document.
func (c *Current) Number() uint64 {
	if index := c.Load(); index != nil {
		return index.Number()
	}
	return 0
}

// Advance puts a document in force if its number is above the present one, and reports
// whether it did.
func (c *Current) Advance(d Document) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if index := c.Load(); index != nil && d.number <= index.Number() {
		return false
	}
	c.index.Store(NewIndex(d))
	return true
}
