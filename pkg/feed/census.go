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

// here is the source of what this node's own followers told.
const here = ""

// sourceLife is how long another node may be silent before what it told is
// forgotten. Its followers have gone to their backups by then.
const sourceLife = 5 * time.Second

// source is what one node counts among its primary followers.
type source struct {
	gateways int
	demands  map[string]float64 // requests for engines a second, by failure domain
	peers    map[string]Peer    // by link address
	heard    time.Time
}

// census counts the followers of all control nodes. It is not safe for
// concurrent use.
type census struct {
	sources map[string]*source // by the node's link address
}

func newCensus() *census { return &census{sources: map[string]*source{}} }

func (c *census) of(node string) *source {
	s := c.sources[node]
	if s == nil {
		s = &source{demands: map[string]float64{}, peers: map[string]Peer{}}
		c.sources[node] = s
	}
	return s
}

// gateways counts the gateways of all nodes.
func (c *census) gateways() int {
	all := 0
	for _, s := range c.sources {
		all += s.gateways
	}
	return all
}

// demands adds up what comes to the gateways of all nodes, by failure domain.
func (c *census) demands() []Demand {
	sum := map[string]float64{}
	for _, s := range c.sources {
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

// peers returns the stagers and caches of all nodes.
func (c *census) peers() []Peer {
	all := map[string]Peer{}
	for _, s := range c.sources {
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
	for _, s := range c.sources {
		if s.peers[p.address] == p {
			return true
		}
	}
	return false
}

func (c *census) knowsAddress(address string) bool {
	for _, s := range c.sources {
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

// absentFrom returns the peers of a source that are not among those told.
func (s *source) absentFrom(told []Peer) []string {
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
	for node, s := range c.sources {
		if node == here || now.Sub(s.heard) < sourceLife {
			continue
		}
		for address := range maps.Clone(s.peers) {
			if c.leave(node, address) {
				gone = append(gone, address)
			}
		}
		delete(c.sources, node)
	}
	return gone
}
