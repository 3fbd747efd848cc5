// ================================================================
// Reading of the log lines of several processes, in any order, from journald, files or benchmarks.
// Text before the first brace of a line is skipped, and so are lines without JSON.
//
//	{"msg":"request","request":"9c41","outcome":"served","first_ms":412,...}
// ================================================================

// Package explain finds the outcome of requests and its cause in the logs of all processes, for one
// request or summed up by time span.
package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// line has the fields of a log line that explain uses. A missing field is zero. Fields that end in Ms
// are in milliseconds.
type line struct {
	At      time.Time `json:"ts"`
	Message string    `json:"msg"`
	Process string    `json:"process"`
	Request string    `json:"request"`
	Outcome string    `json:"outcome"`
	Route   string    `json:"route"`
	// Fingerprint is of the content, which is the same in all tries of a caller.
	Fingerprint string `json:"fingerprint"`
	// Prompt is the length of the prompt and Answer the most tokens to generate; 0 if not given.
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
	// End is the result of an attempt that did not answer the request.
	End     string `json:"end"`
	Why     string `json:"why"`
	Backend string `json:"backend"`
	// Sent is how many backend servers the request was sent to.
	Sent int `json:"sent"`
	// SentMs is the time until the request was sent for the last time, FirstMs the time until the
	// first byte of the response, and PauseMs the longest time between two events.
	SentMs  int64 `json:"sent_ms"`
	FirstMs int64 `json:"first_ms"`
	PauseMs int64 `json:"pause_ms"`
	Ms      int64 `json:"ms"`
	// ObjectiveMs and PauseObjectiveMs are the route's objectives for FirstMs and PauseMs; 0 if it
	// has none.
	ObjectiveMs      int64 `json:"objective_ms"`
	PauseObjectiveMs int64 `json:"pause_objective_ms"`
	// Limited is set if only the rate limits of backend servers kept the request from being sent.
	Limited bool `json:"limited"`

	text string // the log line from its first brace on
}

// arrivedAt returns when the request of the line arrived at the gateway.
func (l line) arrivedAt() time.Time { return l.At.Add(-time.Duration(l.Ms) * time.Millisecond) }

// readLines calls handle with each log line of r.
func readLines(r io.Reader, handle func(line)) error {
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
		handle(l)
	}
	return scanner.Err()
}
