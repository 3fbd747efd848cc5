// ================================================================
// A copy of one version on its way: its manifest, the chunks that are here and
// checked, and who waits for one that is not.
// ================================================================

package staging

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

// weightsCopy is a copy in memory. It is safe for concurrent use.
type weightsCopy struct {
	manifest Manifest
	// readableFromEngine says that the chunks may lie beside the engine here.
	readableFromEngine atomic.Bool

	mu              sync.Mutex
	chunks          [][]byte
	arrived         []chan struct{} // closed when the chunk is here
	missing         int
	lastAdded       time.Time
	complete        chan struct{}
	holdingsChanged chan struct{}     // closed at the next word of what others have
	holders         []map[string]bool // by chunk: the stagers known to have it
}

func newCopy(m Manifest) *weightsCopy {
	c := &weightsCopy{
		manifest:        m,
		chunks:          make([][]byte, len(m.digests)),
		arrived:         make([]chan struct{}, len(m.digests)),
		missing:         len(m.digests),
		lastAdded:       time.Now(),
		complete:        make(chan struct{}),
		holdingsChanged: make(chan struct{}),
		holders:         make([]map[string]bool, len(m.digests)),
	}
	for i := range c.arrived {
		c.arrived[i] = make(chan struct{})
	}
	return c
}

// digestOf returns the SHA-256 of data in hex.
func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// add takes a chunk and tells whether it was not here before; it fails with
// CorruptChunk when its digest is another.
func (c *weightsCopy) add(number int, data []byte) (fresh bool, err error) {
	if digestOf(data) != c.manifest.digests[number] {
		return false, failure.New(failure.CorruptChunk, "chunk %d of %s version %d", number, c.manifest.model, c.manifest.version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chunks[number] != nil {
		return false, nil
	}
	c.lastAdded = time.Now()
	c.chunks[number] = data
	close(c.arrived[number])
	c.missing--
	if c.missing == 0 {
		close(c.complete)
	}
	return true, nil
}

// timeSinceLastChunk returns how long ago the last chunk came.
func (c *weightsCopy) timeSinceLastChunk(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastAdded)
}

// completedAt returns when the last chunk came of a complete copy.
func (c *weightsCopy) completedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAdded
}

// get returns a chunk; nil when it is not here.
func (c *weightsCopy) get(number int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chunks[number]
}

// wait waits for a chunk until the context ends; nil when it did not come.
func (c *weightsCopy) wait(ctx context.Context, number int) []byte {
	select {
	case <-c.arrived[number]:
		return c.get(number)
	case <-ctx.Done():
		return nil
	}
}

// absent returns the numbers of the chunks that are not here.
func (c *weightsCopy) absent() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var numbers []int
	for i, data := range c.chunks {
		if data == nil {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// isComplete tells whether all chunks are here.
func (c *weightsCopy) isComplete() bool {
	select {
	case <-c.complete:
		return true
	default:
		return false
	}
}

// ----------------------------------------------------------------
// What others have

// heldBits returns the chunks that are here, one bit each.
func (c *weightsCopy) heldBits() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	bits := make([]byte, (len(c.chunks)+7)/8)
	for i, data := range c.chunks {
		if data != nil {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// addHoldings notes which chunks another stager has.
func (c *weightsCopy) addHoldings(address string, bits []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.holdingsChanged)
	c.holdingsChanged = make(chan struct{})
	for i := range min(len(c.holders), 8*len(bits)) {
		if bits[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if c.holders[i] == nil {
			c.holders[i] = map[string]bool{}
		}
		c.holders[i][address] = true
	}
}

// nextHoldingsChange returns a channel that is closed at the next word of what others
// have.
func (c *weightsCopy) nextHoldingsChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdingsChanged
}

// removeHolder notes that a stager did not have a chunk after all.
func (c *weightsCopy) removeHolder(address string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holders[number], address)
}

// holdersOf returns a copy of the stagers known to have a chunk.
func (c *weightsCopy) holdersOf(number int) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]bool, len(c.holders[number]))
	maps.Copy(known, c.holders[number])
	return known
}

// isHeldBy tells whether a stager is known to have a chunk.
func (c *weightsCopy) isHeldBy(address string, number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders[number][address]
}
