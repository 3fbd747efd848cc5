package registry

import (
	"fmt"
	"testing"
	"time"
)

// states lists departures as INCARNATION=STATE.
func states(registrations []Registration) (all []string) {
	for _, r := range registrations {
		all = append(all, r.incarnation+"="+string(r.state))
	}
	return all
}

// A departure replaces earlier ones of its incarnation, in whatever order they arrive.
func TestLaterDepartureReplacesEarlier(t *testing.T) {
	draining, gone := registrationOfStart(1000, 2, Draining), registrationOfStart(1000, 2, Draining).AsGone(0)
	later := registrationOfStart(2000, 1, Draining)
	for _, c := range []struct {
		merged []Registration
		want   string
	}{
		{[]Registration{draining, gone}, "[i-1=draining i-1=gone]"},
		{[]Registration{gone, draining}, "[i-1=gone]"},
		{[]Registration{gone, later, gone}, "[i-1=gone i-1=draining]"},
		{[]Registration{draining, draining}, "[i-1=draining i-1=draining]"},
	} {
		d := NewDepartures(time.Minute, nil)
		var changed []Registration
		for _, r := range c.merged {
			changed = append(changed, d.Merge(d.New(r))...)
		}
		if got := fmt.Sprint(states(changed)); got != c.want {
			t.Errorf("%v: changed %s, want %s", states(c.merged), got, c.want)
		}
	}
}

// A departure covers the same and earlier starts, and one that drains does not cover one that has left.
func TestDeparturesCover(t *testing.T) {
	draining := registrationOfStart(1000, 2, Draining)
	d := NewDepartures(time.Minute, nil)
	d.Merge(d.New(draining))
	for _, c := range []struct {
		r    Registration
		want bool
	}{
		{draining, true},
		{registrationOfStart(1000, 7, Draining), true},
		{registrationOfStart(900, 7, Draining), true},
		{registrationOfStart(1100, 1, Draining), false},
		{draining.AsGone(0), false},
		{NewRegistration("i-2", "menu", "10.0.0.1:80", "north", "v1", 16, Draining, 0, nil, 1, 0), false},
	} {
		if got := d.Covers(c.r); got != c.want {
			t.Errorf("start %d, %s: covered %t", c.r.startedAt, c.r.state, got)
		}
	}
	d.Merge(d.New(draining.AsGone(0)))
	if !d.Covers(draining) || !d.Covers(draining.AsGone(0)) {
		t.Error("a server that has left does not count as one that drains")
	}
}

// Departures expire, and expired ones that a log replays are ignored.
func TestDeparturesExpire(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	d := NewDepartures(time.Minute, func() time.Time { return now })
	old := d.New(registrationOfStart(1000, 2, Draining))
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
		t.Errorf("an expired departure was applied: %v", states(changed))
	}
}
