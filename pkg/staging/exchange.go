// ================================================================
// What stagers ask of each other: a manifest, or a chunk. The one asked waits a
// while for a chunk that is on its way to it.
// ================================================================

package staging

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// waitForChunk is how long one asked waits for a chunk on its way to it.
	waitForChunk = 1500 * time.Millisecond
	// askTimeout bounds a question to a stager.
	askTimeout = 4 * time.Second
	// manifestNumber asks for the manifest in place of a chunk.
	manifestNumber = -1
)

// question asks for a chunk of a version.
//
//wire:generate
type question struct {
	// model and version say what of.
	model   string
	version uint64
	// number is the chunk's, or manifestNumber.
	number int
	// draw has the one asked draw it from the origin if need be.
	draw bool
}

// reply carries what was asked for; empty when it is not there.
//
//wire:generate
type reply struct {
	// manifest is the one asked for.
	manifest *Manifest
	// data is the chunk.
	data []byte
}

// serveQuestion answers another stager.
func (s *Stager) serveQuestion(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(askTimeout))
	var q question
	if err := stream.Receive(&q); err != nil {
		return err
	}
	if q.number == manifestNumber {
		return stream.Send(reply{manifest: s.knownManifest(q.model, q.version)})
	}
	ctx, cancel := context.WithTimeout(ctx, waitForChunk)
	defer cancel()
	return stream.Send(reply{data: s.chunkFor(ctx, q)})
}

// chunkFor returns a chunk for another stager; nil when it does not come.
func (s *Stager) chunkFor(ctx context.Context, q question) []byte {
	c := s.copyOf(q.model, q.version)
	if c == nil || q.number < 0 || q.number >= len(c.chunks) {
		return nil
	}
	if data := c.get(q.number); data != nil {
		return data
	}
	if q.draw {
		s.drawSoon(c, q.number)
	}
	return c.wait(ctx, q.number)
}

// ask asks another stager.
func (s *Stager) ask(ctx context.Context, address string, q question) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var r reply
	err := s.process.Endpoint.Call(ctx, address, link.KindChunkOf, q, &r)
	return r, err
}

// askManifest asks the stagers in turn for a manifest.
func (s *Stager) askManifest(ctx context.Context, addresses []string, model string, version uint64) (Manifest, error) {
	for _, address := range addresses {
		r, err := s.ask(ctx, address, question{model: model, version: version, number: manifestNumber})
		if err == nil && r.manifest != nil && r.manifest.version == version {
			return *r.manifest, nil
		}
	}
	return Manifest{}, failure.New(failure.UnknownObject, "no stager has the manifest of %s version %d", model, version)
}
