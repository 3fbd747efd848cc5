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

// probeResult is what a look at a backend server found after an attempt broke.
type probeResult string

const (
	// probeNotRun is that nothing was looked for: its connection was not closed from there.
	probeNotRun probeResult = "none"
	// probeExited is a dial that was refused: nobody has the port any more.
	probeExited probeResult = "ended"
	// probeAlive is a dial that was answered, or by nobody.
	probeAlive probeResult = "lives"
	// probePending is a dial that is under way yet.
	probePending probeResult = "late"
)

const (
	// probeTimeout bounds the dial after a break: the first packet of one may be lost,
	// and goes out again after a second.
	probeTimeout = 1500 * time.Millisecond
	// firstProbeWait is how long the dial may hold the next attempt up: a round trip within a
	// region takes a tenth of it. Where servers ended under the request before, what the dial
	// finds decides whether there is a next attempt, and endWait is how long it may take.
	firstProbeWait = 30 * time.Millisecond
	probeWait      = 150 * time.Millisecond
	// probeReuseWindow is for how long a dial that was refused holds for other attempts: those of
	// one end break within milliseconds.
	probeReuseWindow = 200 * time.Millisecond
)

// crashProbe is a dial after a break.
type crashProbe struct {
	startedAt time.Time
	done      chan struct{}
	refused   bool // once it is done
}

// crashProbes is the last dial after a break. The zero value is none.
type crashProbes struct {
	mu   sync.Mutex
	last *crashProbe
}

// probeCrash looks what became of the backend server after the attempt broke by an error,
// and notes it where it ended.
func (x *exchange) probeCrash(cause error) probeResult {
	if !closedByPeer(cause) {
		return probeNotRun
	}
	look, end := x.backend.probe(time.Now()), x.crash()
	select {
	case <-look.done:
	case <-time.After(x.gateway.exitWait(x.request.knownServerExits)):
		go func() {
			<-look.done
			if look.refused {
				x.recordCrash(end)
			}
		}()
		return probePending
	}
	if !look.refused {
		return probeAlive
	}
	x.recordCrash(end)
	return probeExited
}

// probeWaitAfter is how long an attempt waits for the dial after it, by how many ends were known
// when it was sent.
func probeWaitAfter(knownEnds int) time.Duration {
	if knownEnds == 0 {
		return firstProbeWait
	}
	return probeWait
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

// isReusable tells whether the dial tells of an attempt that broke now: it is under way, or was
// refused a moment ago. One that was answered says nothing of what has ended since.
func (l *crashProbe) isReusable(now time.Time) bool {
	select {
	case <-l.done:
		return l.refused && now.Sub(l.startedAt) < probeReuseWindow
	default:
		return true
	}
}

// probe dials the backend server, or returns a dial of a moment ago.
func (b *backend) probe(now time.Time) *crashProbe {
	b.ends.mu.Lock()
	defer b.ends.mu.Unlock()
	if last := b.ends.last; last != nil && last.isReusable(now) {
		return last
	}
	look := &crashProbe{startedAt: now, done: make(chan struct{})}
	b.ends.last = look
	go func() {
		defer close(look.done)
		// The caller may leave meanwhile, and the others that wait here still want to know.
		look.refused = b.pool.Refuses(context.Background(), probeTimeout)
	}()
	return look
}
