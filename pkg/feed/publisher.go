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
	// updateInterval is the time between Updates when nothing changes, and quickBeat the same for
	// gateways that have the node for their primary: what they miss counts soonest.
	updateInterval        = time.Second
	gatewayUpdateInterval = updateInterval / 2
	// loadBatchDelay is how long loads wait for others to be told with them, and
	// relayPause the same towards another node: at 24 engines a node and 5 nodes
	// 0.1 s would send four times the bytes between regions.
	loadBatchDelay  = 80 * time.Millisecond
	relayBatchDelay = 400 * time.Millisecond
	// minUpdateInterval lies between two Updates of one follower, whatever happens: a
	// roll of 120 engines has several urgent words each.
	minUpdateInterval = 40 * time.Millisecond
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
	// DocumentNumber returns the newest applied document's number.
	DocumentNumber func() uint64
	// Document returns that document; nil when there is none.
	Document func() *serviceconfig.Document
	// Versions returns the named versions.
	Versions func() []NamedVersion
	// OnHello takes the named versions that a follower knows of, before it is told
	// anything; nil where nobody asks.
	OnHello func(f Hello)
	// Registrations returns all words that the node holds.
	Registrations func() []registry.Registration
	// Records returns what the node knows of requests under which servers ended, and
	// Learn takes what a follower knows of them; nil where nobody asks.
	Records   func() []quarantine.Record
	OnRecords func(records []quarantine.Record)
	// OnTrialRequest takes that a follower asks to try a barred request once more; nil where nobody
	// may.
	OnTrialRequest func(f quarantine.Fingerprint, tester string)
	// Nodes returns the link addresses of the control nodes.
	Nodes func() []string
	// QuorumConfirmed tells whether a quorum's leader was heard of lately.
	QuorumConfirmed func() bool
}

// Publisher serves the feed to followers.
type Publisher struct {
	source Source

	mu          sync.Mutex
	subscribers map[*subscriber]bool
	loads       map[string]receivedLoad     // the newest told here, by engine
	retryUsage  map[string]storedRetryUsage // by link address of a gateway that ended in order
	inventory   *inventory
}

// receivedLoad is a load and when it was told.
type receivedLoad struct {
	load       Load
	receivedAt time.Time
}

// loadTTL is for how long a load is told to a new follower: stagers tell theirs
// anew each second.
const loadTTL = 2 * time.Second

// NewPublisher returns a publisher without followers.
func NewPublisher(s Source) *Publisher {
	return &Publisher{source: s, subscribers: map[*subscriber]bool{}, loads: map[string]receivedLoad{}, retryUsage: map[string]storedRetryUsage{}, inventory: newInventory()}
}

// QueueRegistrations queues a word for every follower.
func (p *Publisher) QueueRegistrations(words ...registry.Registration) {
	if len(words) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		if !s.isFallback() {
			s.changeAndWake(func(s *subscriber) { s.queueRegistrations(words) })
		}
	}
}

// ResendToNodes queues words for the other control nodes, which forget what is not told
// again.
func (p *Publisher) ResendToNodes(words []registry.Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		if s.hello.role == RoleNode {
			s.changeAndWake(func(s *subscriber) { s.queueRegistrations(words) })
		}
	}
}

// NotifyChange wakes every follower: the document or the weights changed.
func (p *Publisher) NotifyChange() { p.changeAll(func(*subscriber) {}) }

// NodesChanged has the control nodes told anew.
func (p *Publisher) NodesChanged() { p.changeAll(func(s *subscriber) { s.sendNodes = true }) }

func (p *Publisher) changeAll(change func(*subscriber)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		s.changeAndWake(change)
	}
}

// receiveLoad takes a load that the stager beside the engine told here.
func (p *Publisher) receiveLoad(l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	urgent := l.Urgent(p.loads[l.engine].load)
	p.loads[l.engine] = receivedLoad{l, time.Now()}
	for s := range p.subscribers {
		s.queueLoads([]Load{l}, urgent)
	}
}

// ReceiveNodeUpdate takes what another control node told of its own followers.
func (p *Publisher) ReceiveNodeUpdate(node string, u Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	joined, gone := p.inventory.applyUpdate(node, u, time.Now())
	p.dropRetryUsage(u.peers)
	p.queueForFollowers(u.loads, joined, gone)
}

// Sweep forgets old loads, and what silent control nodes told.
func (p *Publisher) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, told := range p.loads {
		if now.Sub(told.receivedAt) > loadTTL {
			delete(p.loads, engine)
		}
	}
	p.expireRetryUsage(now)
	p.queueForFollowers(nil, nil, p.inventory.expireNodes(now))
}

// queueForFollowers queues what other nodes told for the followers here, other nodes
// excepted.
func (p *Publisher) queueForFollowers(loads []Load, joined []Peer, gone []string) {
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
	if p.source.OnHello != nil {
		p.source.OnHello(hello)
	}
	s := newSubscriber(hello)
	if !hello.fallback {
		s.queueRegistrations(p.source.Registrations())
	}
	p.handOverRetryUsage(s)
	if !p.add(s) {
		return failure.New(failure.Overloaded, "%d followers are served already", maxFollowers)
	}
	defer p.remove(s)
	if !hello.fallback {
		p.queueKnownRecords(s)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.receiveMessages(stream, s, cancel)
	return p.sendUpdates(ctx, stream, s)
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
	p.setPrimary(s, false)
	delete(p.subscribers, s)
}

// receiveMessages reads what the follower tells; the end of the stream ends it.
func (p *Publisher) receiveMessages(stream *link.Stream, s *subscriber, cancel func()) {
	defer cancel()
	for {
		var w FollowerMessage
		if err := stream.Receive(&w); err != nil {
			return
		}
		if w.subscription != Unchanged {
			p.setSubscription(s, w.subscription)
		}
		if w.load != nil {
			p.receiveLoad(*w.load)
		}
		p.receiveRecords(w.records)
		if w.trialRequest != "" && p.source.OnTrialRequest != nil {
			go p.source.OnTrialRequest(w.trialRequest, quarantine.Tester(s.hello.self))
		}
		if w.demand > 0 {
			p.receiveDemand(s, w.demand)
		}
		if w.retryUsage != nil {
			p.storeRetryUsage(s, *w.retryUsage)
		}
		if w.requestDocument {
			s.changeAndWake(func(s *subscriber) { s.sendDocument = true })
		}
	}
}

// receiveRecords takes what a follower tells of requests under which servers ended.
func (p *Publisher) receiveRecords(records []quarantine.Record) {
	if len(records) > 0 && p.source.OnRecords != nil {
		p.source.OnRecords(records)
	}
}

// ----------------------------------------------------------------
// Updates

func (p *Publisher) sendUpdates(ctx context.Context, stream *link.Stream, s *subscriber) error {
	next := time.NewTimer(updateInterval)
	defer next.Stop()
	for {
		next.Reset(s.updateInterval())
		stream.SetDeadline(time.Now().Add(sendTimeout))
		if err := stream.Send(p.nextUpdate(s)); err != nil {
			return err
		}
		if !waitOrWake(ctx, minUpdateInterval, nil) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.wakeNow:
		case <-next.C:
		case <-s.wakeBatched:
			if !waitOrWake(ctx, s.batchDelay()-minUpdateInterval, s.wakeNow) {
				return nil
			}
		}
	}
}

// waitOrWake waits for a time or a wake-up, and returns false when the context ended.
func waitOrWake(ctx context.Context, pause time.Duration, wake <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-time.After(pause):
	}
	return true
}
