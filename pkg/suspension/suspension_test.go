package suspension

import (
	"testing"
	"time"
)

func TestSuspensionsAreCounted(t *testing.T) {
	var steady, boot time.Duration
	w := NewWithClocks(func() time.Duration { return steady }, func() time.Duration { return boot })
	var seen []time.Duration
	w.OnResume(func(d time.Duration) { seen = append(seen, d) })
	pass := func(running, suspended time.Duration) {
		steady += running
		boot += running + suspended
		w.Check()
	}
	pass(time.Hour, 0)
	pass(time.Second, 3*time.Second)
	pass(time.Second, 0)
	pass(time.Second, minSuspension/4) // the clocks were read some time apart
	pass(time.Second, 5*time.Second-minSuspension/4)
	if len(seen) != 2 || seen[0] != 3*time.Second || seen[1] != 5*time.Second || w.Total() != 8*time.Second {
		t.Errorf("seen %v, %s in all", seen, w.Total())
	}
}

// The machine's own clocks are not apart by themselves.
func TestNoSuspensionOnRunningMachine(t *testing.T) {
	w := New()
	for range 1000 {
		w.Check()
	}
	if w.Total() != 0 {
		t.Errorf("%s", w.Total())
	}
}
