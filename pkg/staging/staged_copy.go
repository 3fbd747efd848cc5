// ================================================================
// What is known of the chunks in the engine's staging area: when each was intact, and when it was
// written. An engine loads what its staging area contains when it takes the order, and a chunk may turn
// corrupt there at any time, so a verification counts only for maxVerificationAge.
// ================================================================

package staging

import (
	"math"
	"sync"
	"time"
)

const (
	// maxVerificationAge is the longest time between the verification of a staged chunk and the moment
	// at which the engine takes the order to load it.
	maxVerificationAge = 3 * time.Second
	// maxChecks is the number of checks of a chunk that are kept: those of several orders.
	maxChecks = 64
	// never and always are before and after all readings of the clock.
	never  = time.Duration(math.MinInt64)
	always = time.Duration(math.MaxInt64)
)

// stagedCopy is a copy that this process writes to the engine's staging area, with the checks of its
// chunks. Times are readings of Stager.now. It is safe for concurrent use.
type stagedCopy struct {
	copy       *weightsCopy
	layers     int  // of the model
	isComplete bool // all chunks were written; only the control loop uses it

	mu        sync.Mutex
	checks    [][]check       // by chunk, oldest first
	writtenAt []time.Duration // by chunk: the end of its last write; always if one failed
}

// check is a verification or a write of a chunk. The chunk was intact from some moment between the two
// times on, until it turned corrupt if it did. A chunk that a verification found intact had not been
// corrupt before, so such a check has no duration.
type check struct{ began, ended time.Duration }

func newStagedCopy(c *weightsCopy, layers int) *stagedCopy {
	s := &stagedCopy{copy: c, layers: layers, checks: make([][]check, len(c.manifest.digests)), writtenAt: make([]time.Duration, len(c.manifest.digests))}
	for number := range s.writtenAt {
		s.writtenAt[number] = never
	}
	return s
}

// addVerification records that a verification which began at a time found a chunk intact.
func (s *stagedCopy) addVerification(number int, began time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCheck(number, check{began, began})
}

// addWrite records a successful write of a chunk.
func (s *stagedCopy) addWrite(number int, began, ended time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writtenAt[number] = max(s.writtenAt[number], ended)
	s.addCheck(number, check{began, ended})
}

// addFailedWrite records a write whose outcome is not known; it may still take effect.
func (s *stagedCopy) addFailedWrite(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writtenAt[number] = always
}

// addCheck adds a check; the lock is held.
func (s *stagedCopy) addCheck(number int, c check) {
	checks := append(s.checks[number], c)
	s.checks[number] = checks[max(len(checks)-maxChecks, 0):]
}

// wasWrittenSince reports whether a chunk may have been written after a time.
func (s *stagedCopy) wasWrittenSince(number int, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writtenAt[number] >= at
}

// chunksOf returns the first chunk that a range of layers consists of, and the one after the last.
func (s *stagedCopy) chunksOf(layers layerRange) (first, end int) {
	return chunksOf(layers, len(s.checks), s.layers)
}

// chunksOf returns the first of a model's chunks that a range of its layers consists of, and the one
// after the last. A chunk may belong to two layers. An engine may report more layers than are configured.
func chunksOf(layers layerRange, chunks, allLayers int) (first, end int) {
	first, end = layers.from*chunks/allLayers, (layers.to*chunks+allLayers-1)/allLayers
	return min(first, chunks), min(end, chunks)
}

// leadingLayers returns the longest range of layers from a first one on of whose chunks a condition
// holds.
func leadingLayers(from, chunks, allLayers int, holds func(number int) bool) layerRange {
	leading := layerRange{from, from}
	for layer := from; layer < allLayers; layer++ {
		first, end := chunksOf(layerRange{layer, layer + 1}, chunks, allLayers)
		for number := first; number < end; number++ {
			if !holds(number) {
				return leading
			}
		}
		leading.to = layer + 1
	}
	return leading
}

// checkedLayers returns the longest range of layers from a first one on whose chunks were all checked at
// or after a time.
func (s *stagedCopy) checkedLayers(from int, since time.Duration) layerRange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return leadingLayers(from, len(s.checks), s.layers, func(number int) bool {
		checks := s.checks[number]
		return len(checks) > 0 && checks[len(checks)-1].began >= since
	})
}

// maxAge returns the greatest age that the latest check of any chunk of a range of layers had in a span
// of time; always if a chunk had not been checked.
func (s *stagedCopy) maxAge(layers layerRange, begin, end time.Duration) time.Duration {
	var greatest time.Duration
	first, last := s.chunksOf(layers)
	for number := first; number < last; number++ {
		greatest = max(greatest, s.maxChunkAge(number, begin, end))
	}
	return greatest
}

// maxChunkAge returns the greatest age that the latest check of a chunk had in a span of time. For that
// long the chunk can have been corrupt at any moment of it.
func (s *stagedCopy) maxChunkAge(number int, begin, end time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	intactAt := never
	greatest := time.Duration(0)
	for _, c := range s.checks[number] {
		if c.ended > end {
			break
		}
		if c.ended > begin {
			greatest = max(greatest, ageAt(intactAt, c.ended))
		}
		intactAt = c.began
	}
	return max(greatest, ageAt(intactAt, end))
}

// ageAt returns the age of a check.
func ageAt(checkedAt, now time.Duration) time.Duration {
	if checkedAt == never {
		return always
	}
	return now - checkedAt
}
