package suspension

import (
	"testing"
	"time"
)

func TestSuspensionsAreCounted(t *testing.T) {
	var monotonic, boot time.Duration
	w := NewWithClocks(func() time.Duration { return monotonic }, func() time.Duration { return boot })
	var suspensions []time.Duration
	w.OnResume(func(d time.Duration) { suspensions = append(suspensions, d) })
	advance := func(running, suspended time.Duration) {
		monotonic += running
		boot += running + suspended
		w.Check()
	}
	advance(time.Hour, 0)
	advance(time.Second, 3*time.Second)
	advance(time.Second, 0)
	advance(time.Second, minSuspension/4) // a delay between the two reads
	advance(time.Second, 5*time.Second-minSuspension/4)
	if len(suspensions) != 2 || suspensions[0] != 3*time.Second || suspensions[1] != 5*time.Second || w.Total() != 8*time.Second {
		t.Errorf("suspensions %v, total %s", suspensions, w.Total())
	}
}

// The kernel's clocks do not drift apart on a running machine.
func TestNoSuspensionOnRunningMachine(t *testing.T) {
	w := New()
	for range 1000 {
		w.Check()
	}
	if w.Total() != 0 {
		t.Errorf("%s", w.Total())
	}
}
