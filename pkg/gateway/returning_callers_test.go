package gateway

import (
	"testing"
	"time"
)

// returningCallersWithSamples returns a table with samples of 5.1 to 6 s left, without refusals.
func returningCallersWithSamples(now time.Time) *returningCallers {
	r := &returningCallers{}
	for i := range 2 * minTimeSamples {
		r.isReturning(time.Minute, 5100*time.Millisecond+time.Duration(i)*900*time.Millisecond/(2*minTimeSamples), now)
	}
	return r
}

func TestReturningCallersHaveLessTimeLeft(t *testing.T) {
	now := time.Now()
	r := returningCallersWithSamples(now)
	r.recordRefusal(now)
	for timeLeft, want := range map[time.Duration]bool{4400 * time.Millisecond: true, 5300 * time.Millisecond: false, 5900 * time.Millisecond: false, 0: false} {
		if got := r.isReturning(time.Minute, timeLeft, now); got != want {
			t.Errorf("a caller with %s left: returning %t", timeLeft, got)
		}
	}
	if r.isReturning(time.Second, 400*time.Millisecond, now) {
		t.Error("a caller of a route without samples counts as returning")
	}
}

// While this gateway refuses no request, a caller with less time left does not count as returning,
// and its time is recorded as a sample.
func TestNoCallerIsReturningInCalmPeriod(t *testing.T) {
	now := time.Now()
	r := returningCallersWithSamples(now)
	r.recordRefusal(now)
	now = now.Add(calmPeriod + time.Second)
	for range maxTimeSamples {
		if r.isReturning(time.Minute, 2*time.Second, now) {
			t.Fatal("a caller counts as returning although no request was refused")
		}
	}
	r.recordRefusal(now)
	if r.isReturning(time.Minute, 2100*time.Millisecond, now) {
		t.Fatal("a usual caller still counts as returning")
	}
}
