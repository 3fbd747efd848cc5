// ================================================================
// Subscriptions of followers. The inventory counts each follower once, at the node that is its
// primary, whatever other streams it keeps.
// ================================================================

package feed

import "github.com/tidepost/tidepost/pkg/daemon"

// setSubscription makes this node the primary or a backup of a follower.
func (p *Publisher) setSubscription(s *subscriber, subscription Subscription) {
	p.endFallback(s)
	wanted := s.wantsRegistrations()
	p.mu.Lock()
	p.setPrimary(s, subscription == Primary)
	p.mu.Unlock()
	if !wanted && s.wantsRegistrations() {
		p.queueKnownRegistrations(s)
	}
}

// queueKnownRegistrations queues all registrations. It is called once the follower receives new ones, so
// that it misses none.
func (p *Publisher) queueKnownRegistrations(s *subscriber) {
	known := p.source.Registrations()
	s.changeAndWake(func(s *subscriber) { s.queueRegistrations(known) })
}

// endFallback queues the complete state for a follower that was in fallback mode.
func (p *Publisher) endFallback(s *subscriber) {
	if !s.endFallback() {
		return
	}
	s.changeAndWake(func(s *subscriber) { s.sendNodes = true })
	if s.wantsRegistrations() {
		p.queueKnownRegistrations(s)
	}
	p.queueKnownRecords(s)
}

// setPrimary sets whether this node is the follower's primary, and counts the follower accordingly.
// The caller holds the lock.
func (p *Publisher) setPrimary(s *subscriber, primary bool) {
	s.mu.Lock()
	changed := s.primary != primary
	s.primary = primary
	s.sendAllPeers = s.sendAllPeers || primary
	if s.wantsLoads() {
		for engine, received := range p.loads {
			s.loads[engine] = received.load
		}
	}
	demand := s.demand
	s.mu.Unlock()
	if !changed || !p.subscribers[s] {
		return
	}
	p.countFollower(s, primary, demand)
	if !primary {
		return
	}
	daemon.Wake(s.wakeNow)
	for other := range p.subscribers {
		// A gateway that reconnects before its old stream is detected as broken counts once: two
		// would halve its share of the slots. Followers without an ID cannot be distinguished.
		if s.hello.self.ID() != "" && other.isSameFollower(s) && other.isPrimary() {
			p.setPrimary(other, false)
		}
	}
}

// countFollower adds a follower to the inventory or removes it.
func (p *Publisher) countFollower(s *subscriber, add bool, demand float64) {
	sign := 1
	if !add {
		sign = -1
	}
	switch s.hello.role {
	case RoleNode:
		return
	case RoleGateway:
		p.inventory.forNode(localNode).gateways += sign
		p.inventory.addLocalDemand(s.hello.self.Domain(), float64(sign)*demand)
	}
	if add {
		p.addPeer(s.hello)
	} else if !p.hasOtherStream(s) {
		p.removePeer(s.hello.self.Address())
	}
}

// hasOtherStream reports whether a follower has another stream here: it has reconnected before its
// old stream was detected as broken.
func (p *Publisher) hasOtherStream(s *subscriber) bool {
	for other := range p.subscribers {
		if other.isSameFollower(s) && other.isPrimary() {
			return true
		}
	}
	return false
}

func (p *Publisher) addPeer(h Hello) {
	peer := NewPeer(h.self.Address(), h.self.Domain(), h.service, h.engine, h.role == RoleCache, h.role == RoleGateway)
	p.inventory.addPeer(localNode, peer)
	for s := range p.subscribers {
		s.queuePeers([]Peer{peer}, nil)
	}
}

// removePeer removes a peer and queues the removal for the other nodes, and for the followers of
// this node unless another node has the peer by now.
func (p *Publisher) removePeer(address string) {
	isLast := p.inventory.removePeer(localNode, address)
	for s := range p.subscribers {
		if isLast || s.hello.role == RoleNode {
			s.queuePeers(nil, []string{address})
		}
	}
}

// receiveDemand stores the request rate that a gateway reported.
func (p *Publisher) receiveDemand(s *subscriber, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.mu.Lock()
	previous, primary := s.demand, s.primary
	s.demand = perSecond
	s.mu.Unlock()
	if primary {
		p.inventory.addLocalDemand(s.hello.self.Domain(), perSecond-previous)
	}
}
