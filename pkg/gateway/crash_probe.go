// ================================================================
// Finds out whether a backend server crashed during an attempt. A connection that the server closed
// proves little: it may have aborted only that answer. So the gateway connects to the server again
// at once. If the process has crashed, its port is closed and the connection is refused within one
// round trip. All attempts that break at one moment share a probe.
//
// On a link saturated with weight chunks a round trip takes longer than the next attempt can wait.
// That attempt then starts, and the crash is recorded when the connection is refused.
//
// A server that is powered off or partitioned answers no connection attempt. Whether it crashed is
// not known, and nothing is recorded against the request.
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
)

// probeResult is the result of a probe after an attempt broke.
type probeResult string

const (
	// probeNotRun means that the server did not close the connection, so no probe was made.
	probeNotRun probeResult = "none"
	// probeCrashed means that the connection was refused: no process listens on the port.
	probeCrashed probeResult = "ended"
	// probeAlive means that the connection was accepted, or that it timed out.
	probeAlive probeResult = "lives"
	// probePending means that the probe is still in flight.
	probePending probeResult = "late"
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
	// probeReuseWindow is how long a refused probe is valid for other attempts: those that break
	// with one crash do so within milliseconds.
	probeReuseWindow = 200 * time.Millisecond
)

// crashProbe is a connection attempt to a backend server after an attempt broke.
type crashProbe struct {
	startedAt time.Time
	done      chan struct{}
	refused   bool // valid once done is closed
}

// crashProbes holds the last probe of a backend server. The zero value has none.
type crashProbes struct {
	mu   sync.Mutex
	last *crashProbe
}

// probeCrash finds out whether the backend server crashed after the attempt broke with an error,
// and records it if so.
func (x *exchange) probeCrash(cause error) probeResult {
	if !closedByPeer(cause) {
		return probeNotRun
	}
	now := time.Now()
	probe, crash := x.backend.startCrashProbe(now), x.crash()
	x.request.ending.probeDelay = probe.startedAt.Sub(now)
	select {
	case <-probe.done:
	case <-time.After(x.gateway.crashProbeWait(x.request.mostKnownCrashes())):
		go func() {
			<-probe.done
			if probe.refused {
				x.recordCrash(crash)
			}
		}()
		return probePending
	}
	if !probe.refused {
		return probeAlive
	}
	x.recordCrash(crash)
	return probeCrashed
}

// mostKnownCrashes returns how many crashes were known, when the last attempt was made, of the request or
// that part of its prompt which had most.
func (q *request) mostKnownCrashes() (most int) {
	for _, crashes := range q.knownCrashes {
		most = max(most, crashes)
	}
	return most
}

// probeEnd finds out whether a complete response is known to be complete: one that has neither a length
// nor chunks ends with its connection, also where its backend server crashed. It returns probeNotRun for
// others.
func (x *exchange) probeEnd(response *http.Response) probeResult {
	q := x.request
	if q.ending.framing = framingOf(response); q.ending.framing != framedByClose {
		return probeNotRun
	}
	q.ending.liveness = x.awaitEndProbe()
	return q.ending.liveness
}

// awaitEndProbe probes the backend server and waits for the result.
func (x *exchange) awaitEndProbe() probeResult {
	now := time.Now()
	probe := x.backend.startCrashProbe(now)
	x.request.ending.probeDelay = probe.startedAt.Sub(now)
	select {
	case <-probe.done:
	case <-time.After(x.gateway.crashProbeWait(1)):
		return probePending
	}
	if probe.refused {
		return probeCrashed
	}
	return probeAlive
}

// responseEnding says how a response ended.
type responseEnding struct {
	framing    framing
	liveness   probeResult   // of the backend server, if the response ended with its connection
	probeDelay time.Duration // from the end of the connection to the start of the probe; may be negative
}

// framing is what marks the end of a response body.
type framing string

const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	// framedByClose is a response without a length or chunks: it ends with its connection.
	framedByClose framing = "close"
)

// framingOf returns what marks the end of a response body.
func framingOf(response *http.Response) framing {
	switch {
	case response.ContentLength >= 0:
		return framedByLength
	case len(response.TransferEncoding) > 0:
		return framedByChunks
	}
	return framedByClose
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

// isReusable reports whether the probe is valid for an attempt that broke now: it is in flight, or
// was refused a moment ago. A probe that was accepted proves nothing about a crash since then.
func (p *crashProbe) isReusable(now time.Time) bool {
	select {
	case <-p.done:
		return p.refused && now.Sub(p.startedAt) < probeReuseWindow
	default:
		return true
	}
}

// startCrashProbe starts a probe of the backend server, or returns a recent one.
func (b *backend) startCrashProbe(now time.Time) *crashProbe {
	b.crashProbes.mu.Lock()
	defer b.crashProbes.mu.Unlock()
	if last := b.crashProbes.last; last != nil && last.isReusable(now) {
		return last
	}
	probe := &crashProbe{startedAt: now, done: make(chan struct{})}
	b.crashProbes.last = probe
	go func() {
		defer close(probe.done)
		// The context of a caller would not fit: it may be canceled, and other attempts share the
		// result.
		probe.refused = b.pool.RefusesDial(context.Background(), probeTimeout)
	}()
	return probe
}
