package entry

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/controllog"
)

// A leader counts as seen when the state of the control log was taken that names it. While a disk hangs, that
// state stays the last one, and the configuration was sent as confirmed for as long.
func TestLeaderIsSeenAtTheTimeOfTheState(t *testing.T) {
	leader := controllog.NewMember("entry-2", 1, "10.0.0.2:7700", false, "")
	for _, test := range []struct {
		age    time.Duration
		recent bool
	}{{0, true}, {2 * leaderSeenTTL, false}} {
		var e Entry
		e.recordLeader(controllog.State{At: time.Now().Add(-test.age), Leader: leader})
		if got := e.leaderSeenRecently(); got != test.recent {
			t.Errorf("a state taken %s ago: the leader was seen recently: %t", test.age, got)
		}
	}
}
