// ================================================================
// Runtime checks of invariants.
//
// A broken invariant is counted, reported to the listener (the timeline) and returned as a
// failure, so that the caller refuses the request instead of sending a wrong response. In tests
// the listener fails the test.
//
//	if err := invariant.Check(applied <= committed, "log_apply_order", ...); err != nil {
//		return err
//	}
// ================================================================

// Package invariant checks invariants at run time, and counts and reports broken ones.
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

// Listen sets the function that is called for each broken invariant, and returns a
// function that restores the previous one.
func Listen(l func(name, detail string)) (restore func()) {
	mu.Lock()
	defer mu.Unlock()
	previous := listener
	listener = l
	return func() {
		mu.Lock()
		defer mu.Unlock()
		listener = previous
	}
}

// Check returns nil if holds is true. Otherwise it counts and reports a broken invariant and
// returns an InvariantBroken failure with an unknown outcome.
func Check(holds bool, name, format string, arguments ...any) error {
	if holds {
		return nil
	}
	f := failure.New(failure.InvariantBroken, name+": "+format, arguments...).WithRan(failure.RanUnknown)
	Broken.WithLabelValues(name).Inc()
	mu.RLock()
	notify := listener
	mu.RUnlock()
	if notify != nil {
		notify(name, f.Message())
	}
	return f
}
