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

// moment is the zero time until it is set.
type moment struct {
	since atomic.Int64 // nanoseconds since processStart; 0 is never
}

func (m *moment) set(t time.Time) { m.since.Store(int64(t.Sub(processStart))) }

// time returns the moment with its reading of the steady clock.
func (m *moment) time() time.Time {
	since := m.since.Load()
	if since == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(since))
}
