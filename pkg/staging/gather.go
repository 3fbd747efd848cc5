// ================================================================
// Gathering a copy: each chunk is asked of whom the plan names, a few at a time
// of each, in an order of its own so that not all ask for the same one.
// ================================================================

package staging

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// drawsAtOnce bounds what one stager draws from the origin at one time.
	drawsAtOnce = 1
	// asksAtOnce bounds what is asked of one stager at one time.
	asksAtOnce = 2
	// drawTimeout bounds one draw from the origin.
	drawTimeout = 4 * time.Second
	// retryPause lies between two tries for a chunk that did not come.
	retryPause = 150 * time.Millisecond
	// roundsOfOthers is how often others are asked before the origin is.
	roundsOfOthers = 4
)

// gather brings all chunks of a copy here, or ends with the context.
func (s *Stager) gather(ctx context.Context, c *weightsCopy) {
	for round := 0; ctx.Err() == nil && !c.isComplete(); round++ {
		s.gatherRound(ctx, c, round >= roundsOfOthers)
		if c.isComplete() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// gatherRound tries once for each chunk that is not here: at whom the plan
// names, or at the origin when others were asked in vain.
func (s *Stager) gatherRound(ctx context.Context, c *weightsCopy, fromOrigin bool) {
	p := s.planFor(c)
	bySource := map[string][]int{}
	for _, number := range c.absent() {
		source := p.source(number)
		if fromOrigin && len(p.holders) == 0 {
			source = p.own
		}
		bySource[source] = append(bySource[source], number)
	}
	var group sync.WaitGroup
	for source, numbers := range bySource {
		rand.Shuffle(len(numbers), func(i, j int) { numbers[i], numbers[j] = numbers[j], numbers[i] })
		queue := make(chan int, len(numbers))
		for _, n := range numbers {
			queue <- n
		}
		close(queue)
		atOnce := asksAtOnce
		if source == p.own {
			atOnce = drawsAtOnce
		}
		for range min(atOnce, len(numbers)) {
			group.Go(func() { s.gatherFrom(ctx, c, source, queue) })
		}
	}
	group.Wait()
}

// planFor returns the plan of this stager for a copy, as things are now.
func (s *Stager) planFor(c *weightsCopy) plan {
	model, version := c.manifest.model, c.manifest.version
	return newPlan(s.process.Identity.Address(), model, version, len(c.manifest.digests), s.domains(),
		s.holders(model, version), s.failing.rests)
}

// gatherFrom takes chunks of a queue from one source.
func (s *Stager) gatherFrom(ctx context.Context, c *weightsCopy, source string, queue <-chan int) {
	for number := range queue {
		if ctx.Err() != nil || c.get(number) != nil {
			continue
		}
		if !s.fetch(ctx, c, source, number) {
			return
		}
	}
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
	r, err := s.ask(ctx, source, question{c.manifest.model, c.manifest.version, number, true})
	if err != nil {
		s.failing.failed(source)
		_ = level.Info(s.process.Logger).Log("msg", "stager lost", "address", source, "chunk", number, "err", err)
		return false
	}
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
	if err := c.add(number, data); err != nil {
		s.metrics.chunks.WithLabelValues(string(sourceSpoilt)).Inc()
		_ = level.Warn(s.process.Logger).Log("msg", "chunk refused", "chunk", number, "from", address, "err", err)
		if from == sourcePeer {
			s.failing.failed(address)
		}
		return false
	}
	s.metrics.chunks.WithLabelValues(string(from)).Inc()
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
