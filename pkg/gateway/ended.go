// ================================================================
// Whether a backend server ended under an attempt. A connection that its other side
// closed says little: the server may have ended, or only broken that answer off. So it
// is dialed at once: where it ended, its port is closed and the dial is refused, within
// one round trip. All attempts that broke at one moment share a dial.
//
// A server that is dark or cut off answers no dial: what ended there, if anything, is
// not known, and nothing is held against the request.
// ================================================================

package gateway

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// sign is what a look at a backend server found after an attempt broke.
type sign string

const (
	// signNone is that nothing was looked for: its connection was not closed from there.
	signNone sign = "none"
	// signEnded is a dial that was refused: nobody has the port any more.
	signEnded sign = "ended"
	// signLives is a dial that was not refused, or not answered.
	signLives sign = "lives"
)

const (
	// endDialTimeout bounds the dial after a break. It holds the next attempt up, and a
	// connection that was closed in order shows that the way there works.
	endDialTimeout = 150 * time.Millisecond
	// endLookLife is for how long the outcome of such a dial holds for other attempts: those
	// of one end break within milliseconds.
	endLookLife = 200 * time.Millisecond
)

// endLook is the last dial after a break. The zero value is none.
type endLook struct {
	mu      sync.Mutex
	at      time.Time
	refused bool
}

// signAfter looks what became of a backend server after an attempt there broke by an error.
func (b *backend) signAfter(cause error) sign {
	if !closedByPeer(cause) {
		return signNone
	}
	if b.refusesDials(time.Now()) {
		return signEnded
	}
	return signLives
}

// closedByPeer tells whether the other side closed or reset a connection.
func closedByPeer(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// refusesDials tells whether a dial is refused now, or was a moment ago.
func (b *backend) refusesDials(now time.Time) bool {
	b.ended.mu.Lock()
	defer b.ended.mu.Unlock()
	if now.Sub(b.ended.at) < endLookLife {
		return b.ended.refused
	}
	// The caller may leave meanwhile, and the others that wait here still want to know.
	b.ended.refused = b.pool.Refuses(context.Background(), endDialTimeout)
	b.ended.at = time.Now()
	return b.ended.refused
}
