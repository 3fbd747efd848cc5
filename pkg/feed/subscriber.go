// ================================================================
// The send queue of one follower at a control node. It holds the latest registration, load and peer
// change of each sender that the follower has not received, so that a slow follower costs at most
// one entry for each and does not delay the others.
// ================================================================

package feed

import (
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
)

// subscriber is the send queue of one follower. The fields below mu are guarded by it.
type subscriber struct {
	hello       Hello
	wakeNow     chan struct{} // sends an Update at once
	wakeBatched chan struct{} // sends an Update after batchDelay

	mu              sync.Mutex
	primary         bool // loads, demands and peers are sent
	registrations   map[string]registry.Registration
	records         map[quarantine.Fingerprint]quarantine.Record
	knownRecords    map[quarantine.Fingerprint]bool // suspicious records that the follower has; their changes are sent
	loads           map[string]Load                 // by engine
	peers           map[string]*Peer                // changes by link address; nil for a removed peer
	sendAllPeers    bool                            // the next Update has all peers
	sendNodes       bool                            // the next Update has the control nodes
	sendDocument    bool                            // the next Update has the document
	sendEvacuations bool                            // the next Update has the evacuated failure domains
	demand          float64                         // requests for engines per second, of a gateway
	retryUsage      *storedRetryUsage               // of the gateway's predecessor, to be sent
	fallback        bool                            // only documents and versions are sent
}

func newSubscriber(hello Hello) *subscriber {
	return &subscriber{
		hello: hello, fallback: hello.fallback, wakeNow: make(chan struct{}, 1), wakeBatched: make(chan struct{}, 1),
		primary: hello.role == RoleNode, sendAllPeers: hello.role == RoleNode, sendNodes: !hello.fallback, sendEvacuations: true,
		records: map[quarantine.Fingerprint]quarantine.Record{}, knownRecords: map[quarantine.Fingerprint]bool{},
		registrations: map[string]registry.Registration{}, loads: map[string]Load{}, peers: map[string]*Peer{},
	}
}

// changeAndWake changes the queue and wakes the sender at once.
func (s *subscriber) changeAndWake(change func(*subscriber)) {
	s.mu.Lock()
	change(s)
	s.mu.Unlock()
	daemon.Wake(s.wakeNow)
}

// queueRegistrations queues registrations. The caller holds the lock, or is the only one with
// access to s.
func (s *subscriber) queueRegistrations(registrations []registry.Registration) {
	for _, r := range registrations {
		s.registrations[r.Incarnation()] = r
	}
}

func (s *subscriber) isPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary
}

// wantsRegistrations reports whether registrations are sent to this follower. Gateways must learn of a
// departure though one of their nodes is partitioned, so both nodes send them; stagers and caches only look
// for sources of chunks.
func (s *subscriber) wantsRegistrations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hello.role == RoleGateway || s.hello.role == RoleNode {
		return !s.fallback
	}
	return s.primary
}

// endFallback ends the restriction to documents and versions, and reports whether there was one.
func (s *subscriber) endFallback() (wasFallback bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasFallback, s.fallback = s.fallback, false
	return wasFallback
}

// updateInterval returns the time between Updates to this follower without changes.
func (s *subscriber) updateInterval() time.Duration {
	if s.hello.role == RoleGateway && s.isPrimary() {
		return gatewayUpdateInterval
	}
	return updateInterval
}

// isSameFollower reports whether other is another stream of the same follower.
func (s *subscriber) isSameFollower(other *subscriber) bool {
	self, otherSelf := s.hello.self, other.hello.self
	return s != other && s.hello.role == other.hello.role && self.Address() == otherSelf.Address() && self.ID() == otherSelf.ID()
}

// wantsLoads reports whether loads are sent to this follower. The caller holds the lock.
func (s *subscriber) wantsLoads() bool {
	return s.primary && (s.hello.role == RoleGateway || s.hello.role == RoleNode)
}

// wantsPeer reports whether a peer is sent to this follower: control nodes get all.
func (s *subscriber) wantsPeer(p Peer) bool {
	return s.hello.role == RoleNode || p.gateway == (s.hello.role == RoleGateway)
}

// queueLoads queues loads if they are sent to this follower.
func (s *subscriber) queueLoads(loads []Load, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.wantsLoads() {
		return
	}
	for _, l := range loads {
		s.loads[l.engine] = l
	}
	if urgent {
		daemon.Wake(s.wakeNow)
	} else {
		daemon.Wake(s.wakeBatched)
	}
}

// queuePeers queues changes of the peers if they are sent to this follower.
func (s *subscriber) queuePeers(added []Peer, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary {
		return
	}
	for _, p := range added {
		if s.wantsPeer(p) {
			s.peers[p.address] = &p
		}
	}
	for _, address := range removed {
		s.peers[address] = nil
	}
	daemon.Wake(s.wakeBatched)
}

// dequeued is the content of a queue that was removed for an Update.
type dequeued struct {
	registrations   map[string]registry.Registration
	loads           map[string]Load
	peers           map[string]*Peer
	sendAllPeers    bool
	sendNodes       bool
	sendDocument    bool
	primary         bool
	records         []quarantine.Record
	retryUsage      *storedRetryUsage
	sendEvacuations bool
}

// dequeue empties the queue.
func (s *subscriber) dequeue() dequeued {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := dequeued{s.registrations, s.loads, s.peers, s.sendAllPeers, s.sendNodes, s.sendDocument, s.primary, s.dequeueRecords(), s.retryUsage, s.sendEvacuations}
	s.registrations, s.loads, s.peers = map[string]registry.Registration{}, map[string]Load{}, map[string]*Peer{}
	s.sendAllPeers, s.sendNodes, s.sendDocument, s.sendEvacuations, s.retryUsage = false, false, false, false, nil
	return d
}
