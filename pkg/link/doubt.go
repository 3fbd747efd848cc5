// ================================================================
// Doubt: whoever gets no answer in time has the connection looked at. Connections
// may go silent for good, without a reset, while new ones work, and then everything
// that is sent to the peer is lost until somebody finds out. Callers know after tens
// of ms; the ping that every connection has knows after seconds, and faster pings
// would cost control nodes with hundreds of followers more than all else they do.
//
// A connection in doubt is pinged. If nothing comes, a second one is dialed; if that
// comes up and the first is silent still, it takes its place for all that is opened
// from then on. Both ways are the same, so a peer that is slow, has a full link or is
// frozen is found so: its answer comes first, or the dial fails too. Then the second
// connection is given up, and the streams on the first go on.
//
// Rejected: to drop the connection and dial anew. Behind chunks on a narrow link every
// answer is late, and the streams of others would be lost with it.
// ================================================================

package link

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// probeFraction of the time that a call has may pass before its connection is doubted,
	// and mostBeforeDoubt at the most, and again as long as it goes on: the new
	// connection is then up when the call ends, and the caller can ask again at once.
	probeFraction = 0.5
	maxProbeDelay = 250 * time.Millisecond
	// probePingTimeout is how long the answer to a ping may take before a second connection
	// is dialed: ways there and back take up to 6 ms, and a busy process some more.
	probePingTimeout = 20 * time.Millisecond
	// replacementDialTimeout bounds the second connection with its handshake: three times there
	// and back, and one opening packet that is lost (see firstTry).
	replacementDialTimeout = 350 * time.Millisecond
	// minProbeBackoff is how long a peer is left alone for which a second connection was
	// dialed; twice as long each time in a row, up to longestRest. It bounds what a
	// dead or a slow peer, or one whose new connections go silent too, can cost.
	minProbeBackoff = 200 * time.Millisecond
	maxProbeBackoff = 4 * time.Second
	// replacedTimeout is how long a connection that was replaced may stay silent before
	// it is closed with its streams. It may have been slow only, behind a message that
	// fills its link; those who wait on it know that it was replaced.
	replacedTimeout = supersededTimeout
)

// ProbeResult is what came of a doubt.
type ProbeResult string

const (
	// ProbeUnknown is found where nobody looked: there is no connection, or it was looked
	// at just now.
	ProbeUnknown ProbeResult = "unknown"
	// ProbeResponsive is found where the peer was heard on the connection: it is slow.
	ProbeResponsive ProbeResult = "speaks"
	// ProbeReplaced is found where the connection was silent and another took its place.
	ProbeReplaced ProbeResult = "replaced"
	// ProbeUnreachable is found where neither the connection nor another brought anything.
	ProbeUnreachable ProbeResult = "unreached"
)

// Probe is a look at a connection, under way or ended.
type Probe struct {
	done   chan struct{}
	result ProbeResult
}

func finishedProbe(f ProbeResult) *Probe {
	d := &Probe{done: make(chan struct{}), result: f}
	close(d.done)
	return d
}

// Await returns what was found, or Unknown if the context ends before.
func (d *Probe) Await(ctx context.Context) ProbeResult {
	select {
	case <-d.done:
		return d.result
	case <-ctx.Done():
		return ProbeUnknown
	}
}

// probeState is what is known of the doubts of one address. The endpoint's lock guards it.
type probeState struct {
	running      *Probe // the one under way
	lastResult   ProbeResult
	backoff      time.Duration
	backoffUntil time.Time
}

// Probe says that something sent to an address at a moment was not answered in time,
// and has the connection looked at unless bytes came since. It never waits; all who
// doubt a connection at one time share one look.
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
	doubt := &Probe{done: make(chan struct{})}
	d.probes.running = doubt
	go e.runProbe(d, doubt)
	return doubt
}

// runProbe looks at a connection in doubt and replaces it if it is silent.
func (e *Endpoint) runProbe(d *dialedConn, doubt *Probe) {
	asked := time.Now()
	fresh, finding, dialedAnew := e.probeConn(d)
	e.mu.Lock()
	if finding == ProbeReplaced && !e.replace(d, fresh) {
		finding = ProbeUnknown
	}
	d.probes.finish(finding, dialedAnew)
	if finding == ProbeReplaced {
		fresh.probes = d.probes
		fresh.probes.lastResult = ProbeUnknown
	}
	e.mu.Unlock()
	doubt.result = finding
	close(doubt.done)
	if e.config.OnProbe != nil {
		e.config.OnProbe(finding)
	}
	switch {
	case finding == ProbeReplaced:
		_ = level.Info(e.config.Logger).Log("msg", "link replaced", "peer", string(d.peer.ID()), "address", d.address,
			"silent_ms", time.Since(d.received.time()).Milliseconds(), "streams", d.session.NumStreams())
		d.markReplaced()
		go e.closeReplaced(d)
		e.probeOthers(d.address, asked)
	case fresh != nil:
		_ = fresh.session.Close()
	}
}

// probeConn finds out whether a connection is silent, and whether it took a second one to do
// so, which is returned if it came up.
func (e *Endpoint) probeConn(d *dialedConn) (fresh *dialedConn, f ProbeResult, dialedAnew bool) {
	asked := time.Now()
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
		fresh = newReadyConn(d.address, c)
	}
	switch {
	case d.receivedSince(asked):
		return fresh, ProbeResponsive, true
	case err != nil:
		return nil, ProbeUnreachable, true
	}
	return fresh, ProbeReplaced, true
}

// replace puts a connection in the place of another, unless that has lost its place
// meanwhile. The caller holds the lock.
func (e *Endpoint) replace(old, fresh *dialedConn) bool {
	if e.closed || e.sessions[old.address] != old {
		return false
	}
	fresh.isReplacement, fresh.established = true, time.Now()
	e.sessions[old.address] = fresh
	e.replaced[old] = true
	return true
}

// finish notes what came of a look. Where a second connection was dialed, the peer is left
// alone for a while.
func (s *probeState) finish(f ProbeResult, dialedAnew bool) {
	s.running, s.lastResult = nil, f
	if !dialedAnew {
		return
	}
	now := time.Now()
	if s.backoff = min(2*s.backoff, maxProbeBackoff); s.backoff == 0 || now.Sub(s.backoffUntil) > maxProbeBackoff {
		s.backoff = minProbeBackoff
	}
	s.backoffUntil = now.Add(s.backoff)
}

// closeReplaced closes a connection that was replaced, once it is silent for longer still or
// has no streams left.
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

// probeOthers doubts all other connections that nothing came over since one was found
// silent: what silenced one may have silenced many, and so nobody who needs one of them
// has to wait to find out. Each costs a ping.
func (e *Endpoint) probeOthers(found string, since time.Time) {
	e.mu.Lock()
	var others []string
	for address, d := range e.sessions {
		if address != found && d.session != nil && !d.receivedSince(since) {
			others = append(others, address)
		}
	}
	e.mu.Unlock()
	for _, address := range others {
		e.Probe(address, since)
	}
}

// probeDuringCall doubts a connection now and then while a call over it goes on. Stop the
// timer when the call ends; its context ends then too.
func (e *Endpoint) probeDuringCall(ctx context.Context, address string) *time.Timer {
	after := maxProbeDelay
	if deadline, bounded := ctx.Deadline(); bounded {
		after = min(after, time.Duration(probeFraction*float64(time.Until(deadline))))
	}
	return e.probeAfter(ctx, address, after)
}

func (e *Endpoint) probeAfter(ctx context.Context, address string, after time.Duration) *time.Timer {
	from := time.Now()
	return time.AfterFunc(after, func() {
		if ctx.Err() == nil {
			e.Probe(address, from)
			e.probeAfter(ctx, address, maxProbeDelay)
		}
	})
}
