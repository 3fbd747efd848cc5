// ================================================================
// Server side of the feed at a control node.
//
// What followers report directly is sent to the node's own primary followers and to the other
// control nodes; what other nodes send is forwarded to the node's own followers only. So each
// message reaches a gateway through at most two nodes, and none loops. Two kinds of messages take
// other ways. Loads pass one node more between failure domains (relay.go). Registrations are sent by
// each node that learns of a new one to all its followers, because the deregistration of a backend
// server must also arrive when two nodes cannot reach each other.
// ================================================================

package feed

import (
	"context"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// updateInterval is the time between Updates without changes. gatewayUpdateInterval is the
	// shorter one for gateways that have the node as their primary, which are affected first by a
	// missing Update.
	updateInterval        = time.Second
	gatewayUpdateInterval = updateInterval / 2
	// loadBatchDelay is how long loads are collected before an Update to a follower, and
	// relayBatchDelay the same for a node of another failure domain: with 24 engines per node and 5
	// nodes, 0.1 s would send four times the bytes between regions.
	loadBatchDelay  = 80 * time.Millisecond
	relayBatchDelay = 400 * time.Millisecond
	// minUpdateInterval is the least time between two Updates to one follower: a rolling update of
	// 120 engines has several urgent changes for each.
	minUpdateInterval = 40 * time.Millisecond
	// sendTimeout bounds the sending of one Update; a slower follower is disconnected.
	sendTimeout = 3 * time.Second
	// maxFollowers bounds the streams that a node serves.
	maxFollowers = 4096
)

// PublisherConfig is the data that a publisher sends and the handlers of what it receives. All
// functions are called from several goroutines.
type PublisherConfig struct {
	// Self is the identity of the node.
	Self vm.Identity
	// DocumentNumber returns the number of the newest applied document.
	DocumentNumber func() uint64
	// Document returns that document; nil if there is none.
	Document func() *serviceconfig.Document
	// NamedVersions returns the named versions.
	NamedVersions func() []NamedVersion
	// Evacuations returns the states of the failure domains that were ever evacuated; nil if the node
	// keeps none.
	Evacuations func() []placement.DomainState
	// OnHello handles the Hello of a follower, with the named versions that it knows, before any
	// Update is sent to it; nil to ignore it.
	OnHello func(hello Hello)
	// Registrations returns all registrations that the node holds; nil if it keeps none.
	Registrations func() []registry.Registration
	// Records returns the quarantine records that the node holds, and OnRecords handles those that
	// a follower sends; nil if the node keeps none.
	Records   func() []quarantine.Record
	OnRecords func(records []quarantine.Record)
	// OnTrialRequest handles a follower's request to run a quarantined request once more; nil to
	// ignore it.
	OnTrialRequest func(f quarantine.Fingerprint, tester string)
	// Nodes returns the link addresses of the control nodes.
	Nodes func() []string
	// QuorumConfirmed reports whether the node was recently in contact with a leader that has a
	// quorum.
	QuorumConfirmed func() bool
}

// Publisher serves the feed to followers. It is safe for concurrent use.
type Publisher struct {
	source PublisherConfig

	mu          sync.Mutex
	subscribers map[*subscriber]bool
	loads       map[string]receivedLoad     // the latest reported to this node, by engine
	retryUsage  map[string]storedRetryUsage // by link address of a gateway that shut down gracefully
	inventory   *inventory
	relays      map[string]*subscriber // by failure domain, of other nodes
}

// receivedLoad is a load and the time at which it was received.
type receivedLoad struct {
	load       Load
	receivedAt time.Time
}

// loadTTL is how long a load is sent to new followers: stagers report theirs every second.
const loadTTL = 2 * time.Second

// NewPublisher returns a publisher without followers.
func NewPublisher(s PublisherConfig) *Publisher {
	if s.Registrations == nil {
		s.Registrations = func() []registry.Registration { return nil }
	}
	return &Publisher{source: s, subscribers: map[*subscriber]bool{}, loads: map[string]receivedLoad{}, retryUsage: map[string]storedRetryUsage{}, inventory: newInventory()}
}

// QueueRegistrations queues registrations for every follower that wants them.
func (p *Publisher) QueueRegistrations(registrations ...registry.Registration) {
	if len(registrations) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		if s.wantsRegistrations() {
			s.changeAndWake(func(s *subscriber) { s.queueRegistrations(registrations) })
		}
	}
}

// ResendToNodes queues registrations for the other control nodes, which forget those that are not
// sent again.
func (p *Publisher) ResendToNodes(registrations []registry.Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		if s.hello.role == RoleNode {
			s.changeAndWake(func(s *subscriber) { s.queueRegistrations(registrations) })
		}
	}
}

// NotifyChange sends an Update to every follower at once: the document or the versions have
// changed.
func (p *Publisher) NotifyChange() { p.changeAll(func(*subscriber) {}) }

// NodesChanged sends the list of control nodes to every follower.
func (p *Publisher) NodesChanged() { p.changeAll(func(s *subscriber) { s.sendNodes = true }) }

// EvacuationsChanged sends the evacuated failure domains to every gateway.
func (p *Publisher) EvacuationsChanged() {
	p.changeAll(func(s *subscriber) { s.sendEvacuations = true })
}

func (p *Publisher) changeAll(change func(*subscriber)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		s.changeAndWake(change)
	}
}

// receiveLoad stores a load from the stager beside the engine and queues it.
func (p *Publisher) receiveLoad(l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	urgent := l.Urgent(p.loads[l.engine].load)
	p.loads[l.engine] = receivedLoad{l, time.Now()}
	for s := range p.subscribers {
		if p.isLoadReceiver(s) {
			s.queueLoads([]Load{l}, urgent)
		}
	}
}

// ReceiveNodeUpdate handles what another control node sent of its own followers.
func (p *Publisher) ReceiveNodeUpdate(node string, u Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	added, removed := p.inventory.applyUpdate(node, u, time.Now())
	p.dropRetryUsage(u.peers)
	p.queueForFollowers(u.loads, added, removed)
	p.relayLoads(node, u.loads)
}

// Sweep removes expired loads, retry usages and inventories of silent control nodes.
func (p *Publisher) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine, received := range p.loads {
		if now.Sub(received.receivedAt) > loadTTL {
			delete(p.loads, engine)
		}
	}
	p.expireRetryUsage(now)
	p.queueForFollowers(nil, nil, p.inventory.expireNodes(now))
}

// queueForFollowers queues what other nodes sent for the followers of this node, except other
// nodes.
func (p *Publisher) queueForFollowers(loads []Load, added []Peer, removed []string) {
	for s := range p.subscribers {
		if s.hello.role == RoleNode {
			continue
		}
		if len(loads) > 0 {
			s.queueLoads(loads, false)
		}
		if len(added)+len(removed) > 0 {
			s.queuePeers(added, removed)
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
	if s.wantsRegistrations() {
		s.queueRegistrations(p.source.Registrations())
	}
	p.handOverRetryUsage(s)
	if !p.add(s) {
		return failure.New(failure.Overloaded, "the limit of %d followers is reached", maxFollowers)
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

// queueKnownRecords queues all records. It is called after the follower was added to the
// subscribers, so that it misses no new record.
func (p *Publisher) queueKnownRecords(s *subscriber) {
	if p.source.Records != nil {
		s.queueRecords(newQueuedRecords(p.source.Records()))
	}
}

func (p *Publisher) add(s *subscriber) bool {
	p.mu.Lock()
	full := len(p.subscribers) >= maxFollowers
	if !full {
		p.subscribers[s] = true
		p.nodeStreamsChanged(s)
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
	p.nodeStreamsChanged(s)
}

// nodeStreamsChanged updates what depends on the streams of other nodes, if s is one. The caller holds the
// lock.
func (p *Publisher) nodeStreamsChanged(s *subscriber) {
	if s.hello.role == RoleNode {
		p.chooseRelays()
	}
}

// receiveMessages handles the messages of a follower until the stream ends.
func (p *Publisher) receiveMessages(stream *link.Stream, s *subscriber, cancel func()) {
	defer cancel()
	for {
		var m FollowerMessage
		if err := stream.Receive(&m); err != nil {
			return
		}
		if m.subscription != Unchanged {
			p.setSubscription(s, m.subscription)
		}
		if m.load != nil {
			p.receiveLoad(*m.load)
		}
		p.receiveRecords(s, m.records)
		if m.trialRequest != "" && p.source.OnTrialRequest != nil {
			go p.source.OnTrialRequest(m.trialRequest, quarantine.TesterID(s.hello.self))
		}
		if m.demand > 0 {
			p.receiveDemand(s, m.demand)
		}
		if m.retryUsage != nil {
			p.storeRetryUsage(s, *m.retryUsage)
		}
		if m.requestDocument {
			s.changeAndWake(func(s *subscriber) { s.sendDocument = true })
		}
	}
}

// receiveRecords passes the quarantine records of a follower to the source.
func (p *Publisher) receiveRecords(s *subscriber, records []quarantine.Record) {
	if len(records) > 0 && p.source.OnRecords != nil {
		s.recordReceived(records)
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
			if !waitOrWake(ctx, p.batchDelay(s)-minUpdateInterval, s.wakeNow) {
				return nil
			}
		}
	}
}

// waitOrWake waits for a duration or a wake-up, and returns false if the context has ended.
func waitOrWake(ctx context.Context, duration time.Duration, wake <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-time.After(duration):
	}
	return true
}
