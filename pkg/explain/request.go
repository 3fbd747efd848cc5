// ================================================================
// All that the logs say of one request, oldest first.
// ================================================================

package explain

import (
	"io"
	"sort"
	"time"
)

// Step is one line about a request.
type Step struct {
	At      time.Time
	Process string
	// Text is the line as it was logged.
	Text string
}

// Request returns what the logs say of a request.
func Request(r io.Reader, id string) ([]Step, error) {
	var steps []Step
	err := read(r, func(l line) {
		if l.Request == id {
			steps = append(steps, Step{l.At, l.Process, l.text})
		}
	})
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At.Before(steps[j].At) })
	return steps, err
}
