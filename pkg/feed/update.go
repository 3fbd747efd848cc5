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

// update takes what waits for the follower.
func (p *Publisher) update(s *subscriber) Update {
	t := s.take()
	u := Update{number: p.source.Number(), weights: p.source.Weights(), confirmed: p.source.Confirmed(), records: t.records}
	if t.spent != nil {
		u.spent = t.spent.now(time.Now())
	}
	if t.asked {
		u.document = p.documentFor(s.hello.role)
	}
	for _, l := range t.loads {
		u.loads = append(u.loads, l)
	}
	for _, r := range t.registrations {
		u.registrations = append(u.registrations, r)
	}
	if t.nodes {
		u.nodes = p.nodes()
	}
	if t.primary {
		p.addCensus(&u, s, t)
	}
	return u
}

// addCensus adds what the census says to a primary follower's Update.
func (p *Publisher) addCensus(u *Update, s *subscriber, t taken) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNode := s.hello.role == RoleNode
	switch {
	case isNode:
		u.gateways, u.demands = p.census.of(here).gateways, p.census.demandsHere()
	case s.hello.role == RoleGateway:
		u.gateways, u.demands = p.census.gateways(), p.census.demands()
	}
	if t.wholePeers {
		u.whole = true
		all := p.census.peers()
		if isNode {
			all = p.census.peersHere()
		}
		u.peers = slices.DeleteFunc(all, func(peer Peer) bool { return !s.takesPeer(peer) })
		return
	}
	for address, peer := range t.peers {
		if peer == nil {
			u.gone = append(u.gone, address)
		} else {
			u.peers = append(u.peers, *peer)
		}
	}
}

// nodes returns the control nodes, with the failure domains of those that
// follow here: all others do.
func (p *Publisher) nodes() []Node {
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
