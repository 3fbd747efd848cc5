// ================================================================
// Gathering a copy: the chunks that this stager owns are drawn from the origin,
// the others are asked of their owners, a few at a time from each, in an order
// of its own so that not all ask for the same one.
// ================================================================

package staging

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// drawsAtOnce bounds what one stager draws from the origin at one time.
	drawsAtOnce = 2
	// asksAtOnce bounds what is asked of one stager at one time.
	asksAtOnce = 2
	// drawTimeout bounds one draw from the origin.
	drawTimeout = 4 * time.Second
	// retryPause lies between two tries for a chunk that did not come.
	retryPause = 150 * time.Millisecond
)

// gather brings all chunks of a copy here, or ends with the context.
func (s *Stager) gather(ctx context.Context, c *weightsCopy) {
	for ctx.Err() == nil && !c.isComplete() {
		round, cancel := context.WithCancel(ctx)
		s.gatherRound(round, c)
		cancel()
		if c.isComplete() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// gatherRound tries once for each chunk that is not here.
func (s *Stager) gatherRound(ctx context.Context, c *weightsCopy) {
	model, version := c.manifest.model, c.manifest.version
	holders := s.holders(model, version)
	sources, draw := holders, false
	if len(holders) == 0 {
		sources, draw = s.members(), true
	}
	own := s.process.Identity.Address()
	assigned := owners(sources, model, version, len(c.manifest.digests))
	byOwner := map[string][]int{}
	for _, number := range c.absent() {
		owner := assigned[number]
		if owner == "" || s.failing.rests(owner) {
			owner = s.substitute(sources, model, version, number)
		}
		byOwner[owner] = append(byOwner[owner], number)
	}
	var group sync.WaitGroup
	for owner, numbers := range byOwner {
		rand.Shuffle(len(numbers), func(i, j int) { numbers[i], numbers[j] = numbers[j], numbers[i] })
		atOnce := asksAtOnce
		if owner == own {
			atOnce = drawsAtOnce
		}
		queue := make(chan int, len(numbers))
		for _, n := range numbers {
			queue <- n
		}
		close(queue)
		for range min(atOnce, len(numbers)) {
			group.Add(1)
			go func() {
				defer group.Done()
				s.gatherFrom(ctx, c, owner, queue, draw)
			}()
		}
	}
	group.Wait()
}

// substitute returns the next stager in the order of claims that answers; this
// one itself when none does.
func (s *Stager) substitute(sources []string, model string, version uint64, number int) string {
	for _, a := range ranked(sources, model, version, number) {
		if !s.failing.rests(a) {
			return a
		}
	}
	return s.process.Identity.Address()
}

// gatherFrom takes chunks of a queue from one owner.
func (s *Stager) gatherFrom(ctx context.Context, c *weightsCopy, owner string, queue <-chan int, draw bool) {
	own := s.process.Identity.Address()
	for number := range queue {
		if ctx.Err() != nil || c.get(number) != nil {
			continue
		}
		if owner == own {
			s.draw(ctx, c, number)
			continue
		}
		r, err := s.ask(ctx, owner, question{c.manifest.model, c.manifest.version, number, draw})
		if err != nil {
			s.failing.failed(owner)
			_ = level.Info(s.process.Logger).Log("msg", "stager lost", "address", owner, "chunk", number, "err", err)
			return
		}
		if r.data == nil {
			continue
		}
		s.take(c, number, r.data, sourcePeer, owner)
	}
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

// draw draws a chunk from the origin, once however many ask for it.
func (s *Stager) draw(ctx context.Context, c *weightsCopy, number int) {
	key := drawKey{c, number}
	s.drawing.Lock()
	if s.underWay[key] {
		s.drawing.Unlock()
		waiting, cancel := context.WithTimeout(ctx, drawTimeout)
		defer cancel()
		c.wait(waiting, number)
		return
	}
	s.underWay[key] = true
	s.drawing.Unlock()
	defer func() {
		s.drawing.Lock()
		delete(s.underWay, key)
		s.drawing.Unlock()
	}()
	origin := s.origin()
	if origin == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	data, err := s.protocol.Draw(ctx, origin, c.manifest.model, c.manifest.version, number)
	if err != nil {
		_ = level.Info(s.process.Logger).Log("msg", "draw failed", "chunk", number, "origin", origin, "err", err)
		s.noteWithdrawn(c, err)
		return
	}
	s.take(c, number, data, sourceOrigin, origin)
}

// drawKey is a draw under way.
type drawKey struct {
	copy   *weightsCopy
	number int
}

// drawSoon draws a chunk that another stager asks for.
func (s *Stager) drawSoon(c *weightsCopy, number int) {
	go s.draw(s.running, c, number)
}

// noteWithdrawn ends a copy whose version the origin does not have any more.
func (s *Stager) noteWithdrawn(c *weightsCopy, err error) {
	if failure.Is(err, failure.VersionChanged) {
		s.withdrawn.Store(c.manifest.version)
	}
}
