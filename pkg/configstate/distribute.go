// ================================================================
// Distribution of the configuration to processes that are not voters: each keeps a stream open to
// an entry and receives a delta for every change. Deltas are pushed and not polled because a change
// has to be in force everywhere within 6 s, although there is only one in 15 s (5,600 a day).
// ================================================================

package configstate

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/tidepost/tidepost/pkg/bus"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// keepAlive is the interval of empty deltas on an idle stream, by which a follower detects a
	// connection that is lost without a reset.
	keepAlive = 2 * time.Second
	// followTimeout is how long a follower waits for a message.
	followTimeout = 3 * keepAlive
	// maxBehind is the number of consecutive messages with an older revision than the follower's
	// after which it leaves the entry.
	maxBehind    = 3
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Distributor serves the configuration to followers. It is safe for concurrent use.
type Distributor struct {
	state     *State
	confirmed func() bool

	mu      sync.Mutex
	changed chan struct{}
}

// NewDistributor returns a distributor of a state. confirmed reports whether a leader, and so a
// quorum, was known recently. Call it before the first change is applied to the state.
func NewDistributor(s *State, confirmed func() bool) *Distributor {
	d := &Distributor{state: s, confirmed: confirmed, changed: make(chan struct{})}
	s.OnChange(func(contract.Delta) { d.notifyChange() })
	return d
}

// notifyChange closes the channel that nextChange returned.
func (d *Distributor) notifyChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (d *Distributor) nextChange() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Serve sends deltas to one follower until its stream fails or ctx ends.
func (d *Distributor) Serve(ctx context.Context, s *link.Stream) error {
	var f contract.DeltaRequest
	if err := s.Receive(&f); err != nil {
		return err
	}
	timer := time.NewTicker(keepAlive)
	defer timer.Stop()
	sent := f.Revision()
	for {
		changed := d.nextChange()
		delta, ok := d.state.Since(sent)
		if !ok {
			delta = contract.NewDelta(sent, d.state.Revision(), nil, d.confirmed())
		} else {
			delta = contract.NewDelta(delta.From(), delta.Revision(), delta.Objects(), d.confirmed())
			sent = delta.Revision()
		}
		if err := s.Send(delta); err != nil {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// ----------------------------------------------------------------
// Follower

// Follower keeps a state up to date from the first of its addresses that answers.
type Follower struct {
	Endpoint *link.Endpoint
	State    *State
	// Addresses returns the addresses of the entries in order of preference.
	Addresses func() []string
	// OnMessage is called with every message; confirmed reports whether the entry knew a leader, and
	// so a quorum.
	OnMessage func(confirmed bool)
}

// Run follows entries until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	b := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstBackoff),
		backoff.WithMaxInterval(maxBackoff),
		backoff.WithMaxElapsedTime(0))
	for {
		for _, address := range f.Addresses() {
			if f.followEntry(ctx, address) {
				b.Reset()
			}
			if ctx.Err() != nil {
				return nil
			}
		}
		select {
		case <-time.After(b.NextBackOff()):
		case <-ctx.Done():
			return nil
		}
	}
}

// followEntry applies the deltas of one entry until its stream fails, and reports whether it
// received any message. It returns false if the entry stays behind this process.
func (f *Follower) followEntry(ctx context.Context, address string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := f.Endpoint.Open(ctx, address, link.KindSubscribe, bus.TopicConfig)
	if err != nil {
		return false
	}
	defer s.Close()
	if err := s.Send(contract.NewDeltaRequest(f.State.Revision())); err != nil {
		return false
	}
	received, behind := false, 0
	for behind < maxBehind {
		s.SetDeadline(time.Now().Add(followTimeout))
		var d contract.Delta
		if err := s.Receive(&d); err != nil {
			return received
		}
		received = true
		if d.Revision() < f.State.Revision() {
			behind++
		} else {
			behind = 0
		}
		if len(d.Objects()) > 0 && !f.State.ApplyDelta(d) && d.Revision() > f.State.Revision() {
			// Revisions are missing: subscribe again from the current revision.
			return received
		}
		f.OnMessage(d.QuorumConfirmed())
	}
	// The entry stays behind the revision of this process: try another entry.
	return false
}
