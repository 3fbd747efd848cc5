package bubble

import (
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/hashicorp/yamux"
)

// A test that failed in its bubble made the next bubble abort the process with `fatal error: select
// on synctest channel from outside bubble`, in yamux's waitForSendErr, which hid the failure itself.
// t.Fatal ends the goroutine of the test without a return, so the pools must be emptied by a deferred
// call.
func TestBubbleThatFailsLeavesNoTimers(t *testing.T) {
	run := exec.Command(os.Args[0], "-test.run=^(TestHelperFailsInBubble|TestHelperAfterFailure)$", "-test.v")
	run.Env = append(os.Environ(), helperTestsVariable+"=1")
	raw, err := run.CombinedOutput()
	output := string(raw)
	if err == nil || !strings.Contains(output, "--- FAIL: TestHelperFailsInBubble") {
		t.Fatalf("the failing helper test did not fail: %v\n%s", err, output)
	}
	if !strings.Contains(output, "--- PASS: TestHelperAfterFailure") {
		t.Errorf("the helper test after the failed one did not pass:\n%s", output)
	}
}

// helperTestsVariable enables the helper tests, which TestBubbleThatFailsLeavesNoTimers runs in a
// child process. They are skipped otherwise.
const helperTestsVariable = "TIDEPOST_BUBBLE_PLAYS"

func TestHelperFailsInBubble(t *testing.T) {
	runHelperTest(t, func(t *testing.T) { t.Fatal("intended failure") })
}

func TestHelperAfterFailure(t *testing.T) {
	runHelperTest(t, func(*testing.T) {})
}

// runHelperTest opens streams over a yamux connection in a bubble, which creates pooled timers, and
// then calls after.
func runHelperTest(t *testing.T, after func(t *testing.T)) {
	if os.Getenv(helperTestsVariable) == "" {
		t.Skip("run by TestBubbleThatFailsLeavesNoTimers")
	}
	Run(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := yamux.DefaultConfig()
		c.LogOutput = io.Discard
		c.EnableKeepAlive = false
		server, err := yamux.Server(far, c)
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		client, err := yamux.Client(near, c)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		for range 32 {
			if _, err := client.Open(); err != nil {
				t.Fatal(err)
			}
		}
		after(t)
	})
}
