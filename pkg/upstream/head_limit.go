// ================================================================
// Bounds the bytes that are read for the head of a response. A backend server in trouble may send a status
// line, a header field or bytes that are no HTTP without end, and net/http reads a head of any length.
// ================================================================

package upstream

import "github.com/pkg/errors"

// maxResponseHead bounds the head of a response together with the interim responses before it, in bytes.
const maxResponseHead = 64 << 10

// errHeadTooLarge reports a response whose head exceeds maxResponseHead.
var errHeadTooLarge = errors.Errorf("the head of the response exceeds %d bytes; check what runs at the backend server's address", maxResponseHead)

// headLimiter reads from a connection, and fails when a head is longer than it may be. Bodies are not limited.
type headLimiter struct {
	receive func(p []byte) (int, error)
	inHead  bool
	left    int // bytes that may still be read for the head
}

// startHead limits what is read from now on.
func (l *headLimiter) startHead() { l.inHead, l.left = true, maxResponseHead }

// endHead ends the limit.
func (l *headLimiter) endHead() { l.inHead = false }

// Read reads from the connection.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.receive(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.receive(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
