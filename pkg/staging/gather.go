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
	// asksAtOnce bounds the questions of one stager under way.
	asksAtOnce = 8
	// drawTimeout bounds one draw from the origin.
	drawTimeout = 4 * time.Second
	// missPause is how long a chunk rests that a source did not have.
	missPause = 150 * time.Millisecond
	// idlePause is how long a gatherer waits that finds nothing to ask.
	idlePause = 100 * time.Millisecond
)

// gather brings all chunks of a copy here, or ends with the context.
func (s *Stager) gather(ctx context.Context, c *weightsCopy) {
	g := newGatherer(c, func() plan { return s.planFor(c) })
	var group sync.WaitGroup
	for range asksAtOnce {
		group.Go(func() { s.gatherOne(ctx, c, g) })
	}
	group.Wait()
}

// gatherOne asks one question after the other.
func (s *Stager) gatherOne(ctx context.Context, c *weightsCopy, g *gatherer) {
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
		answered := s.fetch(ctx, c, next.source, next.number)
		g.done(next, answered, time.Since(started), time.Now())
	}
}

// planFor returns the plan of this stager for a copy, as things are now.
func (s *Stager) planFor(c *weightsCopy) plan {
	model, version := c.manifest.model, c.manifest.version
	return newPlan(s.process.Identity.Address(), model, version, len(c.manifest.digests), s.domains(),
		s.holders(model, version), s.failing.rests)
}

// fetch brings one chunk here, once however many ask for it. It returns false
// when the source does not answer.
func (s *Stager) fetch(ctx context.Context, c *weightsCopy, source string, number int) bool {
	key := fetchKey{c, number}
	if !s.claimFetch(key) {
		waiting, cancel := context.WithTimeout(ctx, waitForChunk)
		defer cancel()
		c.wait(waiting, number)
		return true
	}
	defer s.releaseFetch(key)
	if source == s.process.Identity.Address() {
		s.draw(ctx, c, number)
		return true
	}
	r, err := s.ask(ctx, source, question{c.manifest.model, c.manifest.version, number, true, c.held()})
	if err != nil {
		s.failing.failed(source)
		_ = level.Info(s.process.Logger).Log("msg", "stager lost", "address", source, "chunk", number, "err", err)
		return false
	}
	c.learn(source, r.held)
	if r.data != nil {
		s.take(c, number, r.data, sourcePeer, source)
	}
	return true
}

// fetchKey is a fetch under way.
type fetchKey struct {
	copy   *weightsCopy
	number int
}

func (s *Stager) claimFetch(k fetchKey) bool {
	s.fetching.Lock()
	defer s.fetching.Unlock()
	if s.underWay[k] {
		return false
	}
	s.underWay[k] = true
	return true
}

func (s *Stager) releaseFetch(k fetchKey) {
	s.fetching.Lock()
	defer s.fetching.Unlock()
	delete(s.underWay, k)
}

// fetchSoon brings a chunk here that another stager asks for.
func (s *Stager) fetchSoon(c *weightsCopy, number int) {
	source := s.planFor(c).source(number)
	go s.fetch(s.running, c, source, number)
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
func (s *Stager) take(c *weightsCopy, number int, data []byte, from chunkSource, address string) bool {
	fresh, err := c.add(number, data)
	if err != nil {
		s.metrics.chunks.WithLabelValues(string(sourceSpoilt)).Inc()
		_ = level.Warn(s.process.Logger).Log("msg", "chunk refused", "chunk", number, "from", address, "err", err)
		if from == sourcePeer {
			s.failing.failed(address)
		}
		return false
	}
	s.metrics.chunks.WithLabelValues(string(from)).Inc()
	if fresh {
		s.notify(c, number)
	}
	return true
}

// draw draws a chunk from the origin.
func (s *Stager) draw(ctx context.Context, c *weightsCopy, number int) {
	origin := s.origin()
	if origin == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	data, err := s.protocol.Draw(ctx, origin, c.manifest.model, c.manifest.version, number)
	if err != nil {
		_ = level.Info(s.process.Logger).Log("msg", "draw failed", "chunk", number, "origin", origin, "err", err)
		return
	}
	s.take(c, number, data, sourceOrigin, origin)
}
