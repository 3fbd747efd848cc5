// ================================================================
// The command replay: checks a recorded timeline against the invariants of pkg/replay.
// ================================================================

package operator

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/replay"
)

var replayCommand = subcommand{
	name:    "replay FILE",
	summary: "Check a recorded timeline against the invariants, and against the outcome that it states",
	example: "  tidepost timeline -o jsonl > run.jsonl\n  tidepost replay run.jsonl",
	build:   buildReplay,
}

func buildReplay(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.ExactArgs(1)
	return func(_ context.Context, arguments []string) error { return runReplay(s, arguments[0]) }
}

func runReplay(s *client, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return failure.New(failure.BadDocument, "%v", err)
	}
	defer f.Close()
	got, stated, err := replay.Run(f)
	if err != nil {
		return err
	}
	note := fmt.Sprintf("%d events: %s", got.Events, got.Outcome)
	if got.Outcome == replay.Broken {
		note += fmt.Sprintf(", %s: %s", got.Rule, got.Detail)
	}
	if err := s.show(report{notes: []string{note}, data: got}); err != nil {
		return err
	}
	expected := replay.Outcome{Outcome: replay.Holds}
	if stated != nil {
		expected = *stated
	}
	if !got.Agrees(expected) {
		return fmt.Errorf("%s states %q %s; read the events before the reported one, for instance with `tidepost timeline`", path, expected.Outcome, expected.Rule)
	}
	return nil
}
