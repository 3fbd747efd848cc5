// ================================================================
// How configuration reaches the processes that are not voters: each keeps one
// stream open to an entry and gets a delta for every change.
//
// Pushed, not polled: 5,600 changes a day are one in 15 s, and a change has to
// be in force everywhere within 6 s.
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
	// keepAlive is how often an idle stream carries an empty delta, so that a
	// follower notices a silent cut.
	keepAlive = 2 * time.Second
	// followTimeout is how long a follower waits for anything at all.
	followTimeout = 3 * keepAlive
	// maxBehind is how many messages in a row an entry may be behind its
	// follower.
	maxBehind    = 3
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Distributor serves the configuration to followers.
type Distributor struct {
	state     *State
	confirmed func() bool

	mu      sync.Mutex
	changed chan struct{}
}

// NewDistributor returns a distributor of a state; confirmed tells whether a
// quorum's leader was heard of lately. Make it before the state is fed.
func NewDistributor(s *State, confirmed func() bool) *Distributor {
	d := &Distributor{state: s, confirmed: confirmed, changed: make(chan struct{})}
	s.OnChange(func(contract.Delta) { d.notifyChange() })
	return d
}

func (d *Distributor) notifyChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Distributor) nextChange() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Serve answers one follower until its stream breaks.
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

// Follower keeps a state up to date from the first of its addresses that
// answers.
type Follower struct {
	Endpoint *link.Endpoint
	State    *State
	// Addresses returns the entries to follow, best first.
	Addresses func() []string
	// OnMessage is told of every message, and whether it was confirmed.
	OnMessage func(confirmed bool)
}

// Run follows until the context ends.
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

// followEntry reads from one entry until it breaks off, and tells whether anything
// came from it.
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
			// A gap: ask again from the revision that is in force here.
			return received
		}
		f.OnMessage(d.Confirmed())
	}
	// The entry stays behind what is in force here: look for a later one.
	return false
}
