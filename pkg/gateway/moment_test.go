package gateway

import (
	"strings"
	"testing"
	"time"
)

// Times read from nanoseconds of the time of day are compared by it, and are wrong by as
// much as it steps; those of the steady clock show it.
func TestAtomicTimeIsMonotonic(t *testing.T) {
	var m atomicTime
	if !m.time().IsZero() {
		t.Fatalf("never is %s", m.time())
	}
	now := time.Now()
	m.set(now)
	if !m.time().Equal(now) || !strings.Contains(m.time().String(), " m=") {
		t.Fatalf("%s is not %s", m.time(), now)
	}
}
