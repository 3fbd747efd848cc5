package agent

import (
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
)

// testBrokenHead checks that an agent passes on no part of an answer.
func testBrokenHead(t *testing.T, answer string) {
	t.Helper()
	parts, err := sendParts(engineAt(rawserver.Start(t, rawserver.Answer(answer, rawserver.Close))), uploadRequest("order"))
	if err == nil || len(parts) > 0 {
		t.Errorf("%q: %d parts, %v", answer, len(parts), err)
	}
}

// Guards against a service that answers with a status which does not exist: its entry got a part with status 0, which
// stands for no status, and answered 200.
func TestAnswerWithImpossibleStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600"} {
		testBrokenHead(t, "HTTP/1.1 "+status+" Unknown\r\nContent-Length: 6\r\n\r\nbroken")
	}
}

// Guards against a service that answers with a name of a field which holds a blank: the field was ignored, also where it
// says how the body ends.
func TestAnswerWithBrokenFieldNameIsNotPassedOn(t *testing.T) {
	for _, fields := range []string{"Content-Length : 60", "Transfer-Encoding : chunked", "X Y: z", "X\x01: z", "X: a\r\n Content-Length: 60"} {
		testBrokenHead(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n\r\n6\r\nbroken\r\n0\r\n\r\n")
		testBrokenHead(t, "HTTP/1.1 103 Early Hints\r\n"+fields+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbroken")
	}
}

// Guards against a service that stops in the middle of an answer's head and ends its connection.
func TestAnswerCutInHeadIsNotPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	for cut := range len(head) {
		testBrokenHead(t, head[:cut])
	}
}
