package main

import (
	"os"
	"time"
)

// playLoneVoter wipes the disk of the first seed right after the first configuration was acknowledged.
func playLoneVoter(d *deployment, trouble bool) outcome {
	for i := range d.cores {
		if err := d.startCore(i, true); err != nil {
			d.note("%v", err)
			return failed
		}
		time.Sleep(100 * time.Millisecond)
	}
	if d.put(1, 20*time.Second) < 0 {
		return failed
	}
	if trouble {
		d.kill("core-1")
		if err := os.RemoveAll(d.dataFolder(0)); err != nil {
			return failed
		}
		d.note("the disk of core-1 is lost")
		time.Sleep(time.Second)
		if err := d.startCore(0, false); err != nil {
			return failed
		}
	}
	// recover_s is 12, and contact_ms is 3,000.
	time.Sleep(12 * time.Second)
	version := d.readBack(6 * time.Second)
	d.note("acknowledged: version 1; read back: version %d", version)
	if version != 1 {
		return broken
	}
	return held
}
