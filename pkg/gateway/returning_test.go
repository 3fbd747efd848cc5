package gateway

import (
	"testing"
	"time"
)

// learned returns what is known after callers brought 5.1 to 6 s while nobody was
// refused.
func learned(now time.Time) *returning {
	r := &returning{}
	for i := range 2 * leastTimes {
		r.cameBack(time.Minute, 5100*time.Millisecond+time.Duration(i)*900*time.Millisecond/(2*leastTimes), now)
	}
	return r
}

func TestCallersWhoCameBackBringLess(t *testing.T) {
	now := time.Now()
	r := learned(now)
	r.refused(now)
	for brings, want := range map[time.Duration]bool{4400 * time.Millisecond: true, 5300 * time.Millisecond: false, 5900 * time.Millisecond: false, 0: false} {
		if got := r.cameBack(time.Minute, brings, now); got != want {
			t.Errorf("a caller that brings %s came back: %t", brings, got)
		}
	}
	if r.cameBack(time.Second, 400*time.Millisecond, now) {
		t.Error("a caller of a route that nothing is known of came back")
	}
}

// While nobody is refused callers that bring less are others, and their times are
// learned.
func TestCallersOfACalmTimeDidNotComeBack(t *testing.T) {
	now := time.Now()
	r := learned(now)
	r.refused(now)
	now = now.Add(calmAfter + time.Second)
	for range rememberedTimes {
		if r.cameBack(time.Minute, 2*time.Second, now) {
			t.Fatal("a caller came back although nobody was refused")
		}
	}
	r.refused(now)
	if r.cameBack(time.Minute, 2100*time.Millisecond, now) {
		t.Fatal("what all callers bring is still taken for having come back")
	}
}
