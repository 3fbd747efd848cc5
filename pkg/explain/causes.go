// ================================================================
// The cause of a request's outcome. Each cause is a rule over the log line that a gateway writes at
// the end of a request; the first rule that matches decides.
// ================================================================

package explain

import (
	"strings"

	"github.com/tidepost/tidepost/pkg/failure"
)

// Cause names the outcome of a request, or why it was late.
type Cause string

// The causes that do not count as losses of a backend server.
const (
	causeServed Cause = "served"
	causeGone   Cause = "gone"
)

// maxHeldShare is the share of the objective for which a gateway may hold a request before it counts
// as the cause of a late response. The remaining time is enough for most requests.
const maxHeldShare = 0.15

// causeRule is a cause with the condition under which it applies.
type causeRule struct {
	name        Cause
	description string
	matches     func(line) bool
}

// causeRules are the rules in order of precedence.
var causeRules = []causeRule{
	{"limited", "the gateway refused it: the rate limits of its backend servers were used up", func(l line) bool { return l.Outcome == "refused" && l.Limited }},
	{"not allowed", "the gateway refused it: no backend server in service may receive it, by its allowed regions or for evacuations", func(l line) bool { return l.isRefusedWith(failure.NotAllowed) }},
	{"refused", "the gateway refused it", hasOutcome("refused")},
	{"broken", "its stream broke off and could not be resumed", hasOutcome("broken")},
	{"stopped", "its gateway aborted it: the time limit of the planned stop passed", hasOutcome("stopped")},
	{"unwritten", "its response was ready but could not be written to the caller", hasOutcome("unwritten")},
	{"failed", "it failed at its backend server", hasOutcome("failed")},
	{causeGone, "the caller disconnected", hasOutcome("gone")},
	{"resent", "late: its first byte came after it was sent again, to another backend server", func(l line) bool { return l.isLate() && l.Sent > 1 }},
	{"held", "late: the gateway sent it late, because of failed dials or a slow request body", func(l line) bool {
		return l.isLate() && float64(l.SentMs) > maxHeldShare*float64(l.ObjectiveMs)
	}},
	{"queued", "late: its first byte took too long at the backend server", line.isLate},
	{"cut", "paused: its stream was resumed at another backend server", func(l line) bool { return l.isPaused() && l.Sent > 1 }},
	{"paused", "paused: the pause between two events was too long", line.isPaused},
	{causeServed, "answered in time, as measured by the gateway", hasOutcome("served")},
}

func hasOutcome(outcome string) func(line) bool {
	return func(l line) bool { return l.Outcome == outcome }
}

// isRefusedWith reports whether the gateway refused the request with a kind of failure.
func (l line) isRefusedWith(k failure.Kind) bool {
	return l.Outcome == "refused" && strings.HasPrefix(l.Why, string(k)+":")
}

// isLate reports whether the first byte of the response missed the route's objective.
func (l line) isLate() bool { return l.ObjectiveMs > 0 && l.FirstMs > l.ObjectiveMs }

// isPaused reports whether a pause of the stream exceeded the route's objective.
func (l line) isPaused() bool { return l.PauseObjectiveMs > 0 && l.PauseMs > l.PauseObjectiveMs }

// causeOf returns the cause of a request's outcome; "" if no rule matches.
func causeOf(l line) Cause {
	for _, c := range causeRules {
		if c.matches(l) {
			return c.name
		}
	}
	return ""
}

// Causes returns the names of all causes in order of precedence.
func Causes() []Cause {
	var names []Cause
	for _, c := range causeRules {
		names = append(names, c.name)
	}
	return names
}

// Describe returns what a cause means; "" for an unknown one.
func Describe(name Cause) string {
	for _, c := range causeRules {
		if c.name == name {
			return c.description
		}
	}
	return ""
}
