package entry

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/fake"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/vm"
)

func testEntry(t *testing.T, platform string) *Entry {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.yaml")
	text := fmt.Sprintf(`
vm: {name: entry-1, region: r, failure_domain: d}
peers: {listen: "127.0.0.1:7001"}
callers: {listen: "127.0.0.1:7011"}
platform: {url: "%s"}
`, platform)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.LoadEntry(path)
	if err != nil {
		t.Fatal(err)
	}
	e, err := New(s, Hooks{Hooks: daemon.Hooks{Log: io.Discard}})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func testHeartbeat(name string, incarnation, sequence uint64, draining bool) contract.Heartbeat {
	return contract.NewHeartbeat(vm.NewIdentity(vm.ID(name), incarnation, "r", "d", name+":1"), sequence, 1, nil, nil, nil,
		contract.Load{}, draining, 0, 0)
}

func usableAgents(e *Entry) int { return len(e.agents.Usable(time.Now())) }

// TestPlatformListOnlyMarksLeavingVMs covers three errors of the platform's list: it
// lags behind, it lacks a VM, and it describes the previous incarnation of a VM. None
// of them may remove a VM that sends heartbeats.
func TestPlatformListOnlyMarksLeavingVMs(t *testing.T) {
	lagging, current := fake.NewPlatform(time.Minute), fake.NewPlatform(0)
	for _, platform := range []*fake.Platform{lagging, current} {
		server := httptest.NewServer(platform.Handler())
		defer server.Close()
		e := testEntry(t, server.URL)
		e.handleHeartbeat(testHeartbeat("agent-1", 1, 1, false))
		e.handleHeartbeat(testHeartbeat("agent-2", 1, 1, false))
		if err := e.readPlatformList(context.Background()); err != nil || usableAgents(e) != 2 {
			t.Fatalf("VMs missing from the list: %d usable, %v", usableAgents(e), err)
		}
		platform.Withdraw("agent-1")
		if err := e.readPlatformList(context.Background()); err != nil {
			t.Fatal(err)
		}
		if platform == lagging {
			if usableAgents(e) != 2 {
				t.Fatalf("%d usable before the list marks the VM as leaving", usableAgents(e))
			}
			// The agent's heartbeat reports draining before the list does.
			e.handleHeartbeat(testHeartbeat("agent-1", 1, 2, true))
		}
		if usableAgents(e) != 1 {
			t.Errorf("%d usable after a withdrawal", usableAgents(e))
		}
		e.handleHeartbeat(testHeartbeat("agent-1", 1, 3, false))
		if usableAgents(e) != 1 {
			t.Error("a leaving VM is used again")
		}
		// The name is reused: a new incarnation is another VM.
		e.handleHeartbeat(testHeartbeat("agent-1", 2, 1, false))
		if usableAgents(e) != 2 {
			t.Error("a new incarnation of the VM is not used")
		}
	}
}
