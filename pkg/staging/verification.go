// ================================================================
// When each staged chunk was last known to be intact, and which layers may be loaded for that
// reason. An engine loads what its staging area contains when it takes the order, and a chunk may
// turn corrupt there at any time, so a verification counts only for maxVerificationAge.
// ================================================================

package staging

import (
	"sync"
	"time"
)

// maxVerificationAge is the longest time between the verification of a staged chunk and the moment
// at which the engine takes the order to load it.
const maxVerificationAge = 3 * time.Second

// maxVerifications is the number of verifications of a chunk that are kept: those of several orders.
const maxVerifications = 64

// verification records the verifications of the staged chunks of one copy. Times are readings of
// Stager.now. It is safe for concurrent use.
type verification struct {
	layers int // of the model

	mu sync.Mutex
	// verifiedAt are the times at which each chunk was found or written intact, oldest first. A
	// time is when the call to the engine began.
	verifiedAt [][]time.Duration
}

func newVerification(chunks, layers int) *verification {
	return &verification{layers: layers, verifiedAt: make([][]time.Duration, chunks)}
}

// add records that a chunk was intact at a time.
func (v *verification) add(number int, at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	times := append(v.verifiedAt[number], at)
	v.verifiedAt[number] = times[max(len(times)-maxVerifications, 0):]
}

// chunksOf returns the first chunk that a range of layers consists of, and the one after the last. A
// chunk may belong to two layers.
func (v *verification) chunksOf(layers layerRange) (first, end int) {
	chunks := len(v.verifiedAt)
	return layers.from * chunks / v.layers, (layers.to*chunks + v.layers - 1) / v.layers
}

// layersSince returns the longest range of layers from a first one on whose chunks were all
// verified at or after a time.
func (v *verification) layersSince(from int, since time.Duration) layerRange {
	v.mu.Lock()
	defer v.mu.Unlock()
	verified := layerRange{from, from}
	for layer := from; layer < v.layers; layer++ {
		first, end := v.chunksOf(layerRange{layer, layer + 1})
		for number := first; number < end; number++ {
			if latest(v.verifiedAt[number]) < since {
				return verified
			}
		}
		verified.to = layer + 1
	}
	return verified
}

// neverVerified is before all readings of the clock.
const neverVerified = time.Duration(-1 << 63)

// latest returns the last of the times; neverVerified if there is none.
func latest(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return neverVerified
	}
	return times[len(times)-1]
}

// maxAge returns the greatest age that the latest verification of any chunk of a range of layers had
// in a span of time; the greatest possible duration if a chunk had not been verified.
func (v *verification) maxAge(layers layerRange, begin, end time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	var greatest time.Duration
	first, last := v.chunksOf(layers)
	for _, times := range v.verifiedAt[first:last] {
		greatest = max(greatest, maxAgeWithin(times, begin, end))
	}
	return greatest
}

// maxAgeWithin returns the greatest age of the latest of some times within a span.
func maxAgeWithin(times []time.Duration, begin, end time.Duration) time.Duration {
	previous := neverVerified
	greatest := time.Duration(0)
	for _, at := range times {
		if at > end {
			break
		}
		if at > begin {
			greatest = max(greatest, ageAt(previous, at))
		}
		previous = at
	}
	return max(greatest, ageAt(previous, end))
}

// ageAt returns the age of a verification.
func ageAt(verifiedAt, now time.Duration) time.Duration {
	if verifiedAt == neverVerified {
		return 1<<63 - 1
	}
	return now - verifiedAt
}
