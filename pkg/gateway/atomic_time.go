// ================================================================
// A point in time that goroutines share, on the monotonic clock. The wall clock may step by
// seconds, and silences of backend servers would then appear longer or shorter by as much.
// ================================================================

package gateway

import (
	"sync/atomic"
	"time"
)

// processStart is the origin of the stored offsets.
var processStart = time.Now()

// atomicTime is a time that is safe for concurrent use. It is the zero time until it is set.
type atomicTime struct {
	offset atomic.Int64 // nanoseconds since processStart; 0 means not set
}

func (a *atomicTime) set(t time.Time) { a.offset.Store(int64(t.Sub(processStart))) }

// time returns the stored time with a monotonic clock reading.
func (a *atomicTime) time() time.Time {
	offset := a.offset.Load()
	if offset == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(offset))
}
