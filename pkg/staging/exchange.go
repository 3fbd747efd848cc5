// ================================================================
// Queries between members for a manifest, a chunk or the list of held chunks, and the replies. A
// member that is receiving the requested chunk itself waits for it for a limited time.
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
	// chunkWait is how long a member waits for a chunk that it does not hold yet.
	chunkWait = 400 * time.Millisecond
	// queryTimeout bounds a query to a member. One that takes longer has a narrow link or is down.
	queryTimeout = 1500 * time.Millisecond
	// manifestNumber in place of a chunk's number requests the manifest, and heldNumber only the
	// list of held chunks.
	manifestNumber = -1
	heldNumber     = -2
)

// chunkQuery requests a chunk of a version.
//
//wire:generate
type chunkQuery struct {
	// model and version identify the copy.
	model   string
	version uint64
	// number is the chunk's number, manifestNumber or heldNumber.
	number int
	// fetchIfMissing makes the queried member fetch a chunk or manifest that it does not hold.
	// Without it, a member that has no free upload replies at once.
	fetchIfMissing bool
	// heldBits are the chunks that the sender holds, one bit each.
	heldBits []byte
}

// chunkReply is the answer to a chunkQuery; it is empty if the requested item is unavailable.
//
//wire:generate
type chunkReply struct {
	// manifest is the requested manifest.
	manifest *Manifest
	// data is the requested chunk.
	data []byte
	// heldBits are the chunks that the sender of the reply holds, one bit each.
	heldBits []byte
	// holders are link addresses of other members in the requester's failure domain that hold the
	// chunk. They are set if the sender of the reply has no free upload.
	holders []string
}

// serveQuery answers a query of another member.
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
	waitCtx, cancel := context.WithTimeout(ctx, chunkWait)
	defer cancel()
	data := m.chunkFor(waitCtx, q)
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
		// A redirected requester has other holders to ask.
		return stream.Send(chunkReply{heldBits: held})
	}
	return m.upload(ctx, stream, chunkReply{data: data, heldBits: held})
}

// maxHolders bounds the holders named in a redirect.
const maxHolders = 3

// redirectTargets returns members in the requester's failure domain that hold a chunk, if this
// member has no free upload. A cache's link carries 23 copies at a time to links of 7.3 Mbit/s;
// without redirects 41 stagers waited for it while their own uplinks were idle.
func (m *Member) redirectTargets(q chunkQuery, requester vm.Identity) []string {
	c := m.copyOf(q.model, q.version)
	if c == nil || !m.areUploadsFull() {
		return nil
	}
	domains, _ := m.members(q.model)
	return holdersNear(requester, c.holdersOf(q.number), domains)
}

// areUploadsFull reports whether no upload is free.
func (m *Member) areUploadsFull() bool { return len(m.uploads) == cap(m.uploads) }

// holdersNear returns up to maxHolders of the known holders in the requester's failure domain,
// chosen at random.
func holdersNear(requester vm.Identity, known map[string]bool, domains map[string]string) []string {
	var holders []string
	for address := range known {
		// The iteration order of a map is random, which spreads requesters over the holders.
		if domains[address] == requester.Domain() && address != requester.Address() && len(holders) < maxHolders {
			holders = append(holders, address)
		}
	}
	return holders
}

// heldOf returns the held chunks of a version, one bit each; nil if there is no copy.
func (m *Member) heldOf(q chunkQuery) []byte {
	if c := m.copyOf(q.model, q.version); c != nil {
		return c.heldBits()
	}
	return nil
}

// upload sends a chunk when an upload is free and waits until it has arrived. The engine's traffic
// shares the VM's link, and events of its streams must not queue behind more than a chunk or two.
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
	// The requester closes the stream once it has received the whole reply.
	_ = stream.Receive(&chunkReply{})
	return nil
}

// chunkFor returns a chunk for another member; nil if it does not arrive in time.
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

// query queries another member. It retries once if the link to the member was silent and was
// replaced: the member itself is healthy, and queries are idempotent.
func (m *Member) query(ctx context.Context, address string, q chunkQuery) (chunkReply, error) {
	sentAt := time.Now()
	r, err := m.queryOnce(ctx, address, q)
	if err == nil || ctx.Err() != nil || m.process.Endpoint.Probe(address, sentAt).Await(ctx) != link.ProbeReplaced {
		return r, err
	}
	return m.queryOnce(ctx, address, q)
}

func (m *Member) queryOnce(ctx context.Context, address string, q chunkQuery) (chunkReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var r chunkReply
	err := m.process.Endpoint.Call(ctx, address, link.KindStagerChunk, q, &r)
	return r, err
}

// adoptStagedCopy registers a copy of the version that the engine serves, which was staged before
// this process started; nil if the engine does not serve that version.
func (m *Member) adoptStagedCopy(ctx context.Context, model string, version uint64) *weightsCopy {
	if m.stagingArea.isServed == nil || !m.stagingArea.isServed(version) {
		return nil
	}
	manifest, err := m.findManifest(ctx, model, version)
	if err != nil {
		return nil
	}
	c := m.addEmptyCopy(manifest)
	if c != nil {
		c.readableFromEngine.Store(true)
	}
	return c
}

// loadFromEngine reads a chunk from the engine's staging area.
func (m *Member) loadFromEngine(ctx context.Context, c *weightsCopy, number int) {
	data, err := m.stagingArea.readChunk(ctx, c.manifest.model, number)
	if err == nil {
		m.acceptChunk(c, number, data, sourceEngine, m.stagingArea.address)
	}
}
