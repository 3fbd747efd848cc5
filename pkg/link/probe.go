// ================================================================
// Probes of suspect connections. A connection may go silent for good without a reset
// while new connections to the same peer work, and everything sent over it is then lost.
// A caller that gets no response in time therefore has the connection probed.
// ================================================================

package link

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// A call probes its connection once probeFraction of its time has passed, after
	// maxProbeDelay at the latest, and every maxProbeDelay from then on. A replacement
	// connection is then up when the call ends, and the caller can retry at once.
	probeFraction = 0.5
	maxProbeDelay = 250 * time.Millisecond
	// probePingTimeout is how long the reply to a ping may take before a second connection
	// is dialed. Round trips take up to 6 ms, and a busy process adds some.
	probePingTimeout = 20 * time.Millisecond
	// replacementDialTimeout bounds the dial of the second connection with its handshake:
	// three round trips and one lost SYN packet (see firstDialTimeout).
	replacementDialTimeout = 350 * time.Millisecond
	// minProbeBackoff is how long a peer is not probed again after a probe that dialed a
	// second connection. It doubles with each such probe in a row, up to maxProbeBackoff,
	// and bounds the cost of a peer that is down or slow, or whose new connections go
	// silent too.
	minProbeBackoff = 200 * time.Millisecond
	maxProbeBackoff = 4 * time.Second
	// replacedTimeout is how long a replaced connection may stay silent before it is closed
	// with its streams. It may only have been slow, behind a message that fills the link;
	// its users learn of the replacement from OnReplaced and IsReplaced.
	replacedTimeout = supersededTimeout
)

// ProbeResult is the result of a probe.
type ProbeResult string

const (
	// ProbeUnknown means that nothing is known: there is no connection, it has only just
	// replaced another one, or the probe has not finished.
	ProbeUnknown ProbeResult = "unknown"
	// ProbeResponsive means that bytes arrived over the connection: the peer is only slow.
	ProbeResponsive ProbeResult = "speaks"
	// ProbeReplaced means that the connection was silent and has been replaced.
	ProbeReplaced ProbeResult = "replaced"
	// ProbeUnreachable means that the connection was silent and a second one did not come
	// up either.
	ProbeUnreachable ProbeResult = "unreached"
)

// Probe is a check of a connection, running or finished.
type Probe struct {
	done   chan struct{}
	result ProbeResult
}

func finishedProbe(r ProbeResult) *Probe {
	p := &Probe{done: make(chan struct{}), result: r}
	close(p.done)
	return p
}

// Await waits for the result of the probe. It returns ProbeUnknown if the context ends
// first.
func (p *Probe) Await(ctx context.Context) ProbeResult {
	select {
	case <-p.done:
		return p.result
	case <-ctx.Done():
		return ProbeUnknown
	}
}

// probeState is the state of the probes of one address. The endpoint's lock guards it.
type probeState struct {
	running      *Probe // nil when no probe is running
	lastResult   ProbeResult
	backoff      time.Duration
	backoffUntil time.Time
}

// Probe starts a probe of the connection to an address, because a message sent at the
// time since got no response in time. It probes nothing if bytes have arrived since then.
// It does not block, and concurrent callers share one probe.
//
// Callers notice a missing response after tens of ms. The periodic ping notices it after
// seconds, and faster pings would cost control nodes with hundreds of followers more than
// all their other work.
//
// The probe pings the connection. If nothing arrives, it dials a second connection, and
// if that comes up while the first is still silent, all new streams go over the second.
// Both take the same network path, so a peer that is slow, frozen or behind a full link
// keeps its connection and the streams on it: its reply comes first, or the dial fails
// too. Dropping the first connection and dialing again would lose the streams of other
// callers, since every response is late behind chunks on a narrow link.
func (e *Endpoint) Probe(address string, since time.Time) *Probe {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.sessions[address]
	if e.closed || d == nil || d.session == nil || d.session.IsClosed() {
		return finishedProbe(ProbeUnknown)
	}
	switch {
	case d.isReplacement && d.established.After(since):
		return finishedProbe(ProbeReplaced)
	case d.receivedSince(since):
		return finishedProbe(ProbeResponsive)
	case d.probes.running != nil:
		return d.probes.running
	case time.Now().Before(d.probes.backoffUntil):
		return finishedProbe(d.probes.lastResult)
	}
	probe := &Probe{done: make(chan struct{})}
	d.probes.running = probe
	go e.runProbe(d, probe)
	return probe
}

// runProbe probes a connection and replaces it if it is silent.
func (e *Endpoint) runProbe(d *dialedConn, probe *Probe) {
	started := time.Now()
	second, result, redialed := e.probeConn(d)
	e.mu.Lock()
	if result == ProbeReplaced && !e.replace(d, second) {
		result = ProbeUnknown
	}
	d.probes.finish(result, redialed)
	if result == ProbeReplaced {
		second.probes = d.probes
		second.probes.lastResult = ProbeUnknown
	}
	e.mu.Unlock()
	probe.result = result
	close(probe.done)
	if e.config.OnProbe != nil {
		e.config.OnProbe(result)
	}
	switch {
	case result == ProbeReplaced:
		_ = level.Info(e.config.Logger).Log("msg", "link replaced", "peer", string(d.peer.ID()), "address", d.address,
			"silent_ms", time.Since(d.received.time()).Milliseconds(), "streams", d.session.NumStreams())
		d.markReplaced()
		go e.closeReplaced(d)
		e.probeOthers(d.address, started)
	case second != nil:
		_ = second.session.Close()
	}
}

// probeConn finds out whether a connection is silent. It reports whether it dialed a second
// connection for that, and returns the second one if it came up.
func (e *Endpoint) probeConn(d *dialedConn) (second *dialedConn, result ProbeResult, redialed bool) {
	started := time.Now()
	if d.respondsWithin(probePingTimeout) {
		return nil, ProbeResponsive, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), replacementDialTimeout)
	defer cancel()
	go func() {
		select {
		case <-d.startPing():
			cancel()
		case <-ctx.Done():
		}
	}()
	c, err := e.connect(ctx, d.address)
	if err == nil {
		second = newReadyConn(d.address, c)
	}
	switch {
	case d.receivedSince(started):
		return second, ProbeResponsive, true
	case err != nil:
		return nil, ProbeUnreachable, true
	}
	return second, ProbeReplaced, true
}

// replace makes second the connection to its address and reports whether it did so: it
// does nothing if the endpoint is closed or old is no longer the connection in use. The
// caller holds the lock.
func (e *Endpoint) replace(old, second *dialedConn) bool {
	if e.closed || e.sessions[old.address] != old {
		return false
	}
	second.isReplacement, second.established = true, time.Now()
	e.sessions[old.address] = second
	e.replaced[old] = true
	return true
}

// finish records the result of a probe and, if it dialed a second connection, starts the
// backoff. The backoff starts again from its minimum after a long time without one.
func (s *probeState) finish(r ProbeResult, redialed bool) {
	s.running, s.lastResult = nil, r
	if !redialed {
		return
	}
	now := time.Now()
	if s.backoff = min(2*s.backoff, maxProbeBackoff); s.backoff == 0 || now.Sub(s.backoffUntil) > maxProbeBackoff {
		s.backoff = minProbeBackoff
	}
	s.backoffUntil = now.Add(s.backoff)
}

// closeReplaced closes a replaced connection once it has no streams left or does not
// respond within replacedTimeout.
func (e *Endpoint) closeReplaced(d *dialedConn) {
	for d.respondsWithin(replacedTimeout) && d.session.NumStreams() > 0 {
		select {
		case <-time.After(replacedTimeout):
		case <-d.session.CloseChan():
		}
	}
	_ = d.session.Close()
	e.mu.Lock()
	delete(e.replaced, d)
	e.mu.Unlock()
}

// probeOthers probes all other connections that have received nothing since the probe of a
// silent one started. The same fault may have silenced many connections, and their next
// callers then need not wait to find out. Each probe costs one ping.
func (e *Endpoint) probeOthers(probed string, since time.Time) {
	e.mu.Lock()
	var others []string
	for address, d := range e.sessions {
		if address != probed && d.session != nil && !d.receivedSince(since) {
			others = append(others, address)
		}
	}
	e.mu.Unlock()
	for _, address := range others {
		e.Probe(address, since)
	}
}

// probeDuringCall probes a connection from time to time during a call over it. The caller
// stops the returned timer and ends the context when the call ends; the context also stops
// the timers that follow the first.
func (e *Endpoint) probeDuringCall(ctx context.Context, address string) *time.Timer {
	after := maxProbeDelay
	if deadline, bounded := ctx.Deadline(); bounded {
		after = min(after, time.Duration(probeFraction*float64(time.Until(deadline))))
	}
	return e.probeAfter(ctx, address, after)
}

func (e *Endpoint) probeAfter(ctx context.Context, address string, after time.Duration) *time.Timer {
	started := time.Now()
	return time.AfterFunc(after, func() {
		if ctx.Err() == nil {
			e.Probe(address, started)
			e.probeAfter(ctx, address, maxProbeDelay)
		}
	})
}
