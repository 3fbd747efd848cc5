// ================================================================
// What stagers ask of each other: a manifest, or a chunk. The one asked waits a
// while for a chunk that is on its way to it.
// ================================================================

package staging

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// chunkWait is how long one asked waits for a chunk on its way to it.
	chunkWait = 400 * time.Millisecond
	// queryTimeout bounds a question to a stager; one that takes longer has a
	// narrow link or is gone.
	queryTimeout = 1500 * time.Millisecond
	// manifestNumber asks for the manifest in place of a chunk, and heldNumber
	// only for the list of the chunks that are there.
	manifestNumber = -1
	heldNumber     = -2
)

// chunkQuery asks for a chunk of a version.
//
//wire:generate
type chunkQuery struct {
	// model and version say what of.
	model   string
	version uint64
	// number is the chunk's, or manifestNumber or heldNumber.
	number int
	// fetchIfMissing has the one asked bring it there if need be; without it one that has no
	// upload free says so at once.
	fetchIfMissing bool
	// heldBits are the chunks that the asker has, one bit each.
	heldBits []byte
}

// chunkReply carries what was asked for; empty when it is not there.
//
//wire:generate
type chunkReply struct {
	// manifest is the one asked for.
	manifest *Manifest
	// data is the chunk.
	data []byte
	// heldBits are the chunks that the one asked has, one bit each.
	heldBits []byte
	// holders are link addresses of others in the asker's failure domain that have
	// the chunk, where the one asked has no upload free.
	holders []string
}

// serveQuery answers another stager.
func (m *Member) serveQuery(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(queryTimeout))
	var q chunkQuery
	if err := stream.Receive(&q); err != nil {
		return err
	}
	if q.number == manifestNumber {
		return stream.Send(chunkReply{manifest: m.manifestFor(ctx, q)})
	}
	if q.number == heldNumber {
		return stream.Send(chunkReply{heldBits: m.heldOf(q)})
	}
	waiting, cancel := context.WithTimeout(ctx, chunkWait)
	defer cancel()
	data := m.chunkFor(waiting, q)
	var held []byte
	if c := m.copyOf(q.model, q.version); c != nil {
		c.addHoldings(stream.Peer().Address(), q.heldBits)
		held = c.heldBits()
	}
	if data == nil {
		return stream.Send(chunkReply{heldBits: held})
	}
	if holders := m.redirectTargets(q, stream.Peer()); len(holders) > 0 {
		return stream.Send(chunkReply{heldBits: held, holders: holders})
	}
	if !q.fetchIfMissing && m.areUploadsFull() {
		// The asker was sent here and has others to ask.
		return stream.Send(chunkReply{heldBits: held})
	}
	return m.upload(ctx, stream, chunkReply{data: data, heldBits: held})
}

// maxHolders bounds the others that an asker is sent to.
const maxHolders = 3

// redirectTargets returns others in the asker's failure domain that have a chunk, where no
// upload is free here: a cache's link carries 23 copies at a time to links of 7.3
// Mbit/s, and 41 stagers waited for it while their own links sent nothing.
func (m *Member) redirectTargets(q chunkQuery, asker vm.Identity) []string {
	c := m.copyOf(q.model, q.version)
	if c == nil || !m.areUploadsFull() {
		return nil
	}
	domains, _ := m.members(q.model)
	return holdersNear(asker, c.holdersOf(q.number), domains)
}

// areUploadsFull tells whether no upload is free.
func (m *Member) areUploadsFull() bool { return len(m.uploads) == cap(m.uploads) }

// holdersNear returns some of those known to have a chunk that are of the asker's
// failure domain, others for each asker.
func holdersNear(asker vm.Identity, known map[string]bool, domains map[string]string) []string {
	var holders []string
	for address := range known {
		// A map's order is random, so askers are spread.
		if domains[address] == asker.Domain() && address != asker.Address() && len(holders) < maxHolders {
			holders = append(holders, address)
		}
	}
	return holders
}

// heldOf returns the chunks that are here of a version.
func (m *Member) heldOf(q chunkQuery) []byte {
	if c := m.copyOf(q.model, q.version); c != nil {
		return c.heldBits()
	}
	return nil
}

// upload sends a chunk when it is its turn, and waits until it has arrived: the
// VM's link is the engine's too, and events of its streams must not wait behind
// more than a chunk or two.
func (m *Member) upload(ctx context.Context, stream *link.Stream, r chunkReply) error {
	select {
	case m.uploads <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(queryTimeout / 2):
		return stream.Send(chunkReply{heldBits: r.heldBits})
	}
	defer func() { <-m.uploads }()
	if err := stream.Send(r); err != nil {
		return err
	}
	// The other side closes the stream once it has all.
	_ = stream.Receive(&chunkReply{})
	return nil
}

// chunkFor returns a chunk for another stager; nil when it does not come.
func (m *Member) chunkFor(ctx context.Context, q chunkQuery) []byte {
	c := m.copyOf(q.model, q.version)
	if c == nil {
		c = m.adoptStagedCopy(ctx, q.model, q.version)
	}
	if c == nil || q.number < 0 || q.number >= len(c.chunks) {
		return nil
	}
	if data := c.get(q.number); data != nil {
		return data
	}
	if c.readableFromEngine.Load() {
		m.loadFromEngine(ctx, c, q.number)
	}
	if data := c.get(q.number); data != nil {
		return data
	}
	if q.fetchIfMissing {
		m.startFetch(c, q.number)
	}
	return c.wait(ctx, q.number)
}

// query asks another stager, and once more where the link to it was silent and another
// one took its place: it is well, and a question may be put twice.
func (m *Member) query(ctx context.Context, address string, q chunkQuery) (chunkReply, error) {
	asked := time.Now()
	r, err := m.queryOnce(ctx, address, q)
	if err == nil || ctx.Err() != nil || m.process.Endpoint.Doubt(address, asked).Await(ctx) != link.Replaced {
		return r, err
	}
	return m.queryOnce(ctx, address, q)
}

func (m *Member) queryOnce(ctx context.Context, address string, q chunkQuery) (chunkReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var r chunkReply
	err := m.process.Endpoint.Call(ctx, address, link.KindChunkOf, q, &r)
	return r, err
}

// adoptStagedCopy makes a copy known that lies beside the engine here and was brought
// there by an earlier life of this stager, or before it; nil when there is none.
func (m *Member) adoptStagedCopy(ctx context.Context, model string, version uint64) *weightsCopy {
	if m.stagingArea.isServed == nil || !m.stagingArea.isServed(version) {
		return nil
	}
	found, err := m.findManifest(ctx, model, version)
	if err != nil {
		return nil
	}
	c := m.addEmptyCopy(found)
	if c != nil {
		c.readableFromEngine.Store(true)
	}
	return c
}

// loadFromEngine reads a chunk that lies beside the engine.
func (m *Member) loadFromEngine(ctx context.Context, c *weightsCopy, number int) {
	data, err := m.stagingArea.readChunk(ctx, c.manifest.model, number)
	if err == nil {
		m.acceptChunk(c, number, data, sourceEngine, m.stagingArea.address)
	}
}
