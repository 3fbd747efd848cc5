package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/golden"
)

// describe returns the state and the start of each registration.
func describe(registrations ...Registration) string {
	var all []string
	for _, r := range registrations {
		all = append(all, fmt.Sprintf("%s of start %d", r.state, r.startedAt))
	}
	return strings.Join(all, ", ")
}

// A departure replaces earlier ones of its incarnation, in whatever order they arrive, and covers the same
// and earlier starts. One that drains does not cover one that has left.
func TestDepartures(t *testing.T) {
	draining, later := registrationOfStart(1000, 2, Draining), registrationOfStart(2000, 1, Draining)
	gone := draining.AsGone(0)
	asked := []Registration{registrationOfStart(900, 7, Draining), draining, gone, later}
	var b strings.Builder
	for _, merged := range [][]Registration{{draining}, {draining, gone}, {gone, draining}, {gone, later}, {later, gone}} {
		d := NewDepartures(time.Minute, nil)
		var changed []Registration
		for _, r := range merged {
			changed = append(changed, d.Merge(d.AsOfNow(r))...)
		}
		_, _ = fmt.Fprintf(&b, "merged: %s\n  changed: %s\n", describe(merged...), describe(changed...))
		for _, r := range asked {
			if d.Covers(r) {
				_, _ = fmt.Fprintf(&b, "  covers: %s\n", describe(r))
			}
		}
	}
	golden.Check(t, "testdata/departures.txt", b.String())
}

// Departures expire, and expired ones that a log replays are ignored.
func TestDeparturesExpire(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	d := NewDepartures(time.Minute, func() time.Time { return now })
	old := d.AsOfNow(registrationOfStart(1000, 2, Draining))
	d.Merge(old)
	now = now.Add(59 * time.Second)
	if len(d.All()) != 1 {
		t.Error("a departure expired too early")
	}
	now = now.Add(2 * time.Second)
	if len(d.All()) != 0 || d.Covers(old.registration) {
		t.Error("a departure did not expire")
	}
	if changed := d.Merge(old); len(changed) != 0 {
		t.Errorf("an expired departure was applied: %s", describe(changed...))
	}
}
