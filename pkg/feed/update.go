// ================================================================
// What one Update tells a follower: what waits for it, and what its role needs of the
// census and of the document.
// ================================================================

package feed

import (
	"slices"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// nextUpdate takes what waits for the follower.
func (p *Publisher) nextUpdate(s *subscriber) Update {
	t := s.dequeue()
	u := Update{number: p.source.DocumentNumber(), versions: p.source.Versions(), quorumConfirmed: p.source.QuorumConfirmed(), records: t.records}
	if t.retryUsage != nil {
		u.retryUsage = t.retryUsage.agedTo(time.Now())
	}
	if t.sendDocument {
		u.document = p.documentFor(s.hello.role)
	}
	for _, l := range t.loads {
		u.loads = append(u.loads, l)
	}
	for _, r := range t.registrations {
		u.registrations = append(u.registrations, r)
	}
	if t.sendNodes {
		u.nodes = p.controlNodes()
	}
	if t.primary {
		p.addInventory(&u, s, t)
	}
	return u
}

// addInventory adds what the census says to a primary follower's Update.
func (p *Publisher) addInventory(u *Update, s *subscriber, t dequeued) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNode := s.hello.role == RoleNode
	switch {
	case isNode:
		u.gateways, u.demands = p.inventory.forNode(localNode).gateways, p.inventory.localDemands()
	case s.hello.role == RoleGateway:
		u.gateways, u.demands = p.inventory.gateways(), p.inventory.demands()
	}
	if t.sendAllPeers {
		u.allPeers = true
		all := p.inventory.peers()
		if isNode {
			all = p.inventory.localPeers()
		}
		u.peers = slices.DeleteFunc(all, func(peer Peer) bool { return !s.wantsPeer(peer) })
		return
	}
	for address, peer := range t.peers {
		if peer == nil {
			u.removedPeers = append(u.removedPeers, address)
		} else {
			u.peers = append(u.peers, *peer)
		}
	}
}

// controlNodes returns the control nodes, with the failure domains of those that
// follow here: all others do.
func (p *Publisher) controlNodes() []Node {
	addresses := p.source.Nodes()
	p.mu.Lock()
	defer p.mu.Unlock()
	domains := map[string]string{p.source.Self.Address(): p.source.Self.Domain()}
	for s := range p.subscribers {
		if s.hello.role == RoleNode {
			domains[s.hello.self.Address()] = s.hello.self.Domain()
		}
	}
	var all []Node
	for _, a := range addresses {
		all = append(all, Node{a, domains[a]})
	}
	return all
}

// documentFor returns the document as a role needs it; nil when there is none.
// Routes and keys are most of it, and only gateways read them.
func (p *Publisher) documentFor(role Role) *serviceconfig.Document {
	d := p.source.Document()
	if d == nil || role == RoleGateway {
		return d
	}
	engines := d.ForEngines()
	return &engines
}
