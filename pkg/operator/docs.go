// ================================================================
// The command docs: prints the reference pages from the tables in the source, so that the pages
// cannot differ from it.
// ================================================================

package operator

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/logline"
	"github.com/tidepost/tidepost/pkg/metric"
	"github.com/tidepost/tidepost/pkg/settings"
)

var docsCommand = subcommand{
	name:    "docs PAGE",
	summary: "Print a reference page: settings, errors, metrics, logs or commands",
	example: "  tidepost docs settings > docs/SETTINGS.md",
	build:   buildDocs,
}

// referencePages has a writer for each page.
var referencePages = map[string]func(io.Writer){
	"settings": writeSettingsPage,
	"errors":   writeErrorsPage,
	"metrics":  writeMetricsPage,
	"logs":     writeLogsPage,
}

func init() {
	// In the literal above this entry would be an initialization cycle: the page of commands lists
	// all subcommands, docs among them.
	referencePages["commands"] = writeCommandsPage
}

func buildDocs(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.ExactArgs(1)
	c.ValidArgs = []string{"settings", "errors", "metrics", "logs", "commands"}
	return func(_ context.Context, arguments []string) error {
		page := referencePages[arguments[0]]
		if page == nil {
			return usageError{fmt.Errorf("page %q is not settings, errors, metrics, logs or commands", arguments[0])}
		}
		page(s.out)
		return nil
	}
}

func writeSettingsPage(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Settings\n\nPrinted by `tidepost docs settings` from the tables in `pkg/settings`.\n\n## tidepost-entry\n\n")
	writeKeys(w, settings.EntryKeys())
	_, _ = fmt.Fprint(w, "\n## tidepost-agent\n\n")
	writeKeys(w, settings.AgentKeys())
	_, _ = fmt.Fprint(w, "\n## tidepost-control\n\n")
	writeKeys(w, settings.ControlKeys())
	_, _ = fmt.Fprint(w, "\n## tidepost-gateway\n\n")
	writeKeys(w, settings.GatewayKeys())
	_, _ = fmt.Fprint(w, "\n## tidepost-stager\n\n")
	writeKeys(w, settings.StagerKeys())
}

func writeKeys[T any](w io.Writer, keys []settings.Key[T]) {
	_, _ = fmt.Fprint(w, "| key | type | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, k := range keys {
		defaultText := k.Default
		if k.Required {
			defaultText = "required"
		}
		_, _ = fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", k.Path, k.ValueKind, defaultText, k.Doc)
	}
}

func writeErrorsPage(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Errors\n\nPrinted by `tidepost docs errors` from the table in `pkg/failure`.\n\n| kind | HTTP | meaning | action |\n| --- | --- | --- | --- |\n")
	for _, d := range failure.Descriptions() {
		_, _ = fmt.Fprintf(w, "| `%s` | %d | %s | %s |\n", d.Kind, d.Status, d.Meaning, strings.ReplaceAll(d.Remedy, "|", "\\|"))
	}
}

func writeMetricsPage(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Metrics\n\nPrinted by `tidepost docs metrics` from the table in `pkg/metric`. Each process serves them\nat `/metrics` on `observe.listen`, together with those of the Go runtime.\n\n| metric | process | meaning | action |\n| --- | --- | --- | --- |\n")
	for _, r := range metric.Rows() {
		_, _ = fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", r.Name, r.Process, r.Help, r.Remedy)
	}
}

func writeLogsPage(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Log lines\n\nPrinted by `tidepost docs logs` from the table in `pkg/logline`. Lines are JSON objects with `ts`,\n`level`, `process` and `msg`; `tidepost explain FILE` analyses the lines of several processes.\n\n| `msg` | process | meaning | action |\n| --- | --- | --- | --- |\n")
	for _, r := range logline.Rows() {
		_, _ = fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", r.Message, r.Process, r.Meaning, r.Action)
	}
}

func writeCommandsPage(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Commands\n\nPrinted by `tidepost docs commands` from the commands' own help.\n")
	root := newRoot(&client{out: w})
	for _, c := range root.Commands() {
		if c.Name() == "help" || c.Name() == "completion" {
			continue
		}
		_, _ = fmt.Fprintf(w, "\n## tidepost %s\n\n%s.\n\n```\n%s\n```\n", c.Name(), c.Short, c.Example)
		if flags := c.LocalFlags().FlagUsages(); flags != "" {
			_, _ = fmt.Fprintf(w, "\n```\n%s```\n", flags)
		}
	}
	_, _ = fmt.Fprintf(w, "\n## Flags of all commands\n\n```\n%s```\n\n%s\n", root.PersistentFlags().FlagUsages(), "```\n"+exitHelp+"\n```")
}
