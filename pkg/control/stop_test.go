package control

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
)

// Seen beside streams that a planned stop of gateways cut: a control node that is stopped
// closes the connections of its callers at once. How: an operator's change that it has read,
// and may have handed to the log, is left without an answer, and nobody knows whether it is
// in force. Cause: the stop did not ask what was under way. Here a version is named by a
// request of which half has come when the signal does.
func TestShutdownAnswersCallsInProgress(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	n := c.nodes[0]
	conn, err := net.Dial("tcp", n.httpAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, "PUT /v1/weights/menu/3 HTTP/1.1\r\nHost: control\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n{"); err != nil {
		t.Fatal(err)
	}
	if interim, err := http.ReadResponse(reader, nil); err != nil || interim.StatusCode != http.StatusContinue {
		t.Fatalf("it is not read: %v", err)
	}
	n.signals <- os.Interrupt
	for {
		later, err := net.Dial("tcp", n.httpAddress)
		if err != nil {
			break
		}
		_ = later.Close()
	}
	if _, err := io.WriteString(conn, "}"); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if answer.StatusCode != http.StatusOK {
		t.Errorf("status %d", answer.StatusCode)
	}
	<-n.result
	n.node = nil
}
