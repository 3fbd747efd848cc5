package gateway

import (
	"testing"
	"time"
)

// A standby that has taken over is not replaced, although the attempt that it replaced may not have noticed
// yet: its run would be left at the engine, and the older attempt relayed on.
func TestStandbyThatTookOverIsNotReplaced(t *testing.T) {
	now := time.Now()
	s := &standby{started: now.Add(-time.Minute), sent: true, done: make(chan struct{})}
	close(s.done)
	slot := &standbyTracker{receiving: true, current: s}
	for state, replaced := range map[standbyState]bool{standbyPending: true, standbyTookOver: false, standbyCanceled: true} {
		s.state.Store(state)
		if slot.allowsLocked(now) != replaced {
			t.Errorf("state %d: replaced: %t", state, !replaced)
		}
	}
}

// A standby that is ended as its first event arrives leaves the running attempt alone, and does not wait for
// its request to end.
func TestAbandonedStandbyEnds(t *testing.T) {
	x, _ := newWaitingAttempt(t, streamAfter(0))
	x.abandonWait()
	s, ended := &standby{request: x.request}, make(chan bool)
	go func() { ended <- s.begin(x) }()
	select {
	case tookOver := <-ended:
		if tookOver || s.state.Load() != standbyPending {
			t.Error("the standby took over")
		}
	case <-time.After(time.Minute):
		t.Fatal("the standby waits")
	}
}
