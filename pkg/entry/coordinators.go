// ================================================================
// The coordinators of weight distribution on this entry: one for each digest that
// agents report here. They are not elected: the agents of a failure domain rank the
// entries alike and report to the first that responds. Coordinators of different failure
// domains exchange which chunks their domains hold.
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
	// exchangeInterval is the interval between exchanges with other domains.
	// initialExchangeInterval applies during initialExchangePeriod after a coordinator
	// starts, when all domains wait to learn which of them fetches which chunk from the
	// origin. It is not used throughout: fifteen domains at 0.6 KB five times a second
	// would be 45 KB a second.
	exchangeInterval        = time.Second
	initialExchangeInterval = 200 * time.Millisecond
	initialExchangePeriod   = 5 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// coordinatorIdleTimeout is the time without reports after which a coordinator is dropped.
	coordinatorIdleTimeout = time.Minute
)

// lockedCoordinator is a coordinator with its lock and the times of its exchanges.
type lockedCoordinator struct {
	mu             sync.Mutex
	coordinator    *spread.Coordinator
	startedAt      time.Time
	lastExchangeAt time.Time
	lastReportAt   time.Time
}

// exchangeDue reports whether to start an exchange with the other domains, and then
// records its time. A coordinator that needs no chunks only responds to others.
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

// findOrCreate returns the coordinator of a digest and creates it if there is none.
func (c *coordinators) findOrCreate(digest contract.Digest) (*lockedCoordinator, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found := c.byDigest[digest]; found != nil {
		return found, nil
	}
	model, ok := c.entry.state.View().ModelByDigest(digest)
	if !ok {
		return nil, failure.New(failure.UnknownModel, "no model has the digest %s here yet", digest.Short())
	}
	domain := c.entry.process.Identity.Domain()
	created := &lockedCoordinator{coordinator: spread.NewCoordinator(spread.CoordinatorConfig{
		Domain:           domain,
		Digest:           digest,
		Total:            len(model.Manifest().Chunks()),
		MaxOriginFetches: c.entry.settings.MaxOriginFetches(),
		Random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
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

// serveSources responds to an exchange of the coordinator of another failure domain.
func (c *coordinators) serveSources(_ context.Context, s *link.Stream) error {
	var remote contract.DomainSources
	if err := s.Receive(&remote); err != nil {
		return err
	}
	c.mu.Lock()
	found := c.byDigest[remote.Digest()]
	c.mu.Unlock()
	if found == nil {
		// No agent reports the digest here: another entry of the domain coordinates it.
		return s.Send(contract.DomainSources{})
	}
	found.mu.Lock()
	found.coordinator.UpdateRemote(remote, time.Now())
	local := found.coordinator.Sources(time.Now())
	found.mu.Unlock()
	return s.Send(local)
}

// run starts the exchanges that are due until the context ends.
func (c *coordinators) run(ctx context.Context) error {
	return daemon.Every(ctx, initialExchangeInterval, func() {
		for digest, found := range c.active() {
			if found.exchangeDue(time.Now()) {
				c.exchange(ctx, digest, found)
			}
		}
	})
}

// active drops the idle coordinators and returns the others.
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

// exchange calls the entries of all other domains in parallel and returns without
// waiting. Each response is passed to the coordinator as it arrives.
func (c *coordinators) exchange(ctx context.Context, digest contract.Digest, found *lockedCoordinator) {
	found.mu.Lock()
	local := found.coordinator.Sources(time.Now())
	found.mu.Unlock()
	for _, heartbeat := range c.entry.entries.live(time.Now()) {
		if heartbeat.From().Domain() == c.entry.process.Identity.Domain() {
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
		}(heartbeat.From().Address())
	}
}
