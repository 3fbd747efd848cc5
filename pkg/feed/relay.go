// ================================================================
// Relays of loads between control nodes. Links between failure domains are narrow, so a node sends the
// loads of its stagers to the nodes of its own failure domain and to one node of each other domain, which
// relays them to the nodes of its own. Each load so crosses between two failure domains once, however many
// nodes there are. Each sender chooses its relays by rendezvous hash, which spreads them; when the stream of
// a relay breaks, another node of its failure domain takes its place.
//
// Registrations don't use relays: the departure of a backend server must also arrive where two nodes cannot
// reach each other.
// ================================================================

package feed

import "time"

// isLoadReceiver reports whether this node's own loads are sent to a node: one of its own failure domain, or
// the relay of another one. The caller holds the lock.
func (p *Publisher) isLoadReceiver(s *subscriber) bool {
	return s.hello.role != RoleNode || p.isSameDomain(s) || p.relays[s.hello.self.Domain()] == s
}

func (p *Publisher) isSameDomain(s *subscriber) bool {
	return s.hello.self.Domain() == p.source.Self.Domain()
}

// chooseRelays chooses the relay of each failure domain anew, after the streams of nodes have changed. The
// caller holds the lock.
func (p *Publisher) chooseRelays() {
	p.relays = map[string]*subscriber{}
	for s := range p.subscribers {
		if s.hello.role != RoleNode || p.isSameDomain(s) {
			continue
		}
		domain := s.hello.self.Domain()
		if current := p.relays[domain]; current == nil || p.relayOrder(s) < p.relayOrder(current) {
			p.relays[domain] = s
		}
	}
}

func (p *Publisher) relayOrder(s *subscriber) uint64 {
	return rendezvousHash(p.source.Self, s.hello.self.Address())
}

// relayLoads queues the loads that a node of another failure domain sent for the nodes of this one. The
// caller holds the lock.
func (p *Publisher) relayLoads(node string, loads []Load) {
	if len(loads) == 0 || !p.isFromOtherDomain(node) {
		return
	}
	for s := range p.subscribers {
		if s.hello.role == RoleNode && p.isSameDomain(s) {
			s.queueLoads(loads, false)
		}
	}
}

// isFromOtherDomain reports whether the node at an address is known to be of another failure domain.
func (p *Publisher) isFromOtherDomain(node string) bool {
	for s := range p.subscribers {
		if s.hello.role == RoleNode && s.hello.self.Address() == node {
			return !p.isSameDomain(s)
		}
	}
	return false
}

// batchDelay is how long changes that are not urgent are collected before an Update. It is longer for nodes
// of other failure domains: gateways use engines there only for the load that their own cannot take.
func (p *Publisher) batchDelay(s *subscriber) time.Duration {
	if s.hello.role == RoleNode && !p.isSameDomain(s) {
		return relayBatchDelay
	}
	return loadBatchDelay
}
