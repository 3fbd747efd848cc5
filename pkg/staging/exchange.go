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
	// waitForChunk is how long one asked waits for a chunk on its way to it.
	waitForChunk = 400 * time.Millisecond
	// askTimeout bounds a question to a stager; one that takes longer has a
	// narrow link or is gone.
	askTimeout = 1500 * time.Millisecond
	// manifestNumber asks for the manifest in place of a chunk, and heldNumber
	// only for the list of the chunks that are there.
	manifestNumber = -1
	heldNumber     = -2
)

// question asks for a chunk of a version.
//
//wire:generate
type question struct {
	// model and version say what of.
	model   string
	version uint64
	// number is the chunk's, or manifestNumber or heldNumber.
	number int
	// draw has the one asked bring it there if need be; without it one that has no
	// upload free says so at once.
	draw bool
	// held are the chunks that the asker has, one bit each.
	held []byte
}

// reply carries what was asked for; empty when it is not there.
//
//wire:generate
type reply struct {
	// manifest is the one asked for.
	manifest *Manifest
	// data is the chunk.
	data []byte
	// held are the chunks that the one asked has, one bit each.
	held []byte
	// holders are link addresses of others in the asker's failure domain that have
	// the chunk, where the one asked has no upload free.
	holders []string
}

// serveQuestion answers another stager.
func (m *Member) serveQuestion(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(askTimeout))
	var q question
	if err := stream.Receive(&q); err != nil {
		return err
	}
	if q.number == manifestNumber {
		return stream.Send(reply{manifest: m.manifestFor(ctx, q)})
	}
	if q.number == heldNumber {
		return stream.Send(reply{held: m.heldOf(q)})
	}
	waiting, cancel := context.WithTimeout(ctx, waitForChunk)
	defer cancel()
	data := m.chunkFor(waiting, q)
	var held []byte
	if c := m.copyOf(q.model, q.version); c != nil {
		c.learn(stream.Peer().Address(), q.held)
		held = c.held()
	}
	if data == nil {
		return stream.Send(reply{held: held})
	}
	if holders := m.redirect(q, stream.Peer()); len(holders) > 0 {
		return stream.Send(reply{held: held, holders: holders})
	}
	if !q.draw && m.isBusy() {
		// The asker was sent here and has others to ask.
		return stream.Send(reply{held: held})
	}
	return m.upload(ctx, stream, reply{data: data, held: held})
}

// mostHolders bounds the others that an asker is sent to.
const mostHolders = 3

// redirect returns others in the asker's failure domain that have a chunk, where no
// upload is free here: a cache's link carries 23 copies at a time to links of 7.3
// Mbit/s, and 41 stagers waited for it while their own links sent nothing.
func (m *Member) redirect(q question, asker vm.Identity) []string {
	c := m.copyOf(q.model, q.version)
	if c == nil || !m.isBusy() {
		return nil
	}
	domains, _ := m.members(q.model)
	return holdersNear(asker, c.knownAt(q.number), domains)
}

// isBusy tells whether no upload is free.
func (m *Member) isBusy() bool { return len(m.uploads) == cap(m.uploads) }

// holdersNear returns some of those known to have a chunk that are of the asker's
// failure domain, others for each asker.
func holdersNear(asker vm.Identity, known map[string]bool, domains map[string]string) []string {
	var holders []string
	for address := range known {
		// A map's order is random, so askers are spread.
		if domains[address] == asker.Domain() && address != asker.Address() && len(holders) < mostHolders {
			holders = append(holders, address)
		}
	}
	return holders
}

// heldOf returns the chunks that are here of a version.
func (m *Member) heldOf(q question) []byte {
	if c := m.copyOf(q.model, q.version); c != nil {
		return c.held()
	}
	return nil
}

// upload sends a chunk when it is its turn, and waits until it has arrived: the
// VM's link is the engine's too, and events of its streams must not wait behind
// more than a chunk or two.
func (m *Member) upload(ctx context.Context, stream *link.Stream, r reply) error {
	select {
	case m.uploads <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(askTimeout / 2):
		return stream.Send(reply{held: r.held})
	}
	defer func() { <-m.uploads }()
	if err := stream.Send(r); err != nil {
		return err
	}
	// The other side closes the stream once it has all.
	_ = stream.Receive(&reply{})
	return nil
}

// chunkFor returns a chunk for another stager; nil when it does not come.
func (m *Member) chunkFor(ctx context.Context, q question) []byte {
	c := m.copyOf(q.model, q.version)
	if c == nil {
		c = m.adopt(ctx, q.model, q.version)
	}
	if c == nil || q.number < 0 || q.number >= len(c.chunks) {
		return nil
	}
	if data := c.get(q.number); data != nil {
		return data
	}
	if c.beside.Load() {
		m.takeFromEngine(ctx, c, q.number)
	}
	if data := c.get(q.number); data != nil {
		return data
	}
	if q.draw {
		m.fetchSoon(c, q.number)
	}
	return c.wait(ctx, q.number)
}

// ask asks another stager, and once more where the link to it was silent and another
// one took its place: it is well, and a question may be put twice.
func (m *Member) ask(ctx context.Context, address string, q question) (reply, error) {
	asked := time.Now()
	r, err := m.askOnce(ctx, address, q)
	if err == nil || ctx.Err() != nil || m.process.Endpoint.Doubt(address, asked).Await(ctx) != link.Replaced {
		return r, err
	}
	return m.askOnce(ctx, address, q)
}

func (m *Member) askOnce(ctx context.Context, address string, q question) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var r reply
	err := m.process.Endpoint.Call(ctx, address, link.KindChunkOf, q, &r)
	return r, err
}

// adopt makes a copy known that lies beside the engine here and was brought
// there by an earlier life of this stager, or before it; nil when there is none.
func (m *Member) adopt(ctx context.Context, model string, version uint64) *weightsCopy {
	if m.beside.holds == nil || !m.beside.holds(version) {
		return nil
	}
	found, err := m.findManifest(ctx, model, version)
	if err != nil {
		return nil
	}
	c := m.keep(found)
	if c != nil {
		c.beside.Store(true)
	}
	return c
}

// takeFromEngine reads a chunk that lies beside the engine.
func (m *Member) takeFromEngine(ctx context.Context, c *weightsCopy, number int) {
	data, err := m.beside.read(ctx, c.manifest.model, number)
	if err == nil {
		m.take(c, number, data, sourceEngine, m.beside.address)
	}
}
