// ================================================================
// Finds out whether a backend server crashed when one of its connections ended. The end of a connection
// proves little: the server may have closed only that one. Nor does a new connection prove that the process
// still runs: when a process dies, the kernel closes its listening socket last, and accepts connections
// until then. Proof is either of
//
//   - a refused connection: no process listens on the port any more
//   - a response to a probe that was sent after the connection had ended (liveness_probe.go)
//
// All attempts that break at one moment share a probe. An attempt that broke waits only briefly for the
// result before the next one starts; a crash is recorded when it is known. A response that ended with its
// connection is complete only if its backend server is known to have lived on.
//
// A server that is powered off or partitioned neither refuses connections nor responds. Whether it crashed
// is not known, and nothing is recorded against the request.
// ================================================================

package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tidepost/tidepost/pkg/upstream"
)

// probeResult is what is known of a backend server after one of its connections ended.
type probeResult string

const (
	// probeNotRun means that the server did not close the connection, so no probe was made.
	probeNotRun probeResult = "none"
	// probeCrashed means that the process has ended: a connection was refused, or another process responded.
	probeCrashed probeResult = "ended"
	// probeAlive means that the process responded.
	probeAlive probeResult = "lives"
	// probePending means that the probe is still in flight.
	probePending probeResult = "late"
	// probeUnanswered means that the probe ended with neither.
	probeUnanswered probeResult = "unanswered"
)

const (
	// probeTimeout bounds a probe: the first packet of a connection may be lost, and is sent again
	// after a second.
	probeTimeout = 1500 * time.Millisecond
	// firstProbeWait is how long a probe may delay the next attempt: a round trip within a region
	// takes a tenth of it. Where servers crashed under the request before, the result decides
	// whether there is a next attempt at all, and the probe may take suspectProbeWait.
	firstProbeWait   = 30 * time.Millisecond
	suspectProbeWait = 150 * time.Millisecond
	// crashReuseWindow is how long a known crash is valid for other attempts: those that break
	// with one crash do so within milliseconds.
	crashReuseWindow = 200 * time.Millisecond
)

// errUnconfirmed ends a response that may have been cut short by a crash.
var errUnconfirmed = errors.New("its backend server did not confirm that it still runs")

// crashProbe is a probe of a backend server.
type crashProbe struct {
	startedAt time.Time
	done      chan struct{}
	// Both are valid once done is closed.
	result probeResult
	sentAt time.Time // when the probe was sent that the server responded to
}

// crashProbes holds the last probe of a backend server. The zero value has none.
type crashProbes struct {
	mu   sync.Mutex
	last *crashProbe
}

// isDone reports whether the probe has ended.
func (p *crashProbe) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// covers reports whether the result of a probe that is done tells whether the backend server crashed when
// a connection ended. A response to a probe that was sent earlier proves nothing about a crash since then.
func (p *crashProbe) covers(ended time.Time) bool {
	switch p.result {
	case probeCrashed:
		return ended.Sub(p.startedAt) < crashReuseWindow
	case probeAlive:
		return !p.sentAt.Before(ended)
	}
	return !p.startedAt.Before(ended)
}

// startCrashProbe starts a probe of the backend server, or returns one in flight or one whose result covers
// the time at which a connection ended.
func (b *backend) startCrashProbe(ended time.Time, probe livenessProbe) *crashProbe {
	b.crashProbes.mu.Lock()
	defer b.crashProbes.mu.Unlock()
	if last := b.crashProbes.last; last != nil && (!last.isDone() || last.covers(ended)) {
		return last
	}
	p := &crashProbe{startedAt: time.Now(), done: make(chan struct{})}
	b.crashProbes.last = p
	go func() {
		defer close(p.done)
		// The context of a caller would not fit: it may be canceled, and other attempts share the
		// result.
		p.result, p.sentAt = probe.run(context.Background(), probeTimeout)
	}()
	return p
}

// awaitLiveness probes the backend server after one of its connections ended, and waits for the result. It
// returns probePending once ctx ends.
func (x *exchange) awaitLiveness(ctx context.Context, ended time.Time) (probeResult, *crashProbe) {
	for {
		p := x.backend.startCrashProbe(ended, x.livenessProbe())
		select {
		case <-p.done:
			if p.covers(ended) {
				return p.result, p
			}
		case <-ctx.Done():
			return probePending, p
		}
	}
}

// probeCrash finds out whether the backend server crashed after the attempt broke with an error,
// and records it if so.
func (x *exchange) probeCrash(cause error) probeResult {
	if !closedByPeer(cause) {
		return probeNotRun
	}
	ended, crash := time.Now(), x.crash()
	ctx, cancel := context.WithTimeout(context.Background(), x.gateway.crashProbeWait(x.request.mostKnownCrashes()))
	defer cancel()
	result, p := x.awaitLiveness(ctx, ended)
	x.request.ending.probeDelay = p.startedAt.Sub(ended)
	switch result {
	case probeCrashed:
		x.recordCrash(crash)
	case probePending:
		go x.recordLateCrash(crash, ended)
	}
	return result
}

// recordLateCrash records a crash that becomes known after the next attempt has started.
func (x *exchange) recordLateCrash(crash observedCrash, ended time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if result, _ := x.awaitLiveness(ctx, ended); result == probeCrashed {
		x.recordCrash(crash)
	}
}

// mostKnownCrashes returns how many crashes were known, when the last attempt was made, of the request or
// that part of its prompt which had most.
func (q *request) mostKnownCrashes() (most int) {
	for _, crashes := range q.knownCrashes {
		most = max(most, crashes)
	}
	return most
}

// probeWaitAfter returns how long the next attempt waits for a probe, by the number of crashes that
// were known when the last attempt was sent.
func probeWaitAfter(knownCrashes int) time.Duration {
	if knownCrashes == 0 {
		return firstProbeWait
	}
	return suspectProbeWait
}

// closedByPeer reports whether the other side closed or reset a connection.
func closedByPeer(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// ----------------------------------------------------------------
// Responses that end with their connection

// responseEnding says how a response ended.
type responseEnding struct {
	framing    upstream.Framing
	liveness   probeResult   // of the backend server, if the response ended with its connection
	probeDelay time.Duration // from the end of the connection to the start of the probe; may be negative
}

// confirmEnd returns why a response that was read to its end is not known to be complete; nil if it is.
// A response that has neither a length nor chunks ends with its connection, also where its backend server
// crashed.
func (x *exchange) confirmEnd(response *http.Response) error {
	q := x.request
	q.ending = responseEnding{framing: upstream.FramingOf(response)}
	if q.ending.framing != upstream.FramedByClose {
		return nil
	}
	ended := time.Now()
	ctx, cancel := context.WithTimeout(q.ctx, min(q.remaining(), probeTimeout))
	defer cancel()
	result, p := x.awaitLiveness(ctx, ended)
	q.ending.liveness, q.ending.probeDelay = result, p.startedAt.Sub(ended)
	switch result {
	case probeAlive:
		return nil
	case probeCrashed:
		return io.EOF
	}
	return errUnconfirmed
}
