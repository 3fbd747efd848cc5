// ================================================================
// Who has this node for its primary. The census counts each follower where it has its
// primary, once, whatever streams it keeps besides.
// ================================================================

package feed

import "github.com/tidepost/tidepost/pkg/daemon"

// setSubscription makes this node a follower's primary, or takes that back. The census
// counts a follower where it has its primary.
func (p *Publisher) setSubscription(s *subscriber, to Subscription) {
	p.endFallback(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setPrimary(s, to == Primary)
}

// endFallback has a spare follower told what the others are.
func (p *Publisher) endFallback(s *subscriber) {
	if !s.endFallback() {
		return
	}
	// Once it is told of new ones, so that none comes between.
	known := p.source.Registrations()
	s.changeAndWake(func(s *subscriber) {
		s.queueRegistrations(known)
		s.sendNodes = true
	})
	p.queueKnownRecords(s)
}

// setPrimary is subscribe for whoever holds the lock.
func (p *Publisher) setPrimary(s *subscriber, primary bool) {
	s.mu.Lock()
	changed := s.primary != primary
	s.primary = primary
	s.sendAllPeers = s.sendAllPeers || primary
	if s.wantsLoads() {
		for engine, told := range p.loads {
			s.loads[engine] = told.load
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
		// It counts once: two would halve the share of places of a gateway that is
		// back before its old stream is found broken. One without a name can't be
		// told from others.
		if s.hello.self.ID() != "" && other.isSameFollower(s) && other.isPrimary() {
			p.setPrimary(other, false)
		}
	}
}

// countFollower takes a follower into the census, or out of it.
func (p *Publisher) countFollower(s *subscriber, in bool, demand float64) {
	sign := 1
	if !in {
		sign = -1
	}
	switch s.hello.role {
	case RoleNode:
		return
	case RoleGateway:
		p.inventory.forNode(localNode).gateways += sign
		p.inventory.addLocalDemand(s.hello.self.Domain(), float64(sign)*demand)
	}
	if in {
		p.addPeer(s.hello)
	} else if !p.hasOtherStream(s) {
		p.removePeer(s.hello.self.Address())
	}
}

// hasOtherStream tells whether a follower has another stream here: it came back
// before its old stream was found broken.
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

// removePeer tells the other nodes, and the followers here unless another node has
// it by now.
func (p *Publisher) removePeer(address string) {
	gone := p.inventory.removePeer(localNode, address)
	for s := range p.subscribers {
		if gone || s.hello.role == RoleNode {
			s.queuePeers(nil, []string{address})
		}
	}
}

// receiveDemand notes what comes to a gateway.
func (p *Publisher) receiveDemand(s *subscriber, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.mu.Lock()
	before, primary := s.demand, s.primary
	s.demand = perSecond
	s.mu.Unlock()
	if primary {
		p.inventory.addLocalDemand(s.hello.self.Domain(), perSecond-before)
	}
}
