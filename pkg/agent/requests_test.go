package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/engine"
)

// serveOne answers one request at l without a length. A process that then crashes leaves its port
// open until the kernel has accepted one more connection.
func serveOne(l net.Listener, crashes bool) {
	for first := true; ; first = false {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if !first && crashes {
			_ = l.Close()
			_ = conn.Close()
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		}
		_ = conn.Close()
	}
}

// A response that ends with its connection is marked as complete only if its engine still runs: half
// of one passed as the whole when the engine crashed.
func TestAnswerOfCrashedEngineIsNotComplete(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go serveOne(l, crashes)
		complete, err := isMarkedComplete(engineAt(l), testRequest("a", time.Now().Add(time.Minute)))
		if complete == crashes || (err != nil) != crashes {
			t.Errorf("engine crashes %t: complete %t, %v", crashes, complete, err)
		}
	}
}

// A response with a length needs no ping.
func TestAnswerWithLengthNeedsNoPing(t *testing.T) {
	backend := &engine.Engine{SendRequest: func(context.Context, contract.Request) (*http.Response, error) {
		return http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")), nil)
	}}
	if complete, err := isMarkedComplete(backend, testRequest("a", time.Now().Add(time.Minute))); err != nil || !complete {
		t.Errorf("complete %t, %v", complete, err)
	}
}
