// ================================================================
// Whether a backend server ended under an attempt. A connection that its other side
// closed says little: the server may have ended, or only broken that answer off. So it
// is dialed at once: where it ended, its port is closed and the dial is refused, within
// one round trip. All attempts that broke at one moment share a dial.
//
// On a link that is full of chunks a round trip takes longer than the next attempt can
// wait. Then that goes on, and the end is noted when the dial is refused.
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
	// signLives is a dial that was answered, or by nobody.
	signLives sign = "lives"
	// signLate is a dial that is under way yet.
	signLate sign = "late"
)

const (
	// endDialTimeout bounds the dial after a break: the first packet of one may be lost,
	// and goes out again after a second.
	endDialTimeout = 1500 * time.Millisecond
	// firstEndWait is how long the dial may hold the next attempt up: a round trip within a
	// region takes a tenth of it. Where servers ended under the request before, what the dial
	// finds decides whether there is a next attempt, and endWait is how long it may take.
	firstEndWait = 30 * time.Millisecond
	endWait      = 150 * time.Millisecond
	// endLookLife is for how long a dial that was refused holds for other attempts: those of
	// one end break within milliseconds.
	endLookLife = 200 * time.Millisecond
)

// endLook is a dial after a break.
type endLook struct {
	began   time.Time
	done    chan struct{}
	refused bool // once it is done
}

// endLooks is the last dial after a break. The zero value is none.
type endLooks struct {
	mu   sync.Mutex
	last *endLook
}

// signAfter looks what became of the backend server after the attempt broke by an error,
// and notes it where it ended.
func (x *exchange) signAfter(cause error) sign {
	if !closedByPeer(cause) {
		return signNone
	}
	look, end := x.backend.lookForEnd(time.Now()), x.endOfServer()
	select {
	case <-look.done:
	case <-time.After(x.gateway.exitWait(x.request.knownServerExits)):
		go func() {
			<-look.done
			if look.refused {
				x.sawEnd(end)
			}
		}()
		return signLate
	}
	if !look.refused {
		return signLives
	}
	x.sawEnd(end)
	return signEnded
}

// waitForEnd is how long an attempt waits for the dial after it, by how many ends were known
// when it was sent.
func waitForEnd(knownEnds int) time.Duration {
	if knownEnds == 0 {
		return firstEndWait
	}
	return endWait
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

// holds tells whether the dial tells of an attempt that broke now: it is under way, or was
// refused a moment ago. One that was answered says nothing of what has ended since.
func (l *endLook) holds(now time.Time) bool {
	select {
	case <-l.done:
		return l.refused && now.Sub(l.began) < endLookLife
	default:
		return true
	}
}

// lookForEnd dials the backend server, or returns a dial of a moment ago.
func (b *backend) lookForEnd(now time.Time) *endLook {
	b.ends.mu.Lock()
	defer b.ends.mu.Unlock()
	if last := b.ends.last; last != nil && last.holds(now) {
		return last
	}
	look := &endLook{began: now, done: make(chan struct{})}
	b.ends.last = look
	go func() {
		defer close(look.done)
		// The caller may leave meanwhile, and the others that wait here still want to know.
		look.refused = b.pool.Refuses(context.Background(), endDialTimeout)
	}()
	return look
}
