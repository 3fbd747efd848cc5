// ================================================================
// What marks the end of a response body, and when it is complete. One with a length or chunks is complete once
// these are. One that has neither ends with its connection, also where its backend server crashed or gave up in the
// middle of it. It is complete only if
//
//   - the server had received the whole request when it closed the connection, which is checked here
//   - the server still runs, which the user of this package finds out
//
// The first condition can't be left to the errors of the connection: a reset is reported to one call only, and where
// a write takes it, the read after it returns io.EOF.
// ================================================================

package upstream

import (
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Framing is what marks the end of a response body.
type Framing string

// The framings of response bodies.
const (
	// FramedByLength is a response with a length, or without a body.
	FramedByLength Framing = "length"
	// FramedByChunks is a response in chunks, of which the last one is empty.
	FramedByChunks Framing = "chunks"
	// FramedByClose is a response that ends with its connection.
	FramedByClose Framing = "close"
)

// FramingOf returns what marks the end of the body of a response.
func FramingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return FramedByLength
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}

// errRequestNotReceived ends the body of a response whose backend server has closed the connection before it had
// received the whole request.
var errRequestNotReceived = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the backend server had received the whole request")

// acknowledgedBytes returns how many bytes of those sent on a connection the peer's TCP has acknowledged. They are not
// known if the connection is closed on this side or is not TCP.
func acknowledgedBytes(conn net.Conn) (bytes uint64, known bool) {
	const synLength = 1 // the kernel's count includes the SYN
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if controlErr != nil || err != nil || info.Bytes_acked < synLength {
		return 0, false
	}
	return info.Bytes_acked - synLength, true
}
