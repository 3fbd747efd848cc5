// ================================================================
// Tests in virtual time over links. yamux keeps timers in a pool of the whole process, and a
// timer that was made in one bubble ends the process when the next one takes it. So the pool is
// emptied behind each bubble, however it ends: a test that fails within it leaves by Goexit, and
// would else take all that come after it along, and its own verdict with them.
// ================================================================

// Package bubble runs tests in virtual time, one after the other.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs a test in a bubble of its own.
func Run(t *testing.T, play func(t *testing.T)) {
	t.Helper()
	defer emptyPools()
	synctest.Test(t, play)
}

// emptyPools drops what sync.Pools hold: the first collection moves it aside, the second
// frees it.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}
