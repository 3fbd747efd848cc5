// ================================================================
// Reading the logs of many processes, in any order, as their lines come out of
// journald, a file or a bench: whatever stands before the first brace of a line
// is passed over, and so is a line that is no JSON.
//
//	{"msg":"request","request":"9c41","outcome":"served","first_ms":412,...}
// ================================================================

// Package explain says from the logs of all processes what became of requests:
// of all of them by span of time and cause, or of a single one.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// line is what is read of a log line; a field that a line lacks is zero. Times
// that end in Ms are milliseconds.
type line struct {
	At      time.Time `json:"ts"`
	Message string    `json:"msg"`
	Process string    `json:"process"`
	Request string    `json:"request"`
	Outcome string    `json:"outcome"`
	// End is how an attempt ended that did not answer the request.
	End     string `json:"end"`
	Why     string `json:"why"`
	Backend string `json:"backend"`
	// Sent is how many backend servers the request was sent to.
	Sent int `json:"sent"`
	// SentMs, FirstMs and PauseMs are the times until it was sent last, until
	// the first byte of the answer, and the longest between two events.
	SentMs  int64 `json:"sent_ms"`
	FirstMs int64 `json:"first_ms"`
	PauseMs int64 `json:"pause_ms"`
	Ms      int64 `json:"ms"`
	// ObjectiveMs and PauseObjectiveMs are what the route asks of the two; 0
	// when it asks nothing.
	ObjectiveMs      int64 `json:"objective_ms"`
	PauseObjectiveMs int64 `json:"pause_objective_ms"`
	// Limited says that limits of backend servers alone kept the request from them.
	Limited bool `json:"limited"`

	text string // from the brace on
}

// arrivedAt returns when a request came.
func (l line) arrivedAt() time.Time { return l.At.Add(-time.Duration(l.Ms) * time.Millisecond) }

// readLines calls f with each log line of r.
func readLines(r io.Reader, f func(line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		l := line{text: "{" + text}
		if json.Unmarshal([]byte(l.text), &l) != nil || l.At.IsZero() {
			continue
		}
		f(l)
	}
	return scanner.Err()
}
