// ================================================================
// A subscriber: one follower's queue at a control node. It holds the newest word
// of each backend server, engine and peer that the follower has not got yet, so
// a slow follower costs one word each and never holds up the others.
// ================================================================

package feed

import (
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
)

// subscriber is one follower's queue.
type subscriber struct {
	hello       Hello
	wakeNow     chan struct{} // something is to be told at once
	wakeBatched chan struct{} // something may wait for more

	mu            sync.Mutex
	primary       bool // it wants loads, demand and peers
	registrations map[string]registry.Registration
	records       map[quarantine.Fingerprint]quarantine.Record
	loads         map[string]Load   // by engine
	peers         map[string]*Peer  // changes by link address; nil is one that left
	sendAllPeers  bool              // all peers are to be told
	sendNodes     bool              // the control nodes are to be told
	sendDocument  bool              // the document is to be told
	demand        float64           // requests for engines a second, of a gateway
	retryUsage    *storedRetryUsage // of the gateway before it, to be told
	fallback      bool              // it wants to hear of documents and weights only
}

func newSubscriber(hello Hello) *subscriber {
	return &subscriber{
		hello: hello, fallback: hello.fallback, wakeNow: make(chan struct{}, 1), wakeBatched: make(chan struct{}, 1),
		primary: hello.role == RoleNode, sendAllPeers: hello.role == RoleNode, sendNodes: !hello.fallback,
		records:       map[quarantine.Fingerprint]quarantine.Record{},
		registrations: map[string]registry.Registration{}, loads: map[string]Load{}, peers: map[string]*Peer{},
	}
}

// changeAndWake changes what waits and has it told at once.
func (s *subscriber) changeAndWake(change func(*subscriber)) {
	s.mu.Lock()
	change(s)
	s.mu.Unlock()
	daemon.Wake(s.wakeNow)
}

// queueRegistrations queues words of backend servers. The caller holds the lock, or is the
// only one who knows s.
func (s *subscriber) queueRegistrations(words []registry.Registration) {
	for _, r := range words {
		s.registrations[r.Incarnation()] = r
	}
}

func (s *subscriber) isPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary
}

// isFallback tells whether this follower wants to hear of documents and weights only.
func (s *subscriber) isFallback() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fallback
}

// endFallback has this follower told everything from now on, and tells whether it was a spare.
func (s *subscriber) endFallback() (was bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, s.fallback = s.fallback, false
	return was
}

// updateInterval is how long this follower is told nothing when nothing changes.
func (s *subscriber) updateInterval() time.Duration {
	if s.hello.role == RoleGateway && s.isPrimary() {
		return gatewayUpdateInterval
	}
	return updateInterval
}

// isSameFollower tells whether this is another stream of the same follower.
func (s *subscriber) isSameFollower(other *subscriber) bool {
	self, theirs := s.hello.self, other.hello.self
	return s != other && s.hello.role == other.hello.role && self.Address() == theirs.Address() && self.ID() == theirs.ID()
}

// wantsLoads tells whether loads are for this follower.
func (s *subscriber) wantsLoads() bool {
	return s.primary && (s.hello.role == RoleGateway || s.hello.role == RoleNode)
}

// wantsPeer tells whether this follower is to know a peer: control nodes know all.
func (s *subscriber) wantsPeer(p Peer) bool {
	return s.hello.role == RoleNode || p.gateway == (s.hello.role == RoleGateway)
}

// queueLoads queues loads for a follower that takes them.
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

// queuePeers queues changes of the peers for a follower that is told of them.
func (s *subscriber) queuePeers(joined []Peer, gone []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary {
		return
	}
	for _, p := range joined {
		if s.wantsPeer(p) {
			s.peers[p.address] = &p
		}
	}
	for _, address := range gone {
		s.peers[address] = nil
	}
	daemon.Wake(s.wakeBatched)
}

// batchDelay is how long what may wait does so, for more to be told with it. Between
// nodes it is longer: links between regions are narrow, and gateways use engines
// of other failure domains for what their own cannot take.
func (s *subscriber) batchDelay() time.Duration {
	if s.hello.role == RoleNode {
		return relayBatchDelay
	}
	return loadBatchDelay
}

// dequeued is what was taken off a queue to be told.
type dequeued struct {
	registrations map[string]registry.Registration
	loads         map[string]Load
	peers         map[string]*Peer
	sendAllPeers  bool
	sendNodes     bool
	sendDocument  bool
	primary       bool
	records       []quarantine.Record
	retryUsage    *storedRetryUsage
}

// dequeue empties the queue.
func (s *subscriber) dequeue() dequeued {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := dequeued{s.registrations, s.loads, s.peers, s.sendAllPeers, s.sendNodes, s.sendDocument, s.primary, s.dequeueRecords(), s.retryUsage}
	s.registrations, s.loads, s.peers = map[string]registry.Registration{}, map[string]Load{}, map[string]*Peer{}
	s.sendAllPeers, s.sendNodes, s.sendDocument, s.retryUsage = false, false, false, nil
	return t
}
