package gateway

import (
	"strings"
	"testing"
	"time"
)

// Times restored from wall clock nanoseconds are wrong by as much as that clock steps. The
// string of a time with a monotonic clock reading contains " m=".
func TestAtomicTimeIsMonotonic(t *testing.T) {
	var m atomicTime
	if !m.time().IsZero() {
		t.Fatalf("the zero value is %s", m.time())
	}
	now := time.Now()
	m.set(now)
	if !m.time().Equal(now) || !strings.Contains(m.time().String(), " m=") {
		t.Fatalf("%s is not %s", m.time(), now)
	}
}
