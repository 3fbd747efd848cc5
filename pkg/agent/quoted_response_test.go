package agent

import (
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
)

// Guards against failures that quote what a service in trouble sent; they reach callers.
func TestFailuresDoNotQuoteResponses(t *testing.T) {
	const mark = "BROKEN"
	long := strings.Repeat(mark, 10_000)
	for name, answer := range rawserver.Malformed(long) {
		t.Run(name, func(t *testing.T) {
			_, err := sendParts(engineAt(rawserver.Start(t, rawserver.Answer(answer, rawserver.Close))), uploadRequest("order"))
			if err == nil || strings.Contains(err.Error(), mark) {
				t.Errorf("%.200v", err)
			}
		})
	}
}
