// ================================================================
// explain: what became of requests, from the logs of all processes.
// ================================================================

package operator

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/explain"
	"github.com/tidepost/tidepost/pkg/failure"
)

// maxBackendsShown bounds the backend servers that are shown.
const maxBackendsShown = 8

var explainCommand = subcommand{
	name:    "explain FILE",
	summary: "Say from the logs of all processes why requests were late, refused or broken off",
	example: "  cat /var/log/tidepost/*.log > all.log\n  tidepost explain all.log --span 10s\n  tidepost explain all.log --request 9c41d07be2a35f68",
	build:   buildExplain,
}

func buildExplain(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.ExactArgs(1)
	span := c.Flags().Duration("span", 2*time.Second, "length of the spans that requests are added up by")
	id := c.Flags().String("request", "", "tell this request's story and the cause of its end; -o json has the lines too")
	return func(_ context.Context, arguments []string) error { return runExplain(s, arguments[0], *span, *id) }
}

func runExplain(s *client, path string, span time.Duration, id string) error {
	if span <= 0 {
		return failure.New(failure.BadRequest, "--span is %s; give one above 0", span)
	}
	f, err := os.Open(path)
	if err != nil {
		return failure.New(failure.BadDocument, "%v", err)
	}
	defer f.Close()
	if id != "" {
		story, err := explain.Request(f, id)
		if err != nil {
			return failure.New(failure.BadDocument, "%s: %v", path, err)
		}
		return showHistory(s, path, id, story)
	}
	summary, err := explain.Summarize(f, span)
	if err != nil {
		return failure.New(failure.BadDocument, "%s: %v", path, err)
	}
	return showSummary(s, path, summary)
}

func showHistory(s *client, path, id string, story explain.History) error {
	if len(story.Steps) == 0 {
		return failure.New(failure.BadDocument, "%s has no line of request %q", path, id)
	}
	r := report{columns: []string{"at", "process", "what happened"}, data: story, notes: []string{"cause: " + story.Cause}}
	for _, step := range story.Steps {
		r.rows = append(r.rows, []string{step.At.Format("15:04:05.000"), step.Process, step.Says})
	}
	return s.show(r)
}

func showSummary(s *client, path string, summary explain.Summary) error {
	if len(summary.Spans) == 0 {
		return failure.New(failure.BadDocument, "%s has no line of a gateway's request", path)
	}
	shown := usedCauses(summary)
	r := report{columns: []string{"from_s"}, data: summary}
	for _, c := range shown {
		r.columns = append(r.columns, string(c))
		r.notes = append(r.notes, fmt.Sprintf("%s: %s", c, explain.Describe(c)))
	}
	r.columns = append(r.columns, "events")
	for _, span := range summary.Spans {
		row := []string{strconv.FormatFloat(span.From.Seconds(), 'f', -1, 64)}
		row = append(row, counts(span.Causes, shown)...)
		r.rows = append(r.rows, append(row, formatEvents(span)))
	}
	for _, b := range summary.Backends[:min(len(summary.Backends), maxBackendsShown)] {
		row := append([]string{b.Name}, counts(b.Causes, shown)...)
		r.rows = append(r.rows, append(row, ""))
	}
	return s.show(r)
}

// usedCauses are those that occur, so that the table stays narrow.
func usedCauses(summary explain.Summary) []explain.Cause {
	var used []explain.Cause
	for _, c := range explain.Causes() {
		occurs := func(span explain.Span) bool { return span.Causes[c] > 0 }
		if slices.ContainsFunc(summary.Spans, occurs) {
			used = append(used, c)
		}
	}
	return used
}

func counts(by map[explain.Cause]int, shown []explain.Cause) []string {
	var cells []string
	for _, c := range shown {
		cells = append(cells, strconv.Itoa(by[c]))
	}
	return cells
}

func formatEvents(span explain.Span) string {
	text := ""
	for _, message := range slices.Sorted(maps.Keys(span.Events)) {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d %s", span.Events[message], message)
	}
	return text
}
