// ================================================================
// Tests with links in virtual time. yamux keeps timers in a process-wide pool, and the runtime aborts
// the process if one synctest bubble uses a timer that another bubble created. So the pool is emptied
// after each bubble, also if a failed test leaves it by Goexit: otherwise all later tests and the
// report of the failed one would be lost.
// ================================================================

// Package bubble runs tests in synctest bubbles, in which time is virtual. Such tests must not run in
// parallel.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs a test function in its own bubble.
func Run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	defer emptyPools()
	synctest.Test(t, test)
}

// emptyPools drops the contents of all sync.Pools. It takes two collections: the first moves them to
// the victim cache, the second frees that.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}
