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

// errNotCounted reports a connection that is not TCP, or whose kernel does not count acknowledged bytes.
var errNotCounted = errors.New("acknowledged bytes are not counted")

// checkEnd returns the error of a read from a connection: io.EOF only if the peer has received all bytes that were sent or
// are to be sent when it closed the connection. Where these are not counted the peer is taken at its word.
func checkEnd(conn net.Conn, sent uint64, err error) error {
	if err != io.EOF {
		return err
	}
	acknowledged, err := acknowledgedBytes(conn)
	if err == errNotCounted || err == nil && acknowledged >= sent {
		return io.EOF
	}
	return errRequestNotReceived
}

// acknowledgedBytes returns how many bytes of those sent on a connection the peer's TCP has acknowledged. It fails if the
// connection is closed on this side, and with errNotCounted.
func acknowledgedBytes(conn net.Conn) (uint64, error) {
	const synLength = 1 // the kernel's count includes the SYN
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errNotCounted
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err != nil:
		return 0, err
	case info.Bytes_acked < synLength:
		return 0, errNotCounted
	}
	return info.Bytes_acked - synLength, nil
}
