package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tidepost/tidepost/internal/rawserver"
)

// unframedHead is the head of a response that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"

// longUpload is more than the buffers of two sockets hold, so that a server which doesn't read it leaves a part unsent.
var longUpload = []byte(strings.Repeat("u", 16<<20))

// post sends a body over a new connection and reads the response.
func post(t *testing.T, address string, body []byte) ([]byte, error) {
	t.Helper()
	c, err := NewPool(address).Get(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	response, err := c.Exchange(t.Context(), Request{Method: http.MethodPost, URI: "/", Host: "h", Body: body}, time.Now().Add(time.Minute))
	if err != nil {
		return nil, err
	}
	return ReadAll(response.Body, maxResponseHead)
}

// Guards against a server that ends its connection in the middle of a response while it is still sent the request:
// the write takes the error of the reset, and the read after it looks like the end of the response.
func TestBodyThatEndsBeforeTheRequestIsReceivedIsNotComplete(t *testing.T) {
	const rounds = 20
	for _, ending := range rawserver.Endings() {
		t.Run(string(ending), func(t *testing.T) {
			l := rawserver.Start(t, rawserver.Answer(unframedHead+"part", ending))
			complete := 0
			for range rounds {
				if _, err := post(t, l.Addr().String(), longUpload); err == nil {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d parts look like whole responses", complete, rounds)
			}
		})
	}
}

// The same for a request that was written to its end, of which a part is still in this side's socket buffer.
func TestBodyThatEndsBeforeTheWrittenRequestIsReceivedIsNotComplete(t *testing.T) {
	receiveBuffer := net.ListenConfig{Control: limitReceiveBuffer}
	l, err := receiveBuffer.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, unframedHead+"part")
		rawserver.CloseWrite.End(conn.(*net.TCPConn))
	}()
	if part, err := post(t, l.Addr().String(), longUpload[:maxInlineWrite-readBufferSize]); err == nil {
		t.Errorf("%q looks like a whole response", part)
	}
}

// A response is complete if its server has received the whole request, however long that is.
func TestBodyThatEndsAfterTheRequestIsReceivedIsComplete(t *testing.T) {
	l := rawserver.Start(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, unframedHead+"whole")
		rawserver.Close.End(conn)
	})
	for _, length := range []int{0, 1, maxInlineWrite, len(longUpload)} {
		if body, err := post(t, l.Addr().String(), longUpload[:length]); err != nil || string(body) != "whole" {
			t.Errorf("upload of %d bytes: %q, %v", length, body, err)
		}
	}
}

// The same with a client of net/http, for a request of which a part is not written yet and all that is written was received.
func TestBodyThatEndsBeforeTheRequestIsWrittenIsNotComplete(t *testing.T) {
	l := rawserver.Start(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, len("begin")))
		rawserver.Answer(unframedHead+"part", rawserver.CloseWrite)(conn, r)
	})
	body, rest := io.Pipe()
	go func() { _, _ = rest.Write([]byte("begin")) }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := NewClient(nil).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if part, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("%q looks like a whole response", part)
	}
}

// limitReceiveBuffer makes a socket hold only a few kilobytes that are not read.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	const bytes = 1 << 10
	return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
}

// A connection that this side closes just as its response ends proves nothing about the request.
func TestEndOfClosedConnectionIsNotComplete(t *testing.T) {
	conn, err := net.Dial("tcp", rawserver.Start(t, rawserver.Answer("", rawserver.Close)).Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := checkEnd(conn, 0, io.EOF); err != io.EOF {
		t.Errorf("open: %v", err)
	}
	_ = conn.Close()
	if err := checkEnd(conn, 0, io.EOF); err != errRequestNotReceived {
		t.Errorf("closed: %v", err)
	}
}
