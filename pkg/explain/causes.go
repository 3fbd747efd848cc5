// ================================================================
// Why a request was not answered in time. Each cause is a rule over the one line
// that a gateway writes at a request's end; the first that holds counts.
// ================================================================

package explain

// Cause is what became of a request, and why it was late.
type Cause string

// The causes that are no losses.
const (
	causeServed Cause = "served"
	causeGone   Cause = "gone"
)

// maxHeldShare is for how long a request may be at a gateway before that counts as the
// cause of its lateness, as a share of the objective: what is left is enough for
// most.
const maxHeldShare = 0.15

// causeRule is one rule.
type causeRule struct {
	name        Cause
	description string
	matches     func(line) bool
}

// causeRules is the table, in the order in which the rules are asked.
var causeRules = []causeRule{
	{"limited", "the gateway refused it: its backend servers had got what they take by the limits that they name", func(l line) bool { return l.Outcome == "refused" && l.Limited }},
	{"refused", "the gateway refused it", hasOutcome("refused")},
	{"broken", "its stream broke off and could not go on", hasOutcome("broken")},
	{"stopped", "its gateway cut it: the time for its planned stop was over", hasOutcome("stopped")},
	{"unwritten", "its answer was ready and could not be written", hasOutcome("unwritten")},
	{"failed", "its backend server failed it", hasOutcome("failed")},
	{causeGone, "the caller left", hasOutcome("gone")},
	{"resent", "late: its first byte came after it was sent to another backend server", func(l line) bool { return l.isLate() && l.Sent > 1 }},
	{"held", "late: the gateway sent it late, after dials that failed or a body that came slowly", func(l line) bool {
		return l.isLate() && float64(l.SentMs) > maxHeldShare*float64(l.ObjectiveMs)
	}},
	{"queued", "late: its first byte took too long at the backend server", line.isLate},
	{"cut", "paused: its stream went on at another backend server", func(l line) bool { return l.isPaused() && l.Sent > 1 }},
	{"paused", "paused: a pause between two events was too long", line.isPaused},
	{causeServed, "answered in time, as seen by the gateway", hasOutcome("served")},
}

func hasOutcome(outcome string) func(line) bool {
	return func(l line) bool { return l.Outcome == outcome }
}

func (l line) isLate() bool { return l.ObjectiveMs > 0 && l.FirstMs > l.ObjectiveMs }

func (l line) isPaused() bool { return l.PauseObjectiveMs > 0 && l.PauseMs > l.PauseObjectiveMs }

// causeOf returns the cause of a request's end; "" of none of the table.
func causeOf(l line) Cause {
	for _, c := range causeRules {
		if c.matches(l) {
			return c.name
		}
	}
	return ""
}

// Causes returns the names of the causes, in the order of the table.
func Causes() []Cause {
	var names []Cause
	for _, c := range causeRules {
		names = append(names, c.name)
	}
	return names
}

// Describe says what a cause stands for.
func Describe(name Cause) string {
	for _, c := range causeRules {
		if c.name == name {
			return c.description
		}
	}
	return ""
}
