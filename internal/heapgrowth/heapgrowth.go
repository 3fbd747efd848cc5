// Package heapgrowth measures by how much the heap grows while a function runs, for tests of what is kept in memory.
package heapgrowth

import (
	"runtime"
	"time"
)

// sampleInterval is the interval between two readings of the heap's size.
const sampleInterval = 5 * time.Millisecond

// Of returns by how much the heap is larger at its peak, while f runs, than before, in bytes.
func Of(f func()) int64 {
	before := size()
	peak := before
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return peak - before
		case <-time.After(sampleInterval):
			peak = max(peak, size())
		}
	}
}

// size returns the size of the heap without garbage, apart from what becomes garbage meanwhile.
func size() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
