// ================================================================
// A copy of one version in memory: its manifest, the verified chunks, and the callers that wait for
// a chunk.
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

// weightsCopy is a complete or partial copy in memory. It is safe for concurrent use.
type weightsCopy struct {
	manifest Manifest
	// readableFromEngine reports that the chunks may be in the staging area of this VM's engine.
	readableFromEngine atomic.Bool

	mu              sync.Mutex
	chunks          [][]byte
	arrived         []chan struct{} // by chunk: closed when the chunk arrives
	missingCount    int
	lastAdded       time.Time
	complete        chan struct{}
	holdingsChanged chan struct{}     // closed when other members are known to hold more chunks
	holders         []map[string]bool // by chunk: the members known to hold it
}

func newCopy(m Manifest) *weightsCopy {
	c := &weightsCopy{
		manifest:        m,
		chunks:          make([][]byte, len(m.digests)),
		arrived:         make([]chan struct{}, len(m.digests)),
		missingCount:    len(m.digests),
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

// add stores a chunk and reports whether it was missing. It fails with CorruptChunk if the digest
// does not match.
func (c *weightsCopy) add(number int, data []byte) (added bool, err error) {
	if digestOf(data) != c.manifest.digests[number] {
		return false, failure.New(failure.CorruptChunk, "chunk %d of %s version %d does not match its digest", number, c.manifest.model, c.manifest.version)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chunks[number] != nil {
		return false, nil
	}
	c.lastAdded = time.Now()
	c.chunks[number] = data
	close(c.arrived[number])
	c.missingCount--
	if c.missingCount == 0 {
		close(c.complete)
	}
	return true, nil
}

// timeSinceLastChunk returns the time since the last new chunk was added.
func (c *weightsCopy) timeSinceLastChunk(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastAdded)
}

// completedAt returns when the last chunk of a complete copy was added.
func (c *weightsCopy) completedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastAdded
}

// get returns a chunk; nil if it is missing.
func (c *weightsCopy) get(number int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.chunks[number]
}

// wait waits for a chunk until the context ends; it returns nil if the chunk did not arrive.
func (c *weightsCopy) wait(ctx context.Context, number int) []byte {
	select {
	case <-c.arrived[number]:
		return c.get(number)
	case <-ctx.Done():
		return nil
	}
}

// missingNumbers returns the numbers of the missing chunks.
func (c *weightsCopy) missingNumbers() []int {
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

// isComplete reports whether the copy has all chunks.
func (c *weightsCopy) isComplete() bool {
	select {
	case <-c.complete:
		return true
	default:
		return false
	}
}

// ----------------------------------------------------------------
// Chunks of other members

// heldBits returns the chunks that the copy has, one bit each.
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

// addHoldings records which chunks another member holds.
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

// nextHoldingsChange returns a channel that is closed at the next call of addHoldings.
func (c *weightsCopy) nextHoldingsChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdingsChanged
}

// removeHolder records that a member does not hold a chunk.
func (c *weightsCopy) removeHolder(address string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.holders[number], address)
}

// holdersOf returns the members known to hold a chunk, in a new map.
func (c *weightsCopy) holdersOf(number int) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]bool, len(c.holders[number]))
	maps.Copy(known, c.holders[number])
	return known
}

// isHeldBy reports whether a member is known to hold a chunk.
func (c *weightsCopy) isHeldBy(address string, number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders[number][address]
}
