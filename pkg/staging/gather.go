// ================================================================
// Gathering a copy: this stager draws the chunks that it owns, and asks for the
// others once it knows of somebody near who has them, a few at one time. Every
// answer says which chunks the one asked has, so load moves to whoever is idle.
// ================================================================

package staging

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// maxRequests bounds the questions of one member under way, and
	// asksBesideWork those of one whose engine serves: two keep its link full, and
	// every chunk more under way keeps requests to the engine waiting.
	maxRequests             = 8
	maxRequestsWhileServing = 2
	// originTimeout bounds one draw from the origin.
	originTimeout = 4 * time.Second
	// missBackoff is how long a chunk rests that a source did not have.
	missBackoff = 150 * time.Millisecond
	// idleWait is how long a gatherer waits that finds nothing to ask.
	idleWait = 100 * time.Millisecond
)

// download brings all chunks of a copy here, or ends with the context.
func (m *Member) download(ctx context.Context, c *weightsCopy) {
	m.queryCaches(ctx, c)
	most := maxRequests
	if m.stagingArea.isServing != nil && m.stagingArea.isServing() {
		most = maxRequestsWhileServing
	}
	g := newFetchScheduler(c, func() plan { return m.planFor(c) }, most)
	var group sync.WaitGroup
	for range most {
		group.Go(func() { m.downloadLoop(ctx, c, g) })
	}
	group.Wait()
}

// downloadLoop asks one question after the other.
func (m *Member) downloadLoop(ctx context.Context, c *weightsCopy, g *fetchScheduler) {
	for ctx.Err() == nil && !c.isComplete() {
		news := c.nextHoldingsChange()
		next, ok := g.next(time.Now())
		if !ok {
			select {
			case <-ctx.Done():
			case <-c.complete:
			case <-news:
			case <-time.After(idleWait):
			}
			continue
		}
		started := time.Now()
		answered := m.fetch(ctx, c, next.source, next.number)
		g.done(next, answered, time.Since(started), time.Now())
	}
}

// queryCaches asks the caches of this failure domain which chunks they have
// already: nobody tells a newcomer of what came before it.
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

// planFor returns the plan of this member for a copy, as things are now. Every
// chunk that comes asks for it, and it changes only when the members do.
func (m *Member) planFor(c *weightsCopy) plan {
	model, version := c.manifest.model, c.manifest.version
	domains, caches := m.members(model)
	seen := swarm{
		own: m.process.Identity.Address(), domains: domains, caches: caches,
		holders: m.holders(model, version), unavailable: m.peerFailures.unavailable(domains),
	}
	m.planLock.Lock()
	defer m.planLock.Unlock()
	if m.planCopy != c || !seen.equal(m.planSwarm) {
		m.plan = newPlan(seen, model, version, len(c.manifest.digests))
		m.planCopy, m.planSwarm = c, seen
	}
	return m.plan
}

// fetch brings one chunk here, once however many ask for it. It returns false
// when the source does not answer.
func (m *Member) fetch(ctx context.Context, c *weightsCopy, source string, number int) bool {
	key := fetchKey{c, number}
	if !m.claimFetch(key) {
		waiting, cancel := context.WithTimeout(ctx, chunkWait)
		defer cancel()
		c.wait(waiting, number)
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

// fetchFromPeer asks another member for a chunk and takes it. Where that one has no upload
// free it names others that have the chunk; answered is false where it does not
// answer. draw has it bring the chunk there if need be.
func (m *Member) fetchFromPeer(ctx context.Context, c *weightsCopy, source string, number int, draw bool) (holders []string, answered bool) {
	r, err := m.query(ctx, source, chunkQuery{c.manifest.model, c.manifest.version, number, draw, c.heldBits()})
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

// fetchKey is a fetch under way.
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

// startFetch brings a chunk here that another stager asks for.
func (m *Member) startFetch(c *weightsCopy, number int) {
	source := m.planFor(c).source(number)
	go m.fetch(m.runContext, c, source, number)
}

// chunkSource is where a chunk came from.
type chunkSource string

const (
	sourceOrigin  chunkSource = "origin"
	sourcePeer    chunkSource = "peer"
	sourceEngine  chunkSource = "engine"
	sourceCorrupt chunkSource = "spoilt"
)

// acceptChunk checks a chunk and keeps it.
func (m *Member) acceptChunk(c *weightsCopy, number int, data []byte, from chunkSource, address string) bool {
	fresh, err := c.add(number, data)
	if err != nil {
		m.metrics.chunks.WithLabelValues(string(sourceCorrupt)).Inc()
		_ = level.Warn(m.process.Logger).Log("msg", "chunk refused", "chunk", number, "from", address, "err", err)
		if from == sourcePeer {
			m.peerFailures.record(address)
		}
		return false
	}
	m.metrics.chunks.WithLabelValues(string(from)).Inc()
	if fresh {
		m.notify(c, number)
	}
	return true
}

// fetchFromOrigin draws a chunk from the origin.
func (m *Member) fetchFromOrigin(ctx context.Context, c *weightsCopy, number int) {
	origin := m.origin()
	if origin == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	data, err := m.protocol.FetchChunk(ctx, origin, c.manifest.model, c.manifest.version, number)
	if err != nil {
		_ = level.Info(m.process.Logger).Log("msg", "draw failed", "chunk", number, "origin", origin, "err", err)
		return
	}
	m.acceptChunk(c, number, data, sourceOrigin, origin)
}
