// ================================================================
// Output of the subcommands in the formats of --output.
// ================================================================

package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gopkg.in/yaml.v3"
)

// report is the output of a subcommand.
type report struct {
	// columns and rows are the output as a table.
	columns []string
	rows    [][]string
	// notes are the lines below the table. JSON and YAML omit them.
	notes []string
	// data is the output as JSON and YAML.
	data any
}

// formatters has a writer for each value of --output.
var formatters = map[string]func(io.Writer, report) error{
	"table": writeTable,
	"json":  writeJSON,
	"yaml":  writeYAML,
	"jsonl": writeJSONLines,
}

func (s *client) show(r report) error { return formatters[s.format](s.out, r) }

func writeTable(w io.Writer, r report) error {
	if len(r.columns) > 0 {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, strings.Join(r.columns, "\t"))
		for _, row := range r.rows {
			_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	for _, n := range r.notes {
		if _, err := fmt.Fprintln(w, n); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(w io.Writer, r report) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r.data)
}

// writeJSONLines writes each element of a list on its own line, which is the format of a timeline
// file. Other data is written as one line.
func writeJSONLines(w io.Writer, r report) error {
	e := json.NewEncoder(w)
	list, ok := r.data.([]any)
	if !ok {
		return e.Encode(r.data)
	}
	for _, item := range list {
		if err := e.Encode(item); err != nil {
			return err
		}
	}
	return nil
}

func writeYAML(w io.Writer, r report) error {
	e := yaml.NewEncoder(w)
	e.SetIndent(2)
	return e.Encode(r.data)
}
