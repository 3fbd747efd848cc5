// ================================================================
// The command check: validates a document or a settings file without applying it.
// ================================================================

package operator

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/settings"
)

var checkCommand = subcommand{
	name:    "check FILE",
	summary: "Check a document, or with --as a settings file, without applying it",
	example: "  tidepost check menu.yaml\n  tidepost check --as entry entry.yaml\n  tidepost check --as agent agent.yaml",
	build:   buildCheck,
}

// checkers has a check for each value of --as.
var checkers = map[string]func(path string) error{
	"document": func(path string) error { _, err := readDocument(path); return err },
	"entry":    func(path string) error { _, err := settings.LoadEntry(path); return err },
	"agent":    func(path string) error { _, err := settings.LoadAgent(path); return err },
}

func buildCheck(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.ExactArgs(1)
	as := c.Flags().String("as", "document", "document, entry or agent")
	return func(_ context.Context, arguments []string) error {
		check := checkers[*as]
		if check == nil {
			return usageError{fmt.Errorf("--as %q is not document, entry or agent", *as)}
		}
		if err := check(arguments[0]); err != nil {
			return err
		}
		return s.show(report{notes: []string{arguments[0] + " is valid"}, data: fields("file", arguments[0], "result", "valid")})
	}
}
