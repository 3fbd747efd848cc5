// ================================================================
// The publisher: a control node's side of the feed.
//
// What followers tell directly goes to the own primary followers and to the
// other control nodes; what other nodes tell goes to the own followers only. So
// each word reaches a gateway by at most two nodes, and none goes round.
// Registrations are the exception: whichever node learns something new tells all
// that it serves, since a word that a backend server leaves must arrive also
// where two nodes do not reach each other.
// ================================================================

package feed

import (
	"context"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// beat is the time between Updates when nothing changes, and quickBeat the same for
	// gateways that have the node for their primary: what they miss counts soonest.
	beat      = time.Second
	quickBeat = beat / 2
	// loadPause is how long loads wait for others to be told with them, and
	// relayPause the same towards another node: at 24 engines a node and 5 nodes
	// 0.1 s would send four times the bytes between regions.
	loadPause  = 80 * time.Millisecond
	relayPause = 400 * time.Millisecond
	// leastUpdatePause lies between two Updates of one follower, whatever happens: a
	// roll of 120 engines has several urgent words each.
	leastUpdatePause = 40 * time.Millisecond
	// sendTimeout bounds one Update; a follower that takes longer is cut off.
	sendTimeout = 3 * time.Second
	// maxFollowers bounds the streams that a node serves.
	maxFollowers = 4096
)

// Source is where a publisher reads what it tells. All of it is called from
// several goroutines.
type Source struct {
	// Self is the node.
	Self vm.Identity
	// Number returns the newest applied document's number.
	Number func() uint64
	// Document returns that document; nil when there is none.
	Document func() *serviceconfig.Document
	// Weights returns the named versions.
	Weights func() []Weights
	// Known takes the named versions that a follower knows of, before it is told
	// anything; nil where nobody asks.
	Known func(f Hello)
	// Registrations returns all words that the node holds.
	Registrations func() []registry.Registration
	// Records returns what the node knows of requests under which servers ended, and
	// Learn takes what a follower knows of them; nil where nobody asks.
	Records func() []quarantine.Record
	Learn   func(records []quarantine.Record)
	// Trial takes that a follower asks to try a barred request once more; nil where nobody
	// may.
	Trial func(f quarantine.Fingerprint, tester string)
	// Nodes returns the link addresses of the control nodes.
	Nodes func() []string
	// Confirmed tells whether a quorum's leader was heard of lately.
	Confirmed func() bool
}

// Publisher serves the feed to followers.
type Publisher struct {
	source Source

	mu          sync.Mutex
	subscribers map[*subscriber]bool
	loads       map[string]toldLoad  // the newest told here, by engine
	spent       map[string]toldSpent // by link address of a gateway that ended in order
	census      *census
}

// toldLoad is a load and when it was told.
type toldLoad struct {
	load Load
	at   time.Time
}

// loadLife is for how long a load is told to a new follower: stagers tell theirs
// anew each second.
const loadLife = 2 * time.Second

// NewPublisher returns a publisher without followers.
func NewPublisher(s Source) *Publisher {
	return &Publisher{source: s, subscribers: map[*subscriber]bool{}, loads: map[string]toldLoad{}, spent: map[string]toldSpent{}, census: newCensus()}
}

// Registered queues a word for every follower.
func (p *Publisher) Registered(words ...registry.Registration) {
	if len(words) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		if !s.isSpare() {
			s.change(func(s *subscriber) { s.queueWords(words) })
		}
	}
}

// Retell queues words for the other control nodes, which forget what is not told
// again.
func (p *Publisher) Retell(words []registry.Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		if s.hello.role == RoleNode {
			s.change(func(s *subscriber) { s.queueWords(words) })
		}
	}
}

// Changed wakes every follower: the document or the weights changed.
func (p *Publisher) Changed() { p.each(func(*subscriber) {}) }

// NodesChanged has the control nodes told anew.
func (p *Publisher) NodesChanged() { p.each(func(s *subscriber) { s.nodes = true }) }

func (p *Publisher) each(change func(*subscriber)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		s.change(change)
	}
}

// loaded takes a load that the stager beside the engine told here.
func (p *Publisher) loaded(l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	urgent := l.Urgent(p.loads[l.engine].load)
	p.loads[l.engine] = toldLoad{l, time.Now()}
	for s := range p.subscribers {
		s.queueLoads([]Load{l}, urgent)
	}
}

// Relayed takes what another control node told of its own followers.
func (p *Publisher) Relayed(node string, u Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	joined, gone := p.census.relay(node, u, time.Now())
	p.forgetSpent(u.peers)
	p.tellFollowers(u.loads, joined, gone)
}

// Sweep forgets old loads, and what silent control nodes told.
func (p *Publisher) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, told := range p.loads {
		if now.Sub(told.at) > loadLife {
			delete(p.loads, engine)
		}
	}
	p.forgetOldSpent(now)
	p.tellFollowers(nil, nil, p.census.forgetSilent(now))
}

// tellFollowers queues what other nodes told for the followers here, other nodes
// excepted.
func (p *Publisher) tellFollowers(loads []Load, joined []Peer, gone []string) {
	for s := range p.subscribers {
		if s.hello.role == RoleNode {
			continue
		}
		if len(loads) > 0 {
			s.queueLoads(loads, false)
		}
		if len(joined)+len(gone) > 0 {
			s.queuePeers(joined, gone)
		}
	}
}

// ----------------------------------------------------------------
// Followers

// Serve serves one follower until its stream breaks.
func (p *Publisher) Serve(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(sendTimeout))
	var hello Hello
	if err := stream.Receive(&hello); err != nil {
		return err
	}
	if p.source.Known != nil {
		p.source.Known(hello)
	}
	s := newSubscriber(hello)
	if !hello.spare {
		s.queueWords(p.source.Registrations())
	}
	p.handOnSpent(s)
	if !p.add(s) {
		return failure.New(failure.Overloaded, "%d followers are served already", maxFollowers)
	}
	defer p.remove(s)
	if !hello.spare {
		p.queueKnownRecords(s)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.takeWords(stream, s, cancel)
	return p.send(ctx, stream, s)
}

// queueKnownRecords queues all records, once the follower is told of new ones, so that none
// comes between.
func (p *Publisher) queueKnownRecords(s *subscriber) {
	if p.source.Records != nil {
		s.queueRecords(p.source.Records())
	}
}

func (p *Publisher) add(s *subscriber) bool {
	p.mu.Lock()
	full := len(p.subscribers) >= maxFollowers
	if !full {
		p.subscribers[s] = true
	}
	p.mu.Unlock()
	if s.hello.role == RoleNode && !full {
		// Its failure domain is known from now on.
		p.NodesChanged()
	}
	return !full
}

func (p *Publisher) remove(s *subscriber) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.makePrimary(s, false)
	delete(p.subscribers, s)
}

// takeWords reads what the follower tells; the end of the stream ends it.
func (p *Publisher) takeWords(stream *link.Stream, s *subscriber, cancel func()) {
	defer cancel()
	for {
		var w Word
		if err := stream.Receive(&w); err != nil {
			return
		}
		if w.subscription != Unchanged {
			p.subscribe(s, w.subscription)
		}
		if w.load != nil {
			p.loaded(*w.load)
		}
		p.learn(w.records)
		if w.trial != "" && p.source.Trial != nil {
			go p.source.Trial(w.trial, quarantine.Tester(s.hello.self))
		}
		if w.demand > 0 {
			p.demanded(s, w.demand)
		}
		if w.spent != nil {
			p.keepSpent(s, *w.spent)
		}
		if w.ask {
			s.change(func(s *subscriber) { s.asked = true })
		}
	}
}

// learn takes what a follower tells of requests under which servers ended.
func (p *Publisher) learn(records []quarantine.Record) {
	if len(records) > 0 && p.source.Learn != nil {
		p.source.Learn(records)
	}
}

// ----------------------------------------------------------------
// Updates

func (p *Publisher) send(ctx context.Context, stream *link.Stream, s *subscriber) error {
	next := time.NewTimer(beat)
	defer next.Stop()
	for {
		next.Reset(s.beat())
		stream.SetDeadline(time.Now().Add(sendTimeout))
		if err := stream.Send(p.update(s)); err != nil {
			return err
		}
		if !wait(ctx, leastUpdatePause, nil) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-next.C:
		case <-s.soon:
			if !wait(ctx, s.gather()-leastUpdatePause, s.wake) {
				return nil
			}
		}
	}
}

// wait waits for a time or a wake-up, and returns false when the context ended.
func wait(ctx context.Context, pause time.Duration, wake <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-time.After(pause):
	}
	return true
}
