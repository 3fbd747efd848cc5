// ================================================================
// Checks of what must always hold, asserted while the program runs.
//
// A broken invariant is counted, reported to whoever listens (the time line)
// and returned as a failure, so that the caller refuses instead of giving a
// wrong answer. Under test the listener fails the run.
//
//	if err := invariant.Check(applied <= committed, "log_apply_order", ...); err != nil {
//		return err
//	}
// ================================================================

// Package invariant counts and reports broken invariants.
package invariant

import (
	"sync"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/metric"
)

// Broken counts broken invariants by name. Any value above zero is a defect.
var Broken = metric.NewCounters(metric.InvariantBroken, "name")

var (
	mu       sync.RWMutex
	listener func(name, detail string)
)

// Listen sets who is told of a broken invariant, and returns what puts the
// former listener back.
func Listen(l func(name, detail string)) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	former := listener
	listener = l
	return func() {
		mu.Lock()
		defer mu.Unlock()
		listener = former
	}
}

// Check returns nil when holds, and else counts, reports and returns an
// InvariantBroken failure with an unknown outcome.
func Check(holds bool, name, format string, arguments ...any) error {
	if holds {
		return nil
	}
	f := failure.New(failure.InvariantBroken, name+": "+format, arguments...).WithRan(failure.RanUnknown)
	Broken.WithLabelValues(name).Inc()
	mu.RLock()
	tell := listener
	mu.RUnlock()
	if tell != nil {
		tell(name, f.Message())
	}
	return f
}
