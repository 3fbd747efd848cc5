// ================================================================
// A copier's fetches: the swarm chooses them, writing to disk verifies the chunk, and
// the result goes back to the swarm.
// ================================================================

package agent

import (
	"context"
	"io"
	"time"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/spread"
)

func (c *copier) startFetches(ctx context.Context) {
	if c.swarm.Done() {
		return
	}
	for _, f := range c.swarm.Next(time.Now()) {
		fetchContext, cancel := context.WithTimeout(ctx, fetchTimeout)
		c.cancels[f] = cancel
		go c.fetch(fetchContext, ctx, f)
	}
}

func (c *copier) cancel(f spread.Fetch) {
	if cancel := c.cancels[f]; cancel != nil {
		cancel()
		delete(c.cancels, f)
	}
}

func (c *copier) fetch(fetchContext, ctx context.Context, f spread.Fetch) {
	data, err := c.agent.fetchChunk(fetchContext, c.assignment, f)
	if err == nil {
		err = c.copy.Write(f.Chunk, data)
	}
	if f.Peer.ID() == spread.Origin && failure.Is(err, failure.CorruptChunk) {
		// The version changed at the origin, or a proxy in front of it is broken.
		// An immediate retry would get the same bytes.
		c.agent.pause(fetchContext, corruptChunkDelay)
	}
	c.post(ctx, func(now time.Time) {
		c.cancel(f)
		if err != nil {
			c.fetchFailed(f, err, now)
			return
		}
		c.fetchSucceeded(ctx, f, now, int64(len(data)))
	})
}

func (c *copier) fetchSucceeded(ctx context.Context, f spread.Fetch, now time.Time, size int64) {
	for _, other := range c.swarm.FetchSucceeded(f.Chunk, f.Peer.ID(), now) {
		c.cancel(other)
	}
	c.agent.traffic.add(f.Peer.ID() == spread.Origin, size)
	c.agent.copies.setVerifiedChunks(c.assignment.Digest, c.swarm.Count())
	if c.underLease(f) {
		c.endedLeases = append(c.endedLeases, uint32(f.Chunk))
		c.report(ctx)
	}
}

// underLease reports whether the coordinator granted a lease for the fetch. The end of
// such a fetch is reported to it.
func (c *copier) underLease(f spread.Fetch) bool {
	return f.Peer.ID() == spread.Origin || f.Peer.Domain() != c.agent.process.Identity.Domain()
}

func (c *copier) fetchFailed(f spread.Fetch, err error, now time.Time) {
	kind := failure.Of(err).Kind()
	c.swarm.FetchFailed(f.Chunk, f.Peer.ID(), kind, now)
	if c.underLease(f) {
		c.endedLeases = append(c.endedLeases, uint32(f.Chunk))
	}
	if kind == failure.CorruptChunk {
		source := string(f.Peer.ID())
		if f.Peer.ID() == spread.Origin {
			source = "origin"
		}
		c.agent.metrics.corruptChunks.Inc()
		c.agent.process.Recorder.Record(event.ChunkRefused, c.assignment.Digest.Short(), source+": "+err.Error())
	}
}

// fetchChunk fetches a chunk from the origin or from another agent.
func (a *Agent) fetchChunk(ctx context.Context, assignment configstate.Assignment, f spread.Fetch) ([]byte, error) {
	_, length := assignment.Manifest.ChunkRange(f.Chunk)
	if err := waitBytes(ctx, a.download, length); err != nil {
		return nil, err
	}
	if f.Peer.ID() == spread.Origin {
		return a.fetchFromSources(ctx, assignment, f.Chunk)
	}
	return a.fetchFromPeer(ctx, assignment.Digest, f, length)
}

func (a *Agent) fetchFromPeer(ctx context.Context, digest contract.Digest, f spread.Fetch, length int64) ([]byte, error) {
	s, err := a.process.Endpoint.Open(ctx, f.Peer.Address(), link.KindChunk, "")
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if err := s.Send(contract.NewChunkRequest(digest, uint32(f.Chunk))); err != nil {
		return nil, err
	}
	data := make([]byte, 0, length)
	for {
		var part contract.ChunkPart
		err := s.Receive(&part)
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		data = append(data, part.Data()...)
		if int64(len(data)) > length {
			return nil, failure.New(failure.CorruptChunk, "chunk %d is longer than %d bytes", f.Chunk, length)
		}
	}
}
