// ================================================================
// The history of one request: each log line about it as a sentence, oldest first, and the cause of
// its outcome. Each cause is a rule over all lines of the request; the first rule that matches decides.
// If none matches, the rules of causes.go decide by the last line alone, as in a summary.
// ================================================================

package explain

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

// Step is one log line about a request. The JSON and YAML output of explain has these field names.
type Step struct {
	At      time.Time
	Process string
	// Says describes what happened.
	Says string
	// Text is the log line.
	Text string
}

// History is what the logs contain about one request. The JSON and YAML output of explain has these
// field names.
type History struct {
	Steps []Step
	// Cause is the cause of its outcome; "" if no log line is about the request.
	Cause string
}

// Request returns the history of a request. It has no steps if no log line is about the request.
func Request(r io.Reader, id string) (History, error) {
	var lines []line
	err := readLines(r, func(l line) {
		if l.Request == id {
			lines = append(lines, l)
		}
	})
	if err != nil || len(lines) == 0 {
		return History{}, err
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	h := History{Cause: causeOfHistory(lines)}
	for _, l := range lines {
		h.Steps = append(h.Steps, Step{l.At, l.Process, l.describe(), l.text})
	}
	return h, nil
}

// attemptEndTexts describes each result of an attempt. %s stands for the backend server.
var attemptEndTexts = map[string]string{
	"unreachable": "%s was unreachable, and nothing was sent",
	"broken":      "the connection to %s broke",
	"silent":      "the connection to %s was silent, and the gateway gave up the attempt",
	"lapsed":      "the gateway withdrew it from %s, whose weight version expires",
	"cut":         "an order to change weights interrupted it at %s",
	"refused":     "%s refused it",
	"elsewhere":   "another backend server now has the address of %s",
	"failed":      "it failed at %s",
	"not allowed": "it was chosen for %s, which may not receive it any more",
}

// requestEndTexts describes each outcome of a request. %s stands for the backend server.
var requestEndTexts = map[string]string{
	"served":    "%s answered it",
	"failed":    "the failure of %s was returned to the caller",
	"broken":    "its stream broke off, last at %s",
	"refused":   "it was refused",
	"gone":      "its caller had disconnected",
	"stopped":   "its gateway aborted it at the end of a planned stop, at %s",
	"unwritten": "its response could not be written to the caller",
}

// describe returns the line as a sentence; the message alone for messages other than attempt and
// request.
func (l line) describe() string {
	switch l.Message {
	case "attempt":
		return fmt.Sprintf("%s (%s)", l.withBackend(attemptEndTexts[l.End], l.End), l.Why)
	case "request":
		return fmt.Sprintf("%s, %s after it arrived%s (%s)", l.withBackend(requestEndTexts[l.Outcome], l.Outcome), seconds(l.Ms), l.timings(), l.Why)
	}
	return l.Message
}

// withBackend inserts the backend server into a text. If the text is empty, it returns fallback.
func (l line) withBackend(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return strings.Replace(text, "%s", l.Backend, 1)
}

// timings returns a text with the time of the first byte and the longest pause, as far as the line
// has them.
func (l line) timings() string {
	text := ""
	if l.FirstMs > 0 {
		text += ", its first byte after " + seconds(l.FirstMs)
	}
	if l.PauseMs > 0 {
		text += ", its longest pause " + seconds(l.PauseMs)
	}
	return text
}

func seconds(ms int64) string { return fmt.Sprintf("%.2f s", float64(ms)/1000) }

// ----------------------------------------------------------------
// The cause of its outcome

// historyLines are the lines of one request.
type historyLines struct {
	end      line   // the line about its end; zero if there is none
	attempts []line // the attempts that did not answer it
}

// historyRule is a cause with the condition under which it applies.
type historyRule struct {
	cause   string
	matches func(historyLines) bool
}

// historyRules are the rules in order of precedence.
var historyRules = []historyRule{
	{"no log line about its end: its gateway was killed, or the log of that gateway is missing", func(s historyLines) bool { return s.end.Message == "" }},
	{"its key belongs to no organisation: it was never valid, or it was revoked", refusedWith(failure.UnknownKey)},
	{"no route matches its host and path", refusedWith(failure.UnknownRoute)},
	{"no backend server in service may receive it: the allowed regions of its route or organisation have none, or their failure domains are evacuated", refusedWith(failure.NotAllowed)},
	{"the rate limits of the backend servers were used up", func(s historyLines) bool { return s.end.Outcome == "refused" && s.end.Limited }},
	{"no backend server served the target version, or none served at all", func(s historyLines) bool {
		return refusedWith(failure.Overloaded)(s) && strings.Contains(s.end.Why, "serves now")
	}},
	{"load: every backend server was full", func(s historyLines) bool {
		return refusedWith(failure.Overloaded)(s) && strings.Contains(s.end.Why, "is full")
	}},
	{"its deadline: no response came in time", func(s historyLines) bool { return strings.Contains(s.end.Why, "no answer in time") }},
	{"the retry budget was used up when it had to be sent again", func(s historyLines) bool { return strings.Contains(s.end.Why, "the budget of repeats is used up") }},
	{"its backend server interrupted it, and it could not be resumed elsewhere", func(s historyLines) bool { return s.end.Outcome == "broken" }},
	{"late: a rollout of weights interrupted or withdrew it, and it continued elsewhere", func(s historyLines) bool {
		return s.end.Outcome == "served" && (s.end.isLate() || s.end.isPaused()) && s.hasAttemptEnd("cut", "lapsed")
	}},
	{"resumed: its stream broke off and was resumed elsewhere after the last event", func(s historyLines) bool {
		return s.end.Outcome == "served" && len(s.attempts) > 0 && s.end.PauseMs > 0 && s.end.arrivedAt().Add(time.Duration(s.end.FirstMs)*time.Millisecond).Before(s.attempts[0].At)
	}},
	{"retried: it was sent again before its response began", func(s historyLines) bool { return s.end.Outcome == "served" && len(s.attempts) > 0 }},
}

// refusedWith returns a condition that reports whether the request was refused with a kind of failure.
func refusedWith(k failure.Kind) func(historyLines) bool {
	return func(s historyLines) bool { return s.end.isRefusedWith(k) }
}

// hasAttemptEnd reports whether an attempt had one of the given results.
func (s historyLines) hasAttemptEnd(ends ...string) bool {
	for _, a := range s.attempts {
		for _, end := range ends {
			if a.End == end {
				return true
			}
		}
	}
	return false
}

// causeOfHistory returns the cause of a request's outcome from all its lines.
func causeOfHistory(lines []line) string {
	var s historyLines
	for _, l := range lines {
		switch l.Message {
		case "request":
			s.end = l
		case "attempt":
			s.attempts = append(s.attempts, l)
		}
	}
	for _, c := range historyRules {
		if c.matches(s) {
			return c.cause
		}
	}
	return Describe(causeOf(s.end))
}
