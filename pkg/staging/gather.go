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
	// asksAtOnce bounds the questions of one member under way, and
	// asksBesideWork those of one whose engine serves: two keep its link full, and
	// every chunk more under way keeps requests to the engine waiting.
	asksAtOnce     = 8
	asksBesideWork = 2
	// drawTimeout bounds one draw from the origin.
	drawTimeout = 4 * time.Second
	// missPause is how long a chunk rests that a source did not have.
	missPause = 150 * time.Millisecond
	// idlePause is how long a gatherer waits that finds nothing to ask.
	idlePause = 100 * time.Millisecond
)

// gather brings all chunks of a copy here, or ends with the context.
func (m *Member) gather(ctx context.Context, c *weightsCopy) {
	m.learnFromCaches(ctx, c)
	most := asksAtOnce
	if m.beside.serves != nil && m.beside.serves() {
		most = asksBesideWork
	}
	g := newGatherer(c, func() plan { return m.planFor(c) }, most)
	var group sync.WaitGroup
	for range most {
		group.Go(func() { m.gatherOne(ctx, c, g) })
	}
	group.Wait()
}

// gatherOne asks one question after the other.
func (m *Member) gatherOne(ctx context.Context, c *weightsCopy, g *gatherer) {
	for ctx.Err() == nil && !c.isComplete() {
		news := c.nextNews()
		next, ok := g.next(time.Now())
		if !ok {
			select {
			case <-ctx.Done():
			case <-c.complete:
			case <-news:
			case <-time.After(idlePause):
			}
			continue
		}
		started := time.Now()
		answered := m.fetch(ctx, c, next.source, next.number)
		g.done(next, answered, time.Since(started), time.Now())
	}
}

// learnFromCaches asks the caches of this failure domain which chunks they have
// already: nobody tells a newcomer of what came before it.
func (m *Member) learnFromCaches(ctx context.Context, c *weightsCopy) {
	domains, caches := m.members(c.manifest.model)
	own := m.process.Identity
	for address := range caches {
		if address == own.Address() || domains[address] != own.Domain() || m.failing.rests(address) {
			continue
		}
		r, err := m.ask(ctx, address, question{model: c.manifest.model, version: c.manifest.version, number: heldNumber})
		if err != nil {
			m.failing.failed(address)
			continue
		}
		c.learn(address, r.held)
	}
}

// planFor returns the plan of this member for a copy, as things are now. Every
// chunk that comes asks for it, and it changes only when the members do.
func (m *Member) planFor(c *weightsCopy) plan {
	model, version := c.manifest.model, c.manifest.version
	domains, caches := m.members(model)
	seen := swarm{
		own: m.process.Identity.Address(), domains: domains, caches: caches,
		holders: m.holders(model, version), resting: m.failing.resting(domains),
	}
	m.planLock.Lock()
	defer m.planLock.Unlock()
	if m.plannedFor != c || !seen.equal(m.planned) {
		m.plan = newPlan(seen, model, version, len(c.manifest.digests))
		m.plannedFor, m.planned = c, seen
	}
	return m.plan
}

// fetch brings one chunk here, once however many ask for it. It returns false
// when the source does not answer.
func (m *Member) fetch(ctx context.Context, c *weightsCopy, source string, number int) bool {
	key := fetchKey{c, number}
	if !m.claimFetch(key) {
		waiting, cancel := context.WithTimeout(ctx, waitForChunk)
		defer cancel()
		c.wait(waiting, number)
		return true
	}
	defer m.releaseFetch(key)
	if source == m.process.Identity.Address() {
		m.draw(ctx, c, number)
		return true
	}
	holders, answered := m.askFor(ctx, c, source, number, true)
	for _, holder := range holders {
		if c.get(number) != nil {
			break
		}
		m.askFor(ctx, c, holder, number, false)
	}
	return answered
}

// askFor asks another member for a chunk and takes it. Where that one has no upload
// free it names others that have the chunk; answered is false where it does not
// answer. draw has it bring the chunk there if need be.
func (m *Member) askFor(ctx context.Context, c *weightsCopy, source string, number int, draw bool) (holders []string, answered bool) {
	r, err := m.ask(ctx, source, question{c.manifest.model, c.manifest.version, number, draw, c.held()})
	if err != nil {
		m.failing.failed(source)
		_ = level.Info(m.process.Logger).Log("msg", "stager lost", "address", source, "chunk", number, "err", err)
		return nil, false
	}
	c.learn(source, r.held)
	if r.data != nil {
		m.take(c, number, r.data, sourcePeer, source)
	}
	return r.holders, true
}

// fetchKey is a fetch under way.
type fetchKey struct {
	copy   *weightsCopy
	number int
}

func (m *Member) claimFetch(k fetchKey) bool {
	m.fetching.Lock()
	defer m.fetching.Unlock()
	if m.underWay[k] {
		return false
	}
	m.underWay[k] = true
	return true
}

func (m *Member) releaseFetch(k fetchKey) {
	m.fetching.Lock()
	defer m.fetching.Unlock()
	delete(m.underWay, k)
}

// fetchSoon brings a chunk here that another stager asks for.
func (m *Member) fetchSoon(c *weightsCopy, number int) {
	source := m.planFor(c).source(number)
	go m.fetch(m.running, c, source, number)
}

// chunkSource is where a chunk came from.
type chunkSource string

const (
	sourceOrigin chunkSource = "origin"
	sourcePeer   chunkSource = "peer"
	sourceEngine chunkSource = "engine"
	sourceSpoilt chunkSource = "spoilt"
)

// take checks a chunk and keeps it.
func (m *Member) take(c *weightsCopy, number int, data []byte, from chunkSource, address string) bool {
	fresh, err := c.add(number, data)
	if err != nil {
		m.metrics.chunks.WithLabelValues(string(sourceSpoilt)).Inc()
		_ = level.Warn(m.process.Logger).Log("msg", "chunk refused", "chunk", number, "from", address, "err", err)
		if from == sourcePeer {
			m.failing.failed(address)
		}
		return false
	}
	m.metrics.chunks.WithLabelValues(string(from)).Inc()
	if fresh {
		m.notify(c, number)
	}
	return true
}

// draw draws a chunk from the origin.
func (m *Member) draw(ctx context.Context, c *weightsCopy, number int) {
	origin := m.origin()
	if origin == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	data, err := m.protocol.Draw(ctx, origin, c.manifest.model, c.manifest.version, number)
	if err != nil {
		_ = level.Info(m.process.Logger).Log("msg", "draw failed", "chunk", number, "origin", origin, "err", err)
		return
	}
	m.take(c, number, data, sourceOrigin, origin)
}
