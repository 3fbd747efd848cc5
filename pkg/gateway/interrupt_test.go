package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/golden"
)

// TestInterruptRules compares the complete table of interruptions with a golden file, so that a new
// or changed condition for interrupting an attempt is visible in review.
func TestInterruptRules(t *testing.T) {
	var b strings.Builder
	for _, r := range interruptRules {
		_, _ = fmt.Fprintf(&b, "%s\n", r.reason)
		for stage, name := range []string{"waiting", "resuming", "streaming"} {
			c := r.stages[stage]
			_, _ = fmt.Fprintf(&b, "  %-9s %s", name, c.name)
			if c.resumes {
				b.WriteString("; takes a retry")
			}
			b.WriteString("\n")
		}
		_, _ = fmt.Fprintf(&b, "  then      %s\n", r.outcome)
	}
	golden.Check(t, "testdata/interruptions.txt", b.String())
}
