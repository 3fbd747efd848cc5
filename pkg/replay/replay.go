// ================================================================
// Replay of a recorded time line against rules and a stated outcome.
//
//	tidepost timeline -o jsonl > run.jsonl   record
//	tidepost replay run.jsonl                check
//
// The first line of a file may state the outcome:
//
//	{"outcome": "holds"}
//	{"outcome": "broken", "rule": "one_leader_a_term"}
//
// Each rule is an object that takes one event after another and says what is
// wrong; they stand in one table.
// ================================================================

// Package replay checks a recorded time line against what must always hold.
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
	// Holds is the outcome of a time line that breaks no rule.
	Holds = "holds"
	// Broken is the outcome of one that does.
	Broken = "broken"
	// maxLine bounds a line, in bytes.
	maxLine = 1 << 20
)

// Outcome is what a file states, or what replaying it showed.
type Outcome struct {
	Outcome string `json:"outcome"`
	// Rule is the broken rule; any when it is empty in a statement.
	Rule string `json:"rule,omitempty"`
	// Detail says how it was broken.
	Detail string `json:"detail,omitempty"`
	// Events is how many were replayed.
	Events int `json:"events,omitempty"`
}

// rule looks at one event after another and returns what is wrong, or "".
type rule struct {
	name     string
	newCheck func() func(event.Event) string
}

// rules is the table of what must always hold.
var rules = []rule{
	{"one_leader_a_term", oneLeaderPerTerm},
	{"revision_never_reverts", revisionNeverReverts},
	{"one_attempt_holds_a_claim", oneAttemptPerClaim},
	{"ready_only_after_an_order", readyOnlyAfterOrder},
	{"no_invariant_broken", noInvariantBroken},
}

// Names returns the names of the rules.
func Names() []string {
	var names []string
	for _, r := range rules {
		names = append(names, r.name)
	}
	return names
}

// Run replays a file. The stated outcome is nil when the file states none.
func Run(r io.Reader) (got Outcome, stated *Outcome, err error) {
	events, stated, err := readEvents(r)
	if err != nil {
		return Outcome{}, nil, err
	}
	event.Sort(events)
	return checkEvents(events), stated, nil
}

func checkEvents(events []event.Event) Outcome {
	looks := make([]func(event.Event) string, 0, len(rules))
	for _, r := range rules {
		looks = append(looks, r.newCheck())
	}
	for n, e := range events {
		for i, look := range looks {
			if wrong := look(e); wrong != "" {
				return Outcome{Broken, rules[i].name, fmt.Sprintf("event %d, %s: %s", n+1, e.Process(), wrong), len(events)}
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
			return nil, nil, failure.New(failure.BadDocument, "line %d is no event: %v", n, err)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, nil, failure.New(failure.BadDocument, "%v", err)
	}
	return events, stated, nil
}

// Agrees tells whether what was got is what was stated.
func (o Outcome) Agrees(stated Outcome) bool {
	return o.Outcome == stated.Outcome && (stated.Rule == "" || stated.Rule == o.Rule)
}
