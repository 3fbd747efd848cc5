// ================================================================
// A moment that several goroutines set and read, on the steady clock: the time of day may
// step by seconds, and backend servers would seem silent, or heard of, by as much.
// ================================================================

package gateway

import (
	"sync/atomic"
	"time"
)

// processStart is what moments are counted from.
var processStart = time.Now()

// atomicTime is the zero time until it is set.
type atomicTime struct {
	offset atomic.Int64 // nanoseconds since processStart; 0 is never
}

func (m *atomicTime) set(t time.Time) { m.offset.Store(int64(t.Sub(processStart))) }

// time returns the moment with its reading of the steady clock.
func (m *atomicTime) time() time.Time {
	since := m.offset.Load()
	if since == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(since))
}
