// ================================================================
// Pushing chunks on. A stager that gets a chunk whose way leads on through it
// sends it to the next ones, a few chunks at a time: the VM's link is the
// engine's too, and events of its streams must not wait behind more than a
// chunk or two.
//
// Rejected: only asking for chunks. An asker learns late that a chunk is there,
// and half of what the links carry went unused.
// ================================================================

package staging

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// pushesAtOnce bounds the chunks that one stager pushes at one time.
	pushesAtOnce = 3
	// pushTimeout bounds one push.
	pushTimeout = 1500 * time.Millisecond
)

// push is a chunk sent to a stager that did not ask.
//
//wire:generate
type push struct {
	// model, version and number say which chunk.
	model   string
	version uint64
	number  int
	// data is the chunk.
	data []byte
	// held are the chunks that the sender has, one bit each.
	held []byte
}

// pushed answers a push.
//
//wire:generate
type pushed struct {
	// held are the chunks that the receiver has, one bit each; empty when it
	// does not gather the version.
	held []byte
}

// delivery is a push that waits.
type delivery struct {
	copy   *weightsCopy
	number int
	target string
}

// deliveries is the queue of pushes. It is safe for concurrent use.
type deliveries struct {
	mu      sync.Mutex
	waiting []delivery
	wake    chan struct{}
}

func newDeliveries() *deliveries { return &deliveries{wake: make(chan struct{}, pushesAtOnce)} }

func (d *deliveries) add(all ...delivery) {
	d.mu.Lock()
	d.waiting = append(d.waiting, all...)
	d.mu.Unlock()
	for range min(len(all), pushesAtOnce) {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// next returns the oldest delivery that is still of use.
func (d *deliveries) next(useful func(delivery) bool) (delivery, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.waiting) > 0 {
		first := d.waiting[0]
		d.waiting = d.waiting[1:]
		if useful(first) {
			return first, true
		}
	}
	return delivery{}, false
}

// pushOn queues a chunk for those who get it from here, the first engine to
// take the version first.
func (s *Stager) pushOn(c *weightsCopy, number int) {
	if c.beside.Load() {
		return
	}
	targets := s.planFor(c).targets(number)
	order := s.turnOrder()
	slices.SortFunc(targets, func(a, b string) int { return slices.Index(order, a) - slices.Index(order, b) })
	all := make([]delivery, 0, len(targets))
	for _, t := range targets {
		all = append(all, delivery{c, number, t})
	}
	s.deliveries.add(all...)
}

// deliver pushes what waits until the context ends.
func (s *Stager) deliver(ctx context.Context) error {
	var group sync.WaitGroup
	for range pushesAtOnce {
		group.Go(func() { s.deliverInTurn(ctx) })
	}
	group.Wait()
	return nil
}

func (s *Stager) deliverInTurn(ctx context.Context) {
	for {
		d, ok := s.deliveries.next(s.useful)
		if ok {
			s.deliverOne(ctx, d)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-s.deliveries.wake:
		}
	}
}

// useful tells whether a delivery is still wanted by who gets it.
func (s *Stager) useful(d delivery) bool {
	return !s.failing.rests(d.target) && !d.copy.knownBy(d.target, d.number) && s.copyOf(d.copy.manifest.model, d.copy.manifest.version) == d.copy
}

func (s *Stager) deliverOne(ctx context.Context, d delivery) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	m := d.copy.manifest
	var answer pushed
	err := s.process.Endpoint.Call(ctx, d.target, link.KindChunkPush, push{m.model, m.version, d.number, d.copy.get(d.number), d.copy.held()}, &answer)
	if err != nil {
		s.failing.failed(d.target)
		_ = level.Info(s.process.Logger).Log("msg", "stager lost", "address", d.target, "pushed", d.number, "err", err)
		return
	}
	d.copy.learn(d.target, answer.held)
}

// servePush takes a chunk that another stager pushes.
func (s *Stager) servePush(_ context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(pushTimeout))
	var p push
	if err := stream.Receive(&p); err != nil {
		return err
	}
	c := s.copyOf(p.model, p.version)
	if c == nil || p.number < 0 || p.number >= len(c.chunks) {
		return stream.Send(pushed{})
	}
	from := stream.Peer().Address()
	c.learn(from, p.held)
	s.take(c, p.number, p.data, sourcePeer, from)
	return stream.Send(pushed{c.held()})
}
