// ================================================================
// The summary of many requests: their causes by time span and by backend server, and the number of
// other events in each time span, such as orders to engines, completed copies and lost control nodes.
// ================================================================

package explain

import (
	"io"
	"slices"
	"sort"
	"time"
)

// Span counts what happened within a time span.
type Span struct {
	// From is the start of the span, relative to the arrival of the first request.
	From time.Duration
	// Causes counts the requests that arrived within the span, by cause.
	Causes map[Cause]int
	// Events counts the lines with a message in countedMessages.
	Events map[string]int
}

// Backend counts the requests whose last attempt was at one backend server, by cause.
type Backend struct {
	Name   string
	Causes map[Cause]int
}

// Summary is the evaluation of a set of logs. The JSON and YAML output of explain has the field names
// of Summary, Span and Backend.
type Summary struct {
	Spans    []Span
	Backends []Backend
}

// countedMessages are the messages of other events that a span counts.
var countedMessages = []string{
	"order given", "copy complete", "control node lost", "backend server out of reach", "configuration in force", "started", "stopping",
}

// Summarize reads logs and counts requests and events in spans of the given length, which must be
// above 0. The summary is empty if the logs contain no request.
func Summarize(r io.Reader, length time.Duration) (Summary, error) {
	var requests, others []line
	err := readLines(r, func(l line) {
		switch {
		case l.Message == "request":
			requests = append(requests, l)
		case slices.Contains(countedMessages, l.Message):
			others = append(others, l)
		}
	})
	if err != nil || len(requests) == 0 {
		return Summary{}, err
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].arrivedAt().Before(requests[j].arrivedAt()) })
	start := requests[0].arrivedAt()
	spans := map[int]*Span{}
	at := func(t time.Time) *Span {
		number := int(t.Sub(start) / length)
		if spans[number] == nil {
			spans[number] = &Span{From: time.Duration(number) * length, Causes: map[Cause]int{}, Events: map[string]int{}}
		}
		return spans[number]
	}
	backends := map[string]*Backend{}
	for _, l := range requests {
		c := causeOf(l)
		at(l.arrivedAt()).Causes[c]++
		if l.Backend == "" {
			continue
		}
		if backends[l.Backend] == nil {
			backends[l.Backend] = &Backend{l.Backend, map[Cause]int{}}
		}
		backends[l.Backend].Causes[c]++
	}
	for _, l := range others {
		if !l.At.Before(start) {
			at(l.At).Events[l.Message]++
		}
	}
	return Summary{sortedSpans(spans), sortedBackends(backends)}, nil
}

func sortedSpans(spans map[int]*Span) []Span {
	var all []Span
	for _, s := range spans {
		all = append(all, *s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].From < all[j].From })
	return all
}

// sortedBackends returns the backend servers with the most losses first.
func sortedBackends(backends map[string]*Backend) []Backend {
	var all []Backend
	for _, b := range backends {
		all = append(all, *b)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].losses(), all[j].losses()
		return a > b || a == b && all[i].Name < all[j].Name
	})
	return all
}

// losses returns how many requests were lost or late.
func (b Backend) losses() int {
	lost := 0
	for c, n := range b.Causes {
		if c != causeServed && c != causeGone {
			lost += n
		}
	}
	return lost
}
