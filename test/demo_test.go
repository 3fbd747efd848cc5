// ================================================================
// Runs the demo script: undisturbed, and with each agent killed during distribution.
// ================================================================

package test

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// demoBasePort is the first port of the test's runs, which are 100 ports apart. They run in parallel
// and must not collide with each other or with a demo started by hand.
const demoBasePort = 19000

func TestDemoEndsReadyWithAnyAgentKilled(t *testing.T) {
	for killed := 0; killed <= 3; killed++ {
		t.Run(fmt.Sprintf("kill_%d", killed), func(t *testing.T) {
			t.Parallel()
			command := exec.Command("../scripts/demo.sh")
			command.Env = append(os.Environ(),
				"BIN="+binaries, fmt.Sprintf("DEMO_PORT=%d", demoBasePort+100*killed))
			expected := "ready=3/3"
			if killed > 0 {
				command.Env = append(command.Env, fmt.Sprintf("DEMO_KILL_AGENT=%d", killed))
				expected = "ready=2/2"
			}
			output, err := command.CombinedOutput()
			if err != nil || !strings.Contains(string(output), "demo: ok "+expected) {
				t.Fatalf("%v\n%s", err, output)
			}
		})
	}
}
