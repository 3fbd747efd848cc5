package membership

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/vm"
)

func newHeartbeat(incarnation, sequence, revision uint64, draining bool) contract.Heartbeat {
	return contract.NewHeartbeat(vm.NewIdentity("agent-1", incarnation, "r", "d", "agent-1:1"), sequence, revision, nil, nil, nil,
		contract.Load{}, draining, 0, 0)
}

// The last heartbeats of a broken stream may arrive after the first ones of the next
// stream. They must not replace newer state.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(time.Second)
	if c := v.RecordHeartbeat(newHeartbeat(1, 5, 7, false), now); c != Seen {
		t.Fatalf("first: %d", c)
	}
	v.RecordHeartbeat(newHeartbeat(1, 4, 6, false), now)
	if a, _ := v.Find("agent-1"); a.LastHeartbeat.Revision() != 7 {
		t.Errorf("revision %d after a late heartbeat", a.LastHeartbeat.Revision())
	}
	if c := v.RecordHeartbeat(newHeartbeat(1, 6, 7, true), now); c != StartedLeaving {
		t.Errorf("draining: %d", c)
	}
	if n := len(v.Usable(now)); n != 0 {
		t.Errorf("%d usable", n)
	}
	if c := v.RecordHeartbeat(newHeartbeat(2, 1, 0, false), now); c != Seen || len(v.Usable(now)) != 1 {
		t.Errorf("next incarnation: %d, %d usable", c, len(v.Usable(now)))
	}
}

func TestSilentAgentIsLost(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView(time.Second)
	v.RecordHeartbeat(newHeartbeat(1, 1, 1, false), now)
	if n := len(v.Usable(now.Add(2 * time.Second))); n != 0 {
		t.Errorf("%d usable after the timeout", n)
	}
	if lost := v.Expire(now.Add(2 * time.Second)); len(lost) != 1 || lost[0] != "agent-1" {
		t.Errorf("lost %v", lost)
	}
}
