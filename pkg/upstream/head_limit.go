// ================================================================
// Bounds the bytes that are read for the head of a response. A backend server in trouble may send a status
// line, a header field or bytes that are no HTTP without end, and net/http reads a head of any length.
// ================================================================

package upstream

import "io"

// maxResponseHead bounds the head of a response together with the interim responses before it, in bytes.
const maxResponseHead = 64 << 10

// headLimiter reads from a connection, scans heads, and fails when one is longer than it may be. Bodies are not limited.
type headLimiter struct {
	receive func(p []byte) (int, error)
	inHead  bool
	left    int   // bytes that may still be read for the head
	failure error // of the last read; nil if it succeeded
	scanner headScanner
}

// startHead limits and scans what is read from now on.
func (l *headLimiter) startHead() {
	l.inHead, l.left, l.failure = true, maxResponseHead, nil
	l.scanner.startResponse()
}

// endHead ends both.
func (l *headLimiter) endHead() { l.inHead = false }

// Read reads from the connection.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.receive(p)
	}
	if l.left <= 0 {
		l.failure = errHeadTooLarge
		return 0, l.failure
	}
	n, err := l.receive(p[:min(len(p), l.left)])
	l.left -= n
	l.failure = err
	l.scanner.scan(p[:n])
	return n, err
}

// headError returns the error of reading a head: that of the connection, since net/http takes a line that the end of
// the connection cuts for a malformed one, or one that does not quote the head.
func (l *headLimiter) headError(err error) error {
	switch l.failure {
	case nil:
		return unquotedError(err)
	case io.EOF:
		return io.ErrUnexpectedEOF
	}
	return l.failure
}
