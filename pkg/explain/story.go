// ================================================================
// One request's story: each line about it as a sentence, oldest first, and at the end the
// cause of how it ended. A cause is a rule over all its lines; the first that holds counts.
// What is only in the last line, as in a summary, is asked of causes.go.
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

// Step is one line about a request.
type Step struct {
	At      time.Time
	Process string
	// Says is what happened, as a sentence.
	Says string
	// Text is the line as it was logged.
	Text string
}

// History is what the logs say of one request.
type History struct {
	Steps []Step
	// Cause is why it ended as it did; "" where there is no line of it.
	Cause string
}

// Request returns the story of a request.
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
	s := History{Cause: causeOfHistory(lines)}
	for _, l := range lines {
		s.Steps = append(s.Steps, Step{l.At, l.Process, l.describe(), l.text})
	}
	return s, nil
}

// attemptEndTexts says for each end of an attempt what it means; the backend server goes into it.
var attemptEndTexts = map[string]string{
	"unreachable": "%s could not be reached, and nothing was sent",
	"broken":      "the attempt at %s broke",
	"silent":      "the connection to %s was silent, and the attempt was given up",
	"lapsed":      "it was taken back from %s, where the version of the weights lapses",
	"cut":         "an order for weights cut it at %s",
	"refused":     "%s turned it away",
	"elsewhere":   "another backend server has the address of %s",
	"failed":      "%s failed it",
}

// requestEndTexts says the same for each outcome of a request.
var requestEndTexts = map[string]string{
	"served":    "%s answered it",
	"failed":    "the failure of %s was passed on",
	"broken":    "its stream ended midway, last at %s",
	"refused":   "it was refused",
	"gone":      "its caller had left",
	"stopped":   "its gateway cut it at the end of its planned stop, at %s",
	"unwritten": "its answer could not be written",
}

// describe is the line as a sentence; the message alone where it is of no known kind.
func (l line) describe() string {
	switch l.Message {
	case "attempt":
		return fmt.Sprintf("%s (%s)", l.withBackend(attemptEndTexts[l.End], l.End), l.Why)
	case "request":
		return fmt.Sprintf("%s, %s after it came%s (%s)", l.withBackend(requestEndTexts[l.Outcome], l.Outcome), seconds(l.Ms), l.timings(), l.Why)
	}
	return l.Message
}

// withBackend puts the backend server into a phrase that has a place for it.
func (l line) withBackend(phrase, otherwise string) string {
	if phrase == "" {
		return otherwise
	}
	return strings.Replace(phrase, "%s", l.Backend, 1)
}

// timings are the first event and the longest pause, where there are any.
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
// Its cause

// historyLines are the lines of one request, by what they tell.
type historyLines struct {
	end      line   // the line of its end; zero where there is none
	attempts []line // that did not answer it
}

// historyRule is one rule.
type historyRule struct {
	cause   string
	matches func(historyLines) bool
}

// historyRules is the table, in the order in which the rules are asked.
var historyRules = []historyRule{
	{"no line tells its end: its gateway was killed, or that log is missing here", func(s historyLines) bool { return s.end.Message == "" }},
	{"its key is no organisation's: it was never valid, or is revoked", refusedWith(failure.UnknownKey)},
	{"no route has its host and path", refusedWith(failure.UnknownRoute)},
	{"limits that backend servers name were used up", func(s historyLines) bool { return s.end.Outcome == "refused" && s.end.Limited }},
	{"no backend server served the version that is due, or none served at all", func(s historyLines) bool {
		return refusedWith(failure.Overloaded)(s) && strings.Contains(s.end.Why, "serves now")
	}},
	{"load: every backend server was full", func(s historyLines) bool {
		return refusedWith(failure.Overloaded)(s) && strings.Contains(s.end.Why, "is full")
	}},
	{"its deadline: no answer came in time", func(s historyLines) bool { return strings.Contains(s.end.Why, "no answer in time") }},
	{"the budget of repeats was used up when it had to be sent again", func(s historyLines) bool { return strings.Contains(s.end.Why, "the budget of repeats is used up") }},
	{"its backend server cut it, and it could not go on elsewhere", func(s historyLines) bool { return s.end.Outcome == "broken" }},
	{"late: a roll of weights cut it or took it back, and it went on elsewhere", func(s historyLines) bool {
		return s.end.Outcome == "served" && (s.end.isLate() || s.end.isPaused()) && s.hasAttemptEnd("cut", "lapsed")
	}},
	{"resumed: its stream broke off and went on elsewhere behind the last event", func(s historyLines) bool {
		return s.end.Outcome == "served" && len(s.attempts) > 0 && s.end.PauseMs > 0 && s.end.arrivedAt().Add(time.Duration(s.end.FirstMs)*time.Millisecond).Before(s.attempts[0].At)
	}},
	{"retried: it was sent again before its answer began", func(s historyLines) bool { return s.end.Outcome == "served" && len(s.attempts) > 0 }},
}

// refusedWith tells whether the request was refused for a kind of failure.
func refusedWith(k failure.Kind) func(historyLines) bool {
	return func(s historyLines) bool {
		return s.end.Outcome == "refused" && strings.HasPrefix(s.end.Why, string(k)+":")
	}
}

// hasAttemptEnd tells whether an attempt ended in one of some ways.
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

// causeOfHistory returns the cause of how a request ended.
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
