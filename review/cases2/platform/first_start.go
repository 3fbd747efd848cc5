package main

import "time"

// playFirstStart kills the first seed soon after it has been started for the first time. It is back within a second,
// with its disk.
func playFirstStart(d *deployment, trouble bool) outcome {
	for _, i := range []int{1, 2, 0} {
		if err := d.startCore(i, true); err != nil {
			d.note("%v", err)
			return failed
		}
		time.Sleep(100 * time.Millisecond)
	}
	if trouble {
		d.kill("core-1")
		time.Sleep(500 * time.Millisecond)
		if err := d.startCore(0, false); err != nil {
			return failed
		}
	}
	// contact_ms is 3,000 and ack_ms 4,000: the core is stable 3 s after the start of core-1.
	time.Sleep(3 * time.Second)
	if node := d.put(1, 25*time.Second); node < 0 {
		d.note("no acknowledgement in 25 s; ack_ms is 4,000")
		return broken
	}
	return held
}
