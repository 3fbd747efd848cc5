// ================================================================
// The command timeline: shows the events of all processes in one order. The entries return the
// addresses of the processes, and each process returns the events that it keeps in memory. The output
// names the processes that cannot be reached, since their events are missing.
// ================================================================

package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
)

var timelineCommand = subcommand{
	name:    "timeline",
	summary: "Show the events of all processes in one order",
	example: "  tidepost timeline --since 5m\n  tidepost timeline --subject 3f2a91c07be4\n  tidepost timeline -o jsonl > run.jsonl",
	build:   buildTimeline,
}

// timelineOptions are the flags of timeline.
type timelineOptions struct {
	since   time.Duration
	subject string
	kind    string
}

func buildTimeline(c *cobra.Command, s *client) func(context.Context, []string) error {
	var o timelineOptions
	c.Args = cobra.NoArgs
	c.Flags().DurationVar(&o.since, "since", time.Hour, "how far back to look")
	c.Flags().StringVar(&o.subject, "subject", "", "only events about this VM, digest or request")
	c.Flags().StringVar(&o.kind, "kind", "", "only events of this kind")
	return func(ctx context.Context, _ []string) error { return runTimeline(ctx, s, o) }
}

func runTimeline(ctx context.Context, s *client, o timelineOptions) error {
	addresses, err := s.processAddresses(ctx)
	if err != nil {
		return err
	}
	q := contract.NewTimelineQuery(event.NewStamp(time.Now().Add(-o.since).UnixMilli(), 0))
	var events []event.Event
	var notes []string
	for name, address := range addresses {
		var t contract.Timeline
		if err := s.endpoint.Call(ctx, address, link.KindTimeline, q, &t); err != nil {
			notes = append(notes, fmt.Sprintf("%s at %s is unreachable; its events are missing", name, address))
			continue
		}
		events = append(events, t.Events()...)
	}
	return s.show(timelineReport(selectEvents(events, o), notes))
}

// processAddresses returns the link addresses of the entries, and of the processes whose heartbeats
// they receive, by name.
func (s *client) processAddresses(ctx context.Context) (map[string]string, error) {
	addresses := map[string]string{}
	var lastErr error
	for _, entry := range s.entries {
		status, err := s.statusOf(ctx, entry)
		if err != nil {
			lastErr = err
			continue
		}
		addresses[string(status.Entry().ID())] = entry
		for _, a := range status.Agents() {
			addresses[string(a.LastHeartbeat().From().ID())] = a.LastHeartbeat().From().Address()
		}
		for _, b := range status.Entries() {
			addresses[string(b.From().ID())] = b.From().Address()
		}
	}
	if len(addresses) == 0 && lastErr == nil {
		_, lastErr = s.open()
	}
	if len(addresses) == 0 {
		return nil, lastErr
	}
	return addresses, nil
}

// selectEvents returns the events that match the options, in order.
func selectEvents(events []event.Event, o timelineOptions) []event.Event {
	selected := []event.Event{}
	for _, e := range events {
		if (o.subject == "" || e.Subject() == o.subject) && (o.kind == "" || string(e.Kind()) == o.kind) {
			selected = append(selected, e)
		}
	}
	event.Sort(selected)
	return selected
}

func timelineReport(events []event.Event, notes []string) report {
	r := report{columns: []string{"TIME", "PROCESS", "EVENT", "SUBJECT", "DETAIL"}, notes: notes}
	views := make([]any, 0, len(events))
	for _, e := range events {
		r.rows = append(r.rows, []string{
			e.Stamp().Time().UTC().Format("15:04:05.000"), e.Process(), string(e.Kind()), e.Subject(), e.Detail(),
		})
		views = append(views, eventView(e))
	}
	r.data = views
	return r
}

// eventView returns the fields of an event's JSON form. The YAML output has the same fields that way.
func eventView(e event.Event) any {
	var view any
	raw, err := json.Marshal(e)
	if err == nil {
		err = json.Unmarshal(raw, &view)
	}
	if err != nil {
		return err.Error()
	}
	return view
}
