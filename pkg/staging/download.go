// ================================================================
// The download of a copy. A member fetches the chunks that it owns from the origin and requests the
// others once it knows of a holder nearby, a bounded number at a time. Every reply lists the chunks
// that the sender holds, so requests move to idle members.
// ================================================================

package staging

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// maxRequests bounds the concurrent requests of one member, and maxRequestsWhileServing those
	// of one whose engine serves. Two requests keep its link full, and each further chunk in flight
	// delays requests to the engine.
	maxRequests             = 8
	maxRequestsWhileServing = 2
	// originTimeout bounds one request to the origin.
	originTimeout = 4 * time.Second
	// missBackoff is the delay before a chunk that a source did not have is requested again.
	missBackoff = 150 * time.Millisecond
	// idleWait is the delay before the next attempt if there is nothing to request.
	idleWait = 100 * time.Millisecond
)

// download fetches all chunks of a copy, or returns when the context ends.
func (m *Member) download(ctx context.Context, c *weightsCopy) {
	m.queryCaches(ctx, c)
	limit := maxRequests
	if m.stagingArea.isServing != nil && m.stagingArea.isServing() {
		limit = maxRequestsWhileServing
	}
	g := newFetchScheduler(c, func() plan { return m.planFor(c) }, limit)
	var group sync.WaitGroup
	for range limit {
		group.Go(func() { m.downloadLoop(ctx, c, g) })
	}
	group.Wait()
}

// downloadLoop sends one request after the other until the copy is complete.
func (m *Member) downloadLoop(ctx context.Context, c *weightsCopy, g *fetchScheduler) {
	for ctx.Err() == nil && !c.isComplete() {
		holdingsChange := c.nextHoldingsChange()
		next, ok := g.next(time.Now())
		if !ok {
			select {
			case <-ctx.Done():
			case <-c.complete:
			case <-holdingsChange:
			case <-time.After(idleWait):
			}
			continue
		}
		started := time.Now()
		answered := m.fetch(ctx, c, next.source, next.number)
		g.done(next, answered, time.Since(started), time.Now())
	}
}

// queryCaches asks the caches of this failure domain which chunks they hold, since a new member has
// missed their earlier notices.
func (m *Member) queryCaches(ctx context.Context, c *weightsCopy) {
	domains, caches := m.members(c.manifest.model)
	own := m.process.Identity
	for address := range caches {
		if address == own.Address() || domains[address] != own.Domain() || m.peerFailures.isUnavailable(address) {
			continue
		}
		r, err := m.query(ctx, address, chunkQuery{model: c.manifest.model, version: c.manifest.version, number: heldNumber})
		if err != nil {
			m.peerFailures.record(address)
			continue
		}
		c.addHoldings(address, r.heldBits)
	}
}

// planFor returns the current plan of this member for a copy. It is called for every chunk and
// recomputes the plan only when the swarm has changed.
func (m *Member) planFor(c *weightsCopy) plan {
	model, version := c.manifest.model, c.manifest.version
	domains, caches := m.members(model)
	current := swarm{
		own: m.process.Identity.Address(), domains: domains, caches: caches,
		holders: m.holders(model, version), unavailable: m.peerFailures.unavailable(domains),
	}
	m.planLock.Lock()
	defer m.planLock.Unlock()
	if m.planCopy != c || !current.equal(m.planSwarm) {
		m.plan = newPlan(current, model, version, len(c.manifest.digests))
		m.planCopy, m.planSwarm = c, current
	}
	return m.plan
}

// fetch fetches one chunk; concurrent calls for the same chunk share one fetch. It returns false if
// the source does not answer.
func (m *Member) fetch(ctx context.Context, c *weightsCopy, source string, number int) bool {
	key := fetchKey{c, number}
	if !m.claimFetch(key) {
		waitCtx, cancel := context.WithTimeout(ctx, chunkWait)
		defer cancel()
		c.wait(waitCtx, number)
		return true
	}
	defer m.releaseFetch(key)
	if source == m.process.Identity.Address() {
		m.fetchFromOrigin(ctx, c, number)
		return true
	}
	holders, answered := m.fetchFromPeer(ctx, c, source, number, true)
	for _, holder := range holders {
		if c.get(number) != nil {
			break
		}
		m.fetchFromPeer(ctx, c, holder, number, false)
	}
	return answered
}

// fetchFromPeer requests a chunk from another member and stores it. holders are other members to
// ask, if that member has no free upload; answered is false if it does not answer. fetchIfMissing
// makes that member fetch a chunk that it does not hold.
func (m *Member) fetchFromPeer(ctx context.Context, c *weightsCopy, source string, number int, fetchIfMissing bool) (holders []string, answered bool) {
	r, err := m.query(ctx, source, chunkQuery{c.manifest.model, c.manifest.version, number, fetchIfMissing, c.heldBits()})
	if err != nil {
		m.peerFailures.record(source)
		_ = level.Info(m.process.Logger).Log("msg", "stager lost", "address", source, "chunk", number, "err", err)
		return nil, false
	}
	c.addHoldings(source, r.heldBits)
	if r.data != nil {
		m.acceptChunk(c, number, r.data, sourcePeer, source)
	}
	return r.holders, true
}

// fetchKey identifies a fetch in progress.
type fetchKey struct {
	copy   *weightsCopy
	number int
}

func (m *Member) claimFetch(k fetchKey) bool {
	m.fetchLock.Lock()
	defer m.fetchLock.Unlock()
	if m.fetches[k] {
		return false
	}
	m.fetches[k] = true
	return true
}

func (m *Member) releaseFetch(k fetchKey) {
	m.fetchLock.Lock()
	defer m.fetchLock.Unlock()
	delete(m.fetches, k)
}

// startFetch starts the fetch of a chunk that another member requested.
func (m *Member) startFetch(c *weightsCopy, number int) {
	source := m.planFor(c).source(number)
	go m.fetch(m.runContext, c, source, number)
}

// chunkSource is where a chunk came from, as a label value of the chunks metric. sourceCorrupt counts
// the chunks that failed verification.
type chunkSource string

const (
	sourceOrigin  chunkSource = "origin"
	sourcePeer    chunkSource = "peer"
	sourceEngine  chunkSource = "engine"
	sourceCorrupt chunkSource = "spoilt"
)

// acceptChunk verifies and stores a chunk, and reports whether it is valid.
func (m *Member) acceptChunk(c *weightsCopy, number int, data []byte, from chunkSource, address string) bool {
	added, err := c.add(number, data)
	if err != nil {
		m.metrics.chunks.WithLabelValues(string(sourceCorrupt)).Inc()
		_ = level.Warn(m.process.Logger).Log("msg", "chunk refused", "chunk", number, "from", address, "err", err)
		if from == sourcePeer {
			m.peerFailures.record(address)
		}
		return false
	}
	m.metrics.chunks.WithLabelValues(string(from)).Inc()
	if added {
		m.notify(c, number)
	}
	return true
}

// fetchFromOrigin fetches a chunk from the origin.
func (m *Member) fetchFromOrigin(ctx context.Context, c *weightsCopy, number int) {
	origin := m.origin()
	if origin == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	data, err := m.protocol.FetchChunk(ctx, origin, c.manifest.model, c.manifest.version, number)
	if err != nil {
		_ = level.Info(m.process.Logger).Log("msg", "fetch from the origin failed", "chunk", number, "origin", origin, "err", err)
		return
	}
	m.acceptChunk(c, number, data, sourceOrigin, origin)
}
