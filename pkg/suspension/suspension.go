// ================================================================
// How long the VM stood suspended. The steady clock, by which Go measures all times,
// stands still meanwhile, and so do all timers: whoever measures an age by it takes it for
// younger than it is. CLOCK_BOOTTIME counts that time, and the difference of the two shows
// it within a quarter of a second after the VM goes on.
//
// Rejected: CLOCK_BOOTTIME for all times. Nearly all of them say how long this process
// waited for another one, and a process that was suspended did not wait: a backend server
// would count as silent that had no chance to be heard.
// ================================================================

// Package suspension notices that the VM was suspended and goes on.
package suspension

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tidepost/tidepost/pkg/daemon"
)

const (
	// checkInterval is the time between two looks at the clocks: two system calls each.
	checkInterval = 250 * time.Millisecond
	// minSuspension is what counts as a suspension: the clocks are read one after the other, and a
	// busy VM may hold a process up between.
	minSuspension = 500 * time.Millisecond
)

// Watch counts suspensions. Its zero value is not valid; use New.
type Watch struct {
	monotonic, boot func() time.Duration
	total           atomic.Int64

	mu          sync.Mutex
	offset      time.Duration // the clocks were, at the last look
	resumeHooks []func(suspended time.Duration)
}

// New returns a watch on the clocks of the machine.
func New() *Watch { return NewWithClocks(clock(unix.CLOCK_MONOTONIC), clock(unix.CLOCK_BOOTTIME)) }

// NewWithClocks returns a watch on a steady clock that stands still while suspended, and one that
// does not.
func NewWithClocks(steady, boot func() time.Duration) *Watch {
	return &Watch{monotonic: steady, boot: boot, offset: boot() - steady()}
}

// clock returns how to read a clock of the kernel.
func clock(id int32) func() time.Duration {
	return func() time.Duration {
		var at unix.Timespec
		if err := unix.ClockGettime(id, &at); err != nil {
			// The kernel lacks the clock: no suspension is ever seen.
			return 0
		}
		return time.Duration(at.Nano())
	}
}

// OnResume has f called after each suspension, with how long it was. It is to be called
// before Run.
func (w *Watch) OnResume(f func(suspended time.Duration)) { w.resumeHooks = append(w.resumeHooks, f) }

// Total returns how long the VM stood suspended in all, as seen by the last look.
func (w *Watch) Total() time.Duration { return time.Duration(w.total.Load()) }

// Run looks until the context ends.
func (w *Watch) Run(ctx context.Context) error { return daemon.Every(ctx, checkInterval, w.Check) }

// Check looks at the clocks once.
func (w *Watch) Check() {
	w.mu.Lock()
	apart := w.boot() - w.monotonic()
	suspended := apart - w.offset
	if suspended < minSuspension {
		w.mu.Unlock()
		return
	}
	w.offset = apart
	w.total.Add(int64(suspended))
	w.mu.Unlock()
	for _, f := range w.resumeHooks {
		f(suspended)
	}
}
