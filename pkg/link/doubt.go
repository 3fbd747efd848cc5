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
	// doubtPart of the time that a call has may pass before its connection is doubted,
	// and mostBeforeDoubt at the most, and again as long as it goes on: the new
	// connection is then up when the call ends, and the caller can ask again at once.
	doubtPart       = 0.5
	mostBeforeDoubt = 250 * time.Millisecond
	// pongWithin is how long the answer to a ping may take before a second connection
	// is dialed: ways there and back take up to 6 ms, and a busy process some more.
	pongWithin = 20 * time.Millisecond
	// secondDial bounds the second connection with its handshake: three times there
	// and back, and one opening packet that is lost (see firstTry).
	secondDial = 350 * time.Millisecond
	// firstRest is how long a peer is left alone for which a second connection was
	// dialed; twice as long each time in a row, up to longestRest. It bounds what a
	// dead or a slow peer, or one whose new connections go silent too, can cost.
	firstRest   = 200 * time.Millisecond
	longestRest = 4 * time.Second
	// retiredPatience is how long a connection that was replaced may stay silent before
	// it is closed with its streams. It may have been slow only, behind a message that
	// fills its link; those who wait on it know that it was replaced.
	retiredPatience = supersededPatience
)

// Finding is what came of a doubt.
type Finding string

const (
	// Unknown is found where nobody looked: there is no connection, or it was looked
	// at just now.
	Unknown Finding = "unknown"
	// Speaks is found where the peer was heard on the connection: it is slow.
	Speaks Finding = "speaks"
	// Replaced is found where the connection was silent and another took its place.
	Replaced Finding = "replaced"
	// Unreached is found where neither the connection nor another brought anything.
	Unreached Finding = "unreached"
)

// Doubt is a look at a connection, under way or ended.
type Doubt struct {
	done    chan struct{}
	finding Finding
}

func settled(f Finding) *Doubt {
	d := &Doubt{done: make(chan struct{}), finding: f}
	close(d.done)
	return d
}

// Await returns what was found, or Unknown if the context ends before.
func (d *Doubt) Await(ctx context.Context) Finding {
	select {
	case <-d.done:
		return d.finding
	case <-ctx.Done():
		return Unknown
	}
}

// doubts is what is known of the doubts of one address. The endpoint's lock guards it.
type doubts struct {
	now       *Doubt // the one under way
	found     Finding
	rest      time.Duration
	restUntil time.Time
}

// Doubt says that something sent to an address at a moment was not answered in time,
// and has the connection looked at unless bytes came since. It never waits; all who
// doubt a connection at one time share one look.
func (e *Endpoint) Doubt(address string, since time.Time) *Doubt {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.sessions[address]
	if e.closed || d == nil || d.session == nil || d.session.IsClosed() {
		return settled(Unknown)
	}
	switch {
	case d.replaces && d.began.After(since):
		return settled(Replaced)
	case d.isHeardSince(since):
		return settled(Speaks)
	case d.doubts.now != nil:
		return d.doubts.now
	case time.Now().Before(d.doubts.restUntil):
		return settled(d.doubts.found)
	}
	doubt := &Doubt{done: make(chan struct{})}
	d.doubts.now = doubt
	go e.resolve(d, doubt)
	return doubt
}

// resolve looks at a connection in doubt and replaces it if it is silent.
func (e *Endpoint) resolve(d *dialed, doubt *Doubt) {
	asked := time.Now()
	fresh, finding, dialedAnew := e.look(d)
	e.mu.Lock()
	if finding == Replaced && !e.replace(d, fresh) {
		finding = Unknown
	}
	d.doubts.end(finding, dialedAnew)
	if finding == Replaced {
		fresh.doubts = d.doubts
		fresh.doubts.found = Unknown
	}
	e.mu.Unlock()
	doubt.finding = finding
	close(doubt.done)
	if e.config.Doubted != nil {
		e.config.Doubted(finding)
	}
	switch {
	case finding == Replaced:
		_ = level.Info(e.config.Logger).Log("msg", "link replaced", "peer", string(d.peer.ID()), "address", d.address,
			"silent_ms", time.Since(d.heard.time()).Milliseconds(), "streams", d.session.NumStreams())
		d.giveUp()
		go e.retire(d)
		e.doubtOthers(d.address, asked)
	case fresh != nil:
		_ = fresh.session.Close()
	}
}

// look finds out whether a connection is silent, and whether it took a second one to do
// so, which is returned if it came up.
func (e *Endpoint) look(d *dialed) (fresh *dialed, f Finding, dialedAnew bool) {
	asked := time.Now()
	if d.speaks(pongWithin) {
		return nil, Speaks, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), secondDial)
	defer cancel()
	go func() {
		select {
		case <-d.ask():
			cancel()
		case <-ctx.Done():
		}
	}()
	c, err := e.connect(ctx, d.address)
	if err == nil {
		fresh = newDialed(d.address, c)
	}
	switch {
	case d.isHeardSince(asked):
		return fresh, Speaks, true
	case err != nil:
		return nil, Unreached, true
	}
	return fresh, Replaced, true
}

// replace puts a connection in the place of another, unless that has lost its place
// meanwhile. The caller holds the lock.
func (e *Endpoint) replace(old, fresh *dialed) bool {
	if e.closed || e.sessions[old.address] != old {
		return false
	}
	fresh.replaces, fresh.began = true, time.Now()
	e.sessions[old.address] = fresh
	e.retired[old] = true
	return true
}

// end notes what came of a look. Where a second connection was dialed, the peer is left
// alone for a while.
func (s *doubts) end(f Finding, dialedAnew bool) {
	s.now, s.found = nil, f
	if !dialedAnew {
		return
	}
	now := time.Now()
	if s.rest = min(2*s.rest, longestRest); s.rest == 0 || now.Sub(s.restUntil) > longestRest {
		s.rest = firstRest
	}
	s.restUntil = now.Add(s.rest)
}

// retire closes a connection that was replaced, once it is silent for longer still or
// has no streams left.
func (e *Endpoint) retire(d *dialed) {
	for d.speaks(retiredPatience) && d.session.NumStreams() > 0 {
		select {
		case <-time.After(retiredPatience):
		case <-d.session.CloseChan():
		}
	}
	_ = d.session.Close()
	e.mu.Lock()
	delete(e.retired, d)
	e.mu.Unlock()
}

// doubtOthers doubts all other connections that nothing came over since one was found
// silent: what silenced one may have silenced many, and so nobody who needs one of them
// has to wait to find out. Each costs a ping.
func (e *Endpoint) doubtOthers(found string, since time.Time) {
	e.mu.Lock()
	var others []string
	for address, d := range e.sessions {
		if address != found && d.session != nil && !d.isHeardSince(since) {
			others = append(others, address)
		}
	}
	e.mu.Unlock()
	for _, address := range others {
		e.Doubt(address, since)
	}
}

// doubtDuring doubts a connection now and then while a call over it goes on. Stop the
// timer when the call ends; its context ends then too.
func (e *Endpoint) doubtDuring(ctx context.Context, address string) *time.Timer {
	after := mostBeforeDoubt
	if deadline, bounded := ctx.Deadline(); bounded {
		after = min(after, time.Duration(doubtPart*float64(time.Until(deadline))))
	}
	return e.doubtAfter(ctx, address, after)
}

func (e *Endpoint) doubtAfter(ctx context.Context, address string, after time.Duration) *time.Timer {
	from := time.Now()
	return time.AfterFunc(after, func() {
		if ctx.Err() == nil {
			e.Doubt(address, from)
			e.doubtAfter(ctx, address, mostBeforeDoubt)
		}
	})
}
