// ================================================================
// A set of chunks as a bitmap: chunk i is bit i%8 of byte i/8.
// ================================================================

// Package spread decides which chunk comes from where: Swarm on each agent,
// Coordinator on one entry of each failure domain. Both are plain objects without
// goroutines or a clock: they take reports and the current time, and return fetches
// and plans.
package spread

import "math/bits"

const bitsPerByte = 8

// Bitmap is a set of chunk indexes below a fixed total.
type Bitmap struct {
	bytes []byte
	total int
	count int
}

// NewBitmap returns an empty set of total chunks.
func NewBitmap(total int) Bitmap {
	return Bitmap{bytes: make([]byte, (total+bitsPerByte-1)/bitsPerByte), total: total}
}

// BitmapOf reads a set from its bytes, which come from another process: missing bytes
// count as 0, and bits at or above total are ignored.
func BitmapOf(raw []byte, total int) Bitmap {
	b := NewBitmap(total)
	copy(b.bytes, raw)
	if spare := len(b.bytes)*bitsPerByte - total; spare > 0 && len(b.bytes) > 0 {
		b.bytes[len(b.bytes)-1] &= 0xff >> spare
	}
	for _, v := range b.bytes {
		b.count += bits.OnesCount8(v)
	}
	return b
}

// Has reports whether chunk i is in the set.
func (b Bitmap) Has(i int) bool {
	return i >= 0 && i < b.total && b.bytes[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Add adds chunk i to the set and reports whether it was not in it before.
func (b *Bitmap) Add(i int) bool {
	if i < 0 || i >= b.total || b.Has(i) {
		return false
	}
	b.bytes[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	b.count++
	return true
}

// Count returns how many chunks are in the set.
func (b Bitmap) Count() int { return b.count }

// Total returns how many chunks there are.
func (b Bitmap) Total() int { return b.total }

// Full reports whether all chunks are in the set.
func (b Bitmap) Full() bool { return b.count == b.total }

// Bytes returns a copy of the bitmap's bytes.
func (b Bitmap) Bytes() []byte { return append([]byte(nil), b.bytes...) }
