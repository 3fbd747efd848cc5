// ================================================================
// Serves chunks to other agents and fetches chunks from the origin and the weight store.
// ================================================================

package agent

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/source"
	"github.com/tidepost/tidepost/pkg/spread"
)

const (
	// chunkPartSize is the largest part of a chunk that one message carries, in bytes.
	chunkPartSize = 64 << 10
	// announceInterval is the interval between announcements of new chunks to a neighbour.
	announceInterval = 100 * time.Millisecond
)

// traffic counts the bytes of chunks received, by kind of sender.
type traffic struct {
	origin atomic.Int64
	peers  atomic.Int64
}

func (t *traffic) add(fromOrigin bool, n int64) {
	if fromOrigin {
		t.origin.Add(n)
		return
	}
	t.peers.Add(n)
}

// waitBytes waits until the limiter admits n more bytes.
func waitBytes(ctx context.Context, l *rate.Limiter, n int64) error {
	for n > 0 {
		step := min(n, int64(l.Burst()))
		if err := l.WaitN(ctx, int(step)); err != nil {
			return failure.New(failure.Unreachable, "waiting for the chunk rate limit: %v", err)
		}
		n -= step
	}
	return nil
}

// ----------------------------------------------------------------
// Serving other agents

func (a *Agent) serveChunk(ctx context.Context, s *link.Stream) error {
	var q contract.ChunkRequest
	if err := s.Receive(&q); err != nil {
		return err
	}
	c := a.store.Find(q.Digest())
	if c == nil {
		return failure.New(failure.NotReady, "no copy of %s here", q.Digest().Short())
	}
	// Requests beyond the limit are refused and not queued: with a queue, the first
	// holder of a rare chunk would collect the requests of the whole failure domain
	// while other links are idle.
	select {
	case a.uploads <- struct{}{}:
	default:
		return failure.New(failure.Overloaded, "%d chunk uploads in progress, which is the limit", cap(a.uploads))
	}
	defer func() { <-a.uploads }()
	data, err := c.Read(int(q.Index()))
	if failure.Is(err, failure.CorruptChunk) {
		a.process.Recorder.Record(event.ChunkRefused, q.Digest().Short(), "disk: "+err.Error())
	}
	if err != nil {
		return err
	}
	for start := 0; start < len(data); start += chunkPartSize {
		part := data[start:min(start+chunkPartSize, len(data))]
		if err := waitBytes(ctx, a.upload, int64(len(part))); err != nil {
			return err
		}
		if err := s.Send(contract.NewChunkPart(part)); err != nil {
			return err
		}
	}
	a.metrics.chunksServed.Inc()
	return s.End()
}

// serveAnnouncements streams to a neighbour which chunks this VM holds: first all of
// them, then the new ones, until the copy is complete or the neighbour disconnects.
func (a *Agent) serveAnnouncements(ctx context.Context, s *link.Stream) error {
	var digest contract.Digest
	if err := s.Receive(&digest); err != nil {
		return err
	}
	c := a.store.Find(digest)
	if c == nil {
		return failure.New(failure.NotReady, "no copy of %s here", digest.Short())
	}
	announced := c.Held()
	if err := s.Send(contract.NewHeldChunks(digest, announced.Bytes(), nil)); err != nil {
		return err
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for !announced.Full() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		added := addNewChunks(&announced, c.Held())
		if len(added) == 0 {
			continue
		}
		if err := s.Send(contract.NewHeldChunks(digest, nil, added)); err != nil {
			return nil
		}
	}
	// The neighbour keeps the stream open for as long as it wants chunks.
	var ignored contract.Digest
	_ = s.Receive(&ignored)
	return nil
}

// addNewChunks adds the held chunks to the announced ones and returns those that were
// not announced before.
func addNewChunks(announced *spread.Bitmap, held spread.Bitmap) []uint32 {
	var added []uint32
	for i := range held.Total() {
		if held.Has(i) && announced.Add(i) {
			added = append(added, uint32(i))
		}
	}
	return added
}

// ----------------------------------------------------------------
// Fetching from the origin and the weight store

func fetchFromSourceOverHTTP(ctx context.Context, url string, a configstate.Assignment, chunk int) ([]byte, error) {
	return source.NewClient(url).FetchChunk(ctx, a.Model, a.Version, a.Manifest, chunk)
}

// fetchFromSources fetches a chunk from the first source that returns it: the origin,
// or else the weight store. When all fail, it waits for the retry delay of the last
// error before it returns that error.
func (a *Agent) fetchFromSources(ctx context.Context, assignment configstate.Assignment, index int) ([]byte, error) {
	err := error(failure.New(failure.SourceRefused, "no source is configured"))
	for _, spec := range orderedSources(a.state.View().Sources()) {
		var data []byte
		data, err = a.hooks.FetchFromSource(ctx, spec.URL(), assignment, index)
		if err == nil {
			return data, nil
		}
		a.metrics.sourceRefusals.Inc()
	}
	a.pause(ctx, failure.Of(err).RetryAfter())
	return nil, err
}

// pause waits for d or until the context ends.
func (a *Agent) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// orderedSources puts the origin before the weight store.
func orderedSources(sources []contract.Source) []contract.Source {
	var ordered, stores []contract.Source
	for _, s := range sources {
		if s.Store() {
			stores = append(stores, s)
		} else {
			ordered = append(ordered, s)
		}
	}
	return append(ordered, stores...)
}
