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
	hello Hello
	wake  chan struct{} // something is to be told at once
	soon  chan struct{} // something may wait for more

	mu         sync.Mutex
	primary    bool // it wants loads, demand and peers
	pending    map[string]registry.Registration
	records    map[quarantine.Fingerprint]quarantine.Record
	loads      map[string]Load  // by engine
	peers      map[string]*Peer // changes by link address; nil is one that left
	wholePeers bool             // all peers are to be told
	nodes      bool             // the control nodes are to be told
	asked      bool             // the document is to be told
	demand     float64          // requests for engines a second, of a gateway
	spent      *toldSpent       // of the gateway before it, to be told
	spare      bool             // it wants to hear of documents and weights only
}

func newSubscriber(hello Hello) *subscriber {
	return &subscriber{
		hello: hello, spare: hello.spare, wake: make(chan struct{}, 1), soon: make(chan struct{}, 1),
		primary: hello.role == RoleNode, wholePeers: hello.role == RoleNode, nodes: !hello.spare,
		records: map[quarantine.Fingerprint]quarantine.Record{},
		pending: map[string]registry.Registration{}, loads: map[string]Load{}, peers: map[string]*Peer{},
	}
}

// change changes what waits and has it told at once.
func (s *subscriber) change(change func(*subscriber)) {
	s.mu.Lock()
	change(s)
	s.mu.Unlock()
	daemon.Wake(s.wake)
}

// queueWords queues words of backend servers. The caller holds the lock, or is the
// only one who knows s.
func (s *subscriber) queueWords(words []registry.Registration) {
	for _, r := range words {
		s.pending[r.Incarnation()] = r
	}
}

func (s *subscriber) isPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary
}

// isSpare tells whether this follower wants to hear of documents and weights only.
func (s *subscriber) isSpare() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spare
}

// endSpare has this follower told everything from now on, and tells whether it was a spare.
func (s *subscriber) endSpare() (was bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, s.spare = s.spare, false
	return was
}

// beat is how long this follower is told nothing when nothing changes.
func (s *subscriber) beat() time.Duration {
	if s.hello.role == RoleGateway && s.isPrimary() {
		return quickBeat
	}
	return beat
}

// isSame tells whether this is another stream of the same follower.
func (s *subscriber) isSame(other *subscriber) bool {
	self, theirs := s.hello.self, other.hello.self
	return s != other && s.hello.role == other.hello.role && self.Address() == theirs.Address() && self.ID() == theirs.ID()
}

// takesLoads tells whether loads are for this follower.
func (s *subscriber) takesLoads() bool {
	return s.primary && (s.hello.role == RoleGateway || s.hello.role == RoleNode)
}

// takesPeer tells whether this follower is to know a peer: control nodes know all.
func (s *subscriber) takesPeer(p Peer) bool {
	return s.hello.role == RoleNode || p.gateway == (s.hello.role == RoleGateway)
}

// queueLoads queues loads for a follower that takes them.
func (s *subscriber) queueLoads(loads []Load, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.takesLoads() {
		return
	}
	for _, l := range loads {
		s.loads[l.engine] = l
	}
	if urgent {
		daemon.Wake(s.wake)
	} else {
		daemon.Wake(s.soon)
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
		if s.takesPeer(p) {
			s.peers[p.address] = &p
		}
	}
	for _, address := range gone {
		s.peers[address] = nil
	}
	daemon.Wake(s.soon)
}

// gather is how long what may wait does so, for more to be told with it. Between
// nodes it is longer: links between regions are narrow, and gateways use engines
// of other failure domains for what their own cannot take.
func (s *subscriber) gather() time.Duration {
	if s.hello.role == RoleNode {
		return relayPause
	}
	return loadPause
}

// taken is what was taken off a queue to be told.
type taken struct {
	registrations map[string]registry.Registration
	loads         map[string]Load
	peers         map[string]*Peer
	wholePeers    bool
	nodes         bool
	asked         bool
	primary       bool
	records       []quarantine.Record
	spent         *toldSpent
}

// take empties the queue.
func (s *subscriber) take() taken {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := taken{s.pending, s.loads, s.peers, s.wholePeers, s.nodes, s.asked, s.primary, s.takeRecords(), s.spent}
	s.pending, s.loads, s.peers = map[string]registry.Registration{}, map[string]Load{}, map[string]*Peer{}
	s.wholePeers, s.nodes, s.asked, s.spent = false, false, false, nil
	return t
}
