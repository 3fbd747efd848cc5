// ================================================================
// The census: who follows and how much comes to them, here and at the other
// control nodes. Each node tells the others what its own primary followers are
// and adds up what it is told, so nobody has to walk over all followers to
// answer a gateway.
//
//	here:    30 gateways, 210 requests a second, 24 stagers and a cache
//	node-b:  25 gateways, ...                      = told to the gateways here
// ================================================================

package feed

import (
	"maps"
	"slices"
	"time"
)

// here stands for this node among the nodes.
const here = ""

// countLife is how long another node may be silent before what it told is
// forgotten. Its followers have gone to their backups by then.
const countLife = 5 * time.Second

// nodeCount is what one node counts among its primary followers.
type nodeCount struct {
	gateways int
	demands  map[string]float64 // requests for engines a second, by failure domain
	peers    map[string]Peer    // by link address
	heard    time.Time
}

// census counts the followers of all control nodes. It is not safe for
// concurrent use.
type census struct {
	nodes map[string]*nodeCount // by the node's link address
}

func newCensus() *census { return &census{nodes: map[string]*nodeCount{}} }

func (c *census) of(node string) *nodeCount {
	s := c.nodes[node]
	if s == nil {
		s = &nodeCount{demands: map[string]float64{}, peers: map[string]Peer{}}
		c.nodes[node] = s
	}
	return s
}

// gateways counts the gateways of all nodes.
func (c *census) gateways() int {
	all := 0
	for _, s := range c.nodes {
		all += s.gateways
	}
	return all
}

// demands adds up what comes to the gateways of all nodes, by failure domain.
func (c *census) demands() []Demand {
	sum := map[string]float64{}
	for _, s := range c.nodes {
		for domain, perSecond := range s.demands {
			sum[domain] += perSecond
		}
	}
	return toDemands(sum)
}

// demandsHere is what comes to this node's own gateways.
func (c *census) demandsHere() []Demand { return toDemands(c.of(here).demands) }

func toDemands(byDomain map[string]float64) []Demand {
	var all []Demand
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		if perSecond := byDomain[domain]; perSecond > leastDemand {
			all = append(all, Demand{domain, perSecond})
		}
	}
	return all
}

// leastDemand is what the sum of a failure domain without requests may be off
// by, since it is kept by adding and taking away.
const leastDemand = 1e-6

// changeDemand changes what comes to this node's own gateways.
func (c *census) changeDemand(domain string, by float64) { c.of(here).demands[domain] += by }

// peers returns the gateways, stagers and caches of all nodes.
func (c *census) peers() []Peer {
	all := map[string]Peer{}
	for _, s := range c.nodes {
		maps.Copy(all, s.peers)
	}
	return slices.Collect(maps.Values(all))
}

// peersHere returns those that follow this node.
func (c *census) peersHere() []Peer { return slices.Collect(maps.Values(c.of(here).peers)) }

// join notes a stager or cache of a node, and tells whether it is news.
func (c *census) join(node string, p Peer) bool {
	news := !c.knows(p)
	c.of(node).peers[p.address] = p
	return news
}

// leave takes one off a node, and tells whether no other node has it.
func (c *census) leave(node, address string) bool {
	if _, there := c.of(node).peers[address]; !there {
		return false
	}
	delete(c.of(node).peers, address)
	return !c.knowsAddress(address)
}

func (c *census) knows(p Peer) bool {
	for _, s := range c.nodes {
		if s.peers[p.address] == p {
			return true
		}
	}
	return false
}

func (c *census) knowsAddress(address string) bool {
	for _, s := range c.nodes {
		if _, there := s.peers[address]; there {
			return true
		}
	}
	return false
}

// relay takes what another node told of its followers, and returns the stagers
// and caches that are news and those that no node has any more.
func (c *census) relay(node string, u Update, now time.Time) (joined []Peer, gone []string) {
	s := c.of(node)
	s.heard = now
	s.gateways = u.gateways
	s.demands = map[string]float64{}
	for _, d := range u.demands {
		s.demands[d.domain] = d.perSecond
	}
	for _, p := range u.peers {
		if c.join(node, p) {
			joined = append(joined, p)
		}
	}
	left := u.gone
	if u.whole {
		left = append(left, s.absentFrom(u.peers)...)
	}
	for _, address := range left {
		if c.leave(node, address) {
			gone = append(gone, address)
		}
	}
	return joined, gone
}

// absentFrom returns the peers of a node that are not among those told.
func (s *nodeCount) absentFrom(told []Peer) []string {
	there := map[string]bool{}
	for _, p := range told {
		there[p.address] = true
	}
	var absent []string
	for address := range s.peers {
		if !there[address] {
			absent = append(absent, address)
		}
	}
	return absent
}

// forgetSilent forgets what nodes told that are silent, and returns the stagers
// and caches that no other node has.
func (c *census) forgetSilent(now time.Time) (gone []string) {
	for node, s := range c.nodes {
		if node == here || now.Sub(s.heard) < countLife {
			continue
		}
		for address := range maps.Clone(s.peers) {
			if c.leave(node, address) {
				gone = append(gone, address)
			}
		}
		delete(c.nodes, node)
	}
	return gone
}
