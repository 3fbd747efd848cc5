// ================================================================
// Who has this node for its primary. The census counts each follower where it has its
// primary, once, whatever streams it keeps besides.
// ================================================================

package feed

import "github.com/tidepost/tidepost/pkg/daemon"

// subscribe makes this node a follower's primary, or takes that back. The census
// counts a follower where it has its primary.
func (p *Publisher) subscribe(s *subscriber, to Subscription) {
	p.tellAll(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.makePrimary(s, to == Primary)
}

// tellAll has a spare follower told what the others are.
func (p *Publisher) tellAll(s *subscriber) {
	if !s.endSpare() {
		return
	}
	// Once it is told of new ones, so that none comes between.
	known := p.source.Registrations()
	s.change(func(s *subscriber) {
		s.queueWords(known)
		s.nodes = true
	})
	p.queueKnownRecords(s)
}

// makePrimary is subscribe for whoever holds the lock.
func (p *Publisher) makePrimary(s *subscriber, primary bool) {
	s.mu.Lock()
	changed := s.primary != primary
	s.primary = primary
	s.wholePeers = s.wholePeers || primary
	if s.takesLoads() {
		for engine, told := range p.loads {
			s.loads[engine] = told.load
		}
	}
	demand := s.demand
	s.mu.Unlock()
	if !changed || !p.subscribers[s] {
		return
	}
	p.count(s, primary, demand)
	if !primary {
		return
	}
	daemon.Wake(s.wake)
	for other := range p.subscribers {
		// It counts once: two would halve the share of places of a gateway that is
		// back before its old stream is found broken. One without a name can't be
		// told from others.
		if s.hello.self.ID() != "" && other.isSame(s) && other.isPrimary() {
			p.makePrimary(other, false)
		}
	}
}

// count takes a follower into the census, or out of it.
func (p *Publisher) count(s *subscriber, in bool, demand float64) {
	sign := 1
	if !in {
		sign = -1
	}
	switch s.hello.role {
	case RoleNode:
		return
	case RoleGateway:
		p.census.of(here).gateways += sign
		p.census.changeDemand(s.hello.self.Domain(), float64(sign)*demand)
	}
	if in {
		p.peerJoined(s.hello)
	} else if !p.isServedAgain(s) {
		p.peerLeft(s.hello.self.Address())
	}
}

// isServedAgain tells whether a follower has another stream here: it came back
// before its old stream was found broken.
func (p *Publisher) isServedAgain(s *subscriber) bool {
	for other := range p.subscribers {
		if other.isSame(s) && other.isPrimary() {
			return true
		}
	}
	return false
}

func (p *Publisher) peerJoined(h Hello) {
	peer := NewPeer(h.self.Address(), h.self.Domain(), h.service, h.engine, h.role == RoleCache, h.role == RoleGateway)
	p.census.join(here, peer)
	for s := range p.subscribers {
		s.queuePeers([]Peer{peer}, nil)
	}
}

// peerLeft tells the other nodes, and the followers here unless another node has
// it by now.
func (p *Publisher) peerLeft(address string) {
	gone := p.census.leave(here, address)
	for s := range p.subscribers {
		if gone || s.hello.role == RoleNode {
			s.queuePeers(nil, []string{address})
		}
	}
}

// demanded notes what comes to a gateway.
func (p *Publisher) demanded(s *subscriber, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.mu.Lock()
	before, primary := s.demand, s.primary
	s.demand = perSecond
	s.mu.Unlock()
	if primary {
		p.census.changeDemand(s.hello.self.Domain(), perSecond-before)
	}
}
