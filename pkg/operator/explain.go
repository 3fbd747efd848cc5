// ================================================================
// The command explain: shows the outcome of requests and its cause, from the logs of all processes.
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

// maxBackendsShown is the maximum number of backend servers in a summary.
const maxBackendsShown = 8

var explainCommand = subcommand{
	name:    "explain FILE",
	summary: "Explain from the logs of all processes why requests were late, refused or interrupted",
	example: "  cat /var/log/tidepost/*.log > all.log\n  tidepost explain all.log --span 10s\n  tidepost explain all.log --request 9c41d07be2a35f68\n  tidepost explain all.log --sizes",
	build:   buildExplain,
}

func buildExplain(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.ExactArgs(1)
	span := c.Flags().Duration("span", 2*time.Second, "length of the time spans by which requests are counted")
	id := c.Flags().String("request", "", "show the history of this request and the cause of its outcome; -o json includes the log lines")
	sizes := c.Flags().Bool("sizes", false, "show how often requests are served by their size, in tenths of the requests of each route")
	return func(_ context.Context, arguments []string) error {
		return runExplain(s, arguments[0], *span, *id, *sizes)
	}
}

func runExplain(s *client, path string, span time.Duration, id string, sizes bool) error {
	if span <= 0 {
		return failure.New(failure.BadRequest, "--span is %s; it must be above 0", span)
	}
	f, err := os.Open(path)
	if err != nil {
		return failure.New(failure.BadDocument, "%v", err)
	}
	defer f.Close()
	if id != "" {
		history, err := explain.Request(f, id)
		if err != nil {
			return failure.New(failure.BadDocument, "%s: %v", path, err)
		}
		return showHistory(s, path, id, history)
	}
	if sizes {
		routes, err := explain.Sizes(f)
		if err != nil {
			return failure.New(failure.BadDocument, "%s: %v", path, err)
		}
		return showSizes(s, path, routes)
	}
	summary, err := explain.Summarize(f, span)
	if err != nil {
		return failure.New(failure.BadDocument, "%s: %v", path, err)
	}
	return showSummary(s, path, summary)
}

func showHistory(s *client, path, id string, history explain.History) error {
	if len(history.Steps) == 0 {
		return failure.New(failure.BadDocument, "%s has no log line about request %q", path, id)
	}
	r := report{columns: []string{"at", "process", "what happened"}, data: history, notes: []string{"cause: " + history.Cause}}
	for _, step := range history.Steps {
		r.rows = append(r.rows, []string{step.At.Format("15:04:05.000"), step.Process, step.Says})
	}
	return s.show(r)
}

func showSizes(s *client, path string, routes []explain.RouteSizes) error {
	if len(routes) == 0 {
		return failure.New(failure.BadDocument, "%s has too few log lines about requests with a size", path)
	}
	r := report{columns: []string{"route", "by", "requests", "served"}, data: routes}
	for i := range routes[0].Classes {
		r.columns = append(r.columns, strconv.Itoa(i+1))
	}
	r.columns = append(r.columns, "largest/all", "of tries")
	r.notes = []string{"1 to 10: the share that was served of each tenth of the requests, the smallest first; of tries: largest/all if each try of a caller counts"}
	for _, route := range routes {
		row := []string{route.Route, route.By, strconv.Itoa(route.All.Requests), formatShare(route.All.Share())}
		for _, c := range route.Classes {
			row = append(row, formatShare(c.Share()))
		}
		r.rows = append(r.rows, append(row, formatShare(route.LargestRatio(explain.SizeClass.Share)), formatShare(route.LargestRatio(explain.SizeClass.TryShare))))
	}
	return s.show(r)
}

// formatShare formats a share with two decimals.
func formatShare(share float64) string { return strconv.FormatFloat(share, 'f', 2, 64) }

func showSummary(s *client, path string, summary explain.Summary) error {
	if len(summary.Spans) == 0 {
		return failure.New(failure.BadDocument, "%s has no log line of a gateway about a request", path)
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

// usedCauses returns the causes that occur in a summary. The others have no column in the table, so
// that it stays narrow.
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

func counts(perCause map[explain.Cause]int, shown []explain.Cause) []string {
	var cells []string
	for _, c := range shown {
		cells = append(cells, strconv.Itoa(perCause[c]))
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
