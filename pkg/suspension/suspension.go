// ================================================================
// Detects that the VM was suspended, and for how long. CLOCK_MONOTONIC, by which Go
// measures durations, and all timers stand still during a suspension, so an age measured
// by it is too low afterwards. CLOCK_BOOTTIME includes the suspension, and the difference
// of the two clocks shows it within a quarter of a second after the VM resumes.
//
// CLOCK_BOOTTIME is not used for all durations: most of them state how long this process
// waited for another one, and a suspended process did not wait. A backend server whose
// heartbeats could not arrive meanwhile would count as silent.
// ================================================================

// Package suspension detects suspensions of the VM after it resumes.
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
	// checkInterval is the time between two checks of the clocks, of two system calls each.
	checkInterval = 250 * time.Millisecond
	// minSuspension is the smallest difference that counts as a suspension. The clocks are
	// read one after the other, and a busy VM may delay the process between the two reads.
	minSuspension = 500 * time.Millisecond
)

// Watch measures suspensions. Its zero value is not valid; use New. Total and Check are
// safe for concurrent use.
type Watch struct {
	monotonic, boot func() time.Duration
	total           atomic.Int64

	mu          sync.Mutex
	offset      time.Duration // boot minus monotonic, at the last suspension or at creation
	resumeHooks []func(suspended time.Duration)
}

// New returns a watch on the kernel's clocks.
func New() *Watch { return NewWithClocks(clock(unix.CLOCK_MONOTONIC), clock(unix.CLOCK_BOOTTIME)) }

// NewWithClocks returns a watch on two clocks: monotonic stands still during a suspension,
// boot does not.
func NewWithClocks(monotonic, boot func() time.Duration) *Watch {
	return &Watch{monotonic: monotonic, boot: boot, offset: boot() - monotonic()}
}

// clock returns a function that reads a clock of the kernel.
func clock(id int32) func() time.Duration {
	return func() time.Duration {
		var at unix.Timespec
		if err := unix.ClockGettime(id, &at); err != nil {
			// Without the clock, no suspension is detected.
			return 0
		}
		return time.Duration(at.Nano())
	}
}

// OnResume registers f to be called after each suspension with its duration. It must be
// called before Run, and f must not call Check.
func (w *Watch) OnResume(f func(suspended time.Duration)) { w.resumeHooks = append(w.resumeHooks, f) }

// Total returns the total duration of all suspensions detected so far.
func (w *Watch) Total() time.Duration { return time.Duration(w.total.Load()) }

// Elapsed returns a reading of the clock that includes suspensions. Only differences of readings
// have a meaning.
func (w *Watch) Elapsed() time.Duration { return w.boot() }

// Run checks the clocks every checkInterval until the context ends.
func (w *Watch) Run(ctx context.Context) error { return daemon.Every(ctx, checkInterval, w.Check) }

// Check compares the clocks once and calls the functions of OnResume after a suspension. When it
// returns, they have been called for each suspension so far, also if another goroutine detected it.
func (w *Watch) Check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	offset := w.boot() - w.monotonic()
	suspended := offset - w.offset
	if suspended < minSuspension {
		return
	}
	w.offset = offset
	w.total.Add(int64(suspended))
	for _, f := range w.resumeHooks {
		f(suspended)
	}
}
