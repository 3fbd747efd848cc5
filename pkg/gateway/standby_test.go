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
	slot := &standbySlot{receiving: true, current: s}
	for state, replaced := range map[standbyState]bool{standbyPending: true, standbyTookOver: false, standbyCanceled: true} {
		s.state.Store(state)
		if slot.allowsLocked(now) != replaced {
			t.Errorf("state %d: replaced: %t", state, !replaced)
		}
	}
}
