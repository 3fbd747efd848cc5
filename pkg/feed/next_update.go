// ================================================================
// Builds the next Update to a follower from its queue, and from the parts of the inventory and the
// document that its role needs.
// ================================================================

package feed

import (
	"slices"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// nextUpdate empties the follower's queue and returns its content as an Update.
func (p *Publisher) nextUpdate(s *subscriber) Update {
	d := s.dequeue()
	u := Update{documentNumber: p.source.DocumentNumber(), namedVersions: p.source.NamedVersions(), quorumConfirmed: p.source.QuorumConfirmed(), records: d.records}
	if d.retryUsage != nil {
		u.retryUsage = d.retryUsage.agedTo(time.Now())
	}
	if d.sendDocument {
		u.document = p.documentFor(s.hello.role)
	}
	for _, l := range d.loads {
		u.loads = append(u.loads, l)
	}
	for _, r := range d.registrations {
		u.registrations = append(u.registrations, r)
	}
	if d.sendNodes {
		u.nodes = p.controlNodes()
	}
	if d.sendEvacuations && s.hello.role == RoleGateway && p.source.Evacuations != nil {
		u.evacuations = p.source.Evacuations()
	}
	if d.primary {
		p.addInventory(&u, s, d)
	}
	return u
}

// addInventory adds the inventory to an Update to a primary follower.
func (p *Publisher) addInventory(u *Update, s *subscriber, d dequeued) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNode := s.hello.role == RoleNode
	switch {
	case isNode:
		u.gateways, u.demands = p.inventory.forNode(localNode).gateways, p.inventory.localDemands()
	case s.hello.role == RoleGateway:
		u.gateways, u.demands = p.inventory.gateways(), p.inventory.demands()
	}
	if d.sendAllPeers {
		u.allPeers = true
		all := p.inventory.peers()
		if isNode {
			all = p.inventory.localPeers()
		}
		u.peers = slices.DeleteFunc(all, func(peer Peer) bool { return !s.wantsPeer(peer) })
		return
	}
	for address, peer := range d.peers {
		if peer == nil {
			u.removedPeers = append(u.removedPeers, address)
		} else {
			u.peers = append(u.peers, *peer)
		}
	}
}

// controlNodes returns the control nodes, with the failure domains of those that follow this node,
// which is all that run.
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

// documentFor returns the document as a role needs it; nil if there is none. Routes and keys are
// most of it, and only gateways read them.
func (p *Publisher) documentFor(role Role) *serviceconfig.Document {
	d := p.source.Document()
	if d == nil || role == RoleGateway {
		return d
	}
	engines := d.ForEngines()
	return &engines
}
