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
	// beside says that the chunks may lie beside the engine here.
	beside atomic.Bool

	mu        sync.Mutex
	chunks    [][]byte
	arrived   []chan struct{} // closed when the chunk is here
	missing   int
	lastAdded time.Time
	complete  chan struct{}
	news      chan struct{}     // closed at the next word of what others have
	at        []map[string]bool // by chunk: the stagers known to have it
}

func newCopy(m Manifest) *weightsCopy {
	c := &weightsCopy{
		manifest:  m,
		chunks:    make([][]byte, len(m.digests)),
		arrived:   make([]chan struct{}, len(m.digests)),
		missing:   len(m.digests),
		lastAdded: time.Now(),
		complete:  make(chan struct{}),
		news:      make(chan struct{}),
		at:        make([]map[string]bool, len(m.digests)),
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

// restedFor returns how long ago the last chunk came.
func (c *weightsCopy) restedFor(now time.Time) time.Duration {
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

// held returns the chunks that are here, one bit each.
func (c *weightsCopy) held() []byte {
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

// learn notes which chunks another stager has.
func (c *weightsCopy) learn(address string, bits []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.news)
	c.news = make(chan struct{})
	for i := range min(len(c.at), 8*len(bits)) {
		if bits[i/8]&(1<<(i%8)) == 0 {
			continue
		}
		if c.at[i] == nil {
			c.at[i] = map[string]bool{}
		}
		c.at[i][address] = true
	}
}

// nextNews returns a channel that is closed at the next word of what others
// have.
func (c *weightsCopy) nextNews() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.news
}

// unlearn notes that a stager did not have a chunk after all.
func (c *weightsCopy) unlearn(address string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.at[number], address)
}

// knownAt returns a copy of the stagers known to have a chunk.
func (c *weightsCopy) knownAt(number int) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]bool, len(c.at[number]))
	maps.Copy(known, c.at[number])
	return known
}

// knownBy tells whether a stager is known to have a chunk.
func (c *weightsCopy) knownBy(address string, number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at[number][address]
}
