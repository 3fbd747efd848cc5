package gateway

import (
	"fmt"
	"os"
	"strings"
	"testing"
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
	const golden = "testdata/interruptions.txt"
	if os.Getenv("TIDEPOST_UPDATE") != "" {
		if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("the table is now\n%s", b.String())
	}
}
