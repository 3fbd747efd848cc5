// ================================================================
// Check of a recorded timeline against invariants, and against the outcome that it may state:
//
//	tidepost timeline -o jsonl > run.jsonl   record
//	tidepost replay run.jsonl                check
//
// The first line of a file may state the expected outcome:
//
//	{"outcome": "holds"}
//	{"outcome": "broken", "rule": "one_leader_a_term"}
// ================================================================

// Package replay checks a recorded timeline of events against invariants.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// Holds is the outcome of a timeline that satisfies all rules.
	Holds = "holds"
	// Broken is the outcome of a timeline that violates a rule.
	Broken = "broken"
	// maxLine is the maximum length of a line in bytes.
	maxLine = 1 << 20
)

// Outcome is the outcome that a file states, or the result of a replay.
type Outcome struct {
	Outcome string `json:"outcome"`
	// Rule is the violated rule. In a stated outcome, an empty one stands for any rule.
	Rule string `json:"rule,omitempty"`
	// Detail describes the violation.
	Detail string `json:"detail,omitempty"`
	// Events is the number of replayed events.
	Events int `json:"events,omitempty"`
}

// rule is an invariant.
type rule struct {
	name string
	// newCheck returns a check with its own state. The check takes one event after another and
	// returns a description of the violation, or "".
	newCheck func() func(event.Event) string
}

// rules are the invariants.
var rules = []rule{
	{"one_leader_a_term", oneLeaderPerTerm},
	{"revision_never_reverts", revisionNeverReverts},
	{"one_attempt_holds_a_claim", oneAttemptPerClaim},
	{"ready_only_after_an_order", readyOnlyAfterOrder},
	{"no_invariant_broken", noInvariantBroken},
}

// Names returns the names of all rules.
func Names() []string {
	var names []string
	for _, r := range rules {
		names = append(names, r.name)
	}
	return names
}

// Run replays a recorded timeline. stated is the outcome in its first line, and nil if there is none.
// A line that is no event is a BadDocument failure.
func Run(r io.Reader) (result Outcome, stated *Outcome, err error) {
	events, stated, err := readEvents(r)
	if err != nil {
		return Outcome{}, nil, err
	}
	event.Sort(events)
	return checkEvents(events), stated, nil
}

func checkEvents(events []event.Event) Outcome {
	checks := make([]func(event.Event) string, 0, len(rules))
	for _, r := range rules {
		checks = append(checks, r.newCheck())
	}
	for n, e := range events {
		for i, check := range checks {
			if violation := check(e); violation != "" {
				return Outcome{Broken, rules[i].name, fmt.Sprintf("event %d, %s: %s", n+1, e.Process(), violation), len(events)}
			}
		}
	}
	return Outcome{Outcome: Holds, Events: len(events)}
}

func readEvents(r io.Reader) ([]event.Event, *Outcome, error) {
	var events []event.Event
	var stated *Outcome
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" {
			continue
		}
		if n == 1 && strings.Contains(line, `"outcome"`) {
			stated = &Outcome{}
			if err := json.Unmarshal([]byte(line), stated); err != nil {
				return nil, nil, failure.New(failure.BadDocument, "line 1: %v", err)
			}
			continue
		}
		var e event.Event
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			return nil, nil, failure.New(failure.BadDocument, "line %d is not an event: %v", n, err)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, nil, failure.New(failure.BadDocument, "%v", err)
	}
	return events, stated, nil
}

// Agrees reports whether the outcome matches the stated one.
func (o Outcome) Agrees(stated Outcome) bool {
	return o.Outcome == stated.Outcome && (stated.Rule == "" || stated.Rule == o.Rule)
}
