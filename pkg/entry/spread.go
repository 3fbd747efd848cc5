// ================================================================
// The coordinators of copies on this entry: one for each digest that agents
// report here. Nobody appoints them; the agents' choice of whom to report to
// does. They exchange what their failure domains hold with each other.
// ================================================================

package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/spread"
)

const (
	// exchangeInterval is the time between exchanges with other domains, and
	// firstExchangeEvery that in the first seconds of a copy, when all wait to
	// hear who draws what. Fifteen domains at 0.6 KB five times a second would
	// be 45 KB a second.
	exchangeInterval        = time.Second
	initialExchangeInterval = 200 * time.Millisecond
	initialExchangePeriod   = 5 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// coordinatorIdleTimeout is when a coordinator without reports is dropped.
	coordinatorIdleTimeout = time.Minute
)

// lockedCoordinator is one coordinator with its lock.
type lockedCoordinator struct {
	mu             sync.Mutex
	coordinator    *spread.Coordinator
	startedAt      time.Time
	lastExchangeAt time.Time
	lastReportAt   time.Time
}

// exchangeDue tells whether it is time to ask the other domains. One that
// wants nothing only answers those that do.
func (c *lockedCoordinator) exchangeDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	initial := now.Sub(c.startedAt) < initialExchangePeriod
	if !c.coordinator.Incomplete() || !initial && now.Sub(c.lastExchangeAt) < exchangeInterval {
		return false
	}
	c.lastExchangeAt = now
	return true
}

// coordinators holds the coordinators of this entry.
type coordinators struct {
	entry *Entry

	mu       sync.Mutex
	byDigest map[contract.Digest]*lockedCoordinator
}

func newCoordinators(e *Entry) *coordinators {
	return &coordinators{entry: e, byDigest: map[contract.Digest]*lockedCoordinator{}}
}

// findOrCreate returns the coordinator of a digest, new when there is none.
func (c *coordinators) findOrCreate(digest contract.Digest) (*lockedCoordinator, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := c.byDigest[digest]; found != nil {
		return found, nil
	}
	model, ok := c.entry.state.View().Manifest(digest)
	if !ok {
		return nil, failure.New(failure.UnknownModel, "no model has the digest %s here yet", digest.Short())
	}
	domain := c.entry.process.Identity.Domain()
	created := &lockedCoordinator{coordinator: spread.NewCoordinator(spread.CoordinatorConfig{
		Domain:        domain,
		Digest:        digest,
		Total:         len(model.Manifest().Chunks()),
		OriginFetches: c.entry.settings.OriginDraws(),
		Random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, time.Now()), startedAt: time.Now(), lastReportAt: time.Now()}
	c.byDigest[digest] = created
	c.entry.process.Recorder.Record(event.CoordinatorChosen, digest.Short(), "coordinates "+domain)
	return created, nil
}

func (c *coordinators) serveReport(_ context.Context, s *link.Stream) error {
	var r contract.SpreadReport
	if err := s.Receive(&r); err != nil {
		return err
	}
	found, err := c.findOrCreate(r.Digest())
	if err != nil {
		return err
	}
	found.mu.Lock()
	now := time.Now()
	found.lastReportAt = now
	plan := found.coordinator.Report(r, now)
	found.mu.Unlock()
	return s.Send(plan)
}

// serveSources exchanges with the coordinator of another domain.
func (c *coordinators) serveSources(_ context.Context, s *link.Stream) error {
	var remote contract.DomainSources
	if err := s.Receive(&remote); err != nil {
		return err
	}
	c.mu.Lock()
	found := c.byDigest[remote.Digest()]
	c.mu.Unlock()
	if found == nil {
		// Nobody reports here: another entry of the domain coordinates.
		return s.Send(contract.DomainSources{})
	}
	found.mu.Lock()
	found.coordinator.UpdateRemote(remote, time.Now())
	local := found.coordinator.Sources(time.Now())
	found.mu.Unlock()
	return s.Send(local)
}

// run exchanges with other domains until the context ends.
func (c *coordinators) run(ctx context.Context) error {
	return daemon.Every(ctx, initialExchangeInterval, func() {
		for digest, found := range c.active() {
			if found.exchangeDue(time.Now()) {
				c.exchange(ctx, digest, found)
			}
		}
	})
}

// active returns the coordinators, without those that are idle.
func (c *coordinators) active() map[contract.Digest]*lockedCoordinator {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := map[contract.Digest]*lockedCoordinator{}
	for digest, found := range c.byDigest {
		found.mu.Lock()
		idle := time.Since(found.lastReportAt) > coordinatorIdleTimeout
		found.mu.Unlock()
		if idle {
			delete(c.byDigest, digest)
			continue
		}
		active[digest] = found
	}
	return active
}

// exchange asks the entries of other domains at once and takes their answers
// as they come.
func (c *coordinators) exchange(ctx context.Context, digest contract.Digest, found *lockedCoordinator) {
	found.mu.Lock()
	local := found.coordinator.Sources(time.Now())
	found.mu.Unlock()
	for _, beat := range c.entry.entries.live(time.Now()) {
		if beat.From().Domain() == c.entry.process.Identity.Domain() {
			continue
		}
		go func(address string) {
			callContext, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			var remote contract.DomainSources
			err := c.entry.process.Endpoint.Call(callContext, address, link.KindDomainSources, local, &remote)
			if err != nil || remote.Digest() != digest {
				return
			}
			found.mu.Lock()
			defer found.mu.Unlock()
			found.coordinator.UpdateRemote(remote, time.Now())
		}(beat.From().Address())
	}
}
