package control

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
)

// Guards against this failure: a control node that closes all connections at once when it is
// stopped leaves a change that it has read, and may have proposed to the log, without an answer;
// the operator does not know whether it is in force. Here the signal arrives in the middle of a
// request that names a version.
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
		t.Fatalf("the server does not read the body: %v", err)
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
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d", response.StatusCode)
	}
	<-n.result
	n.node = nil
}
