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

// localNode stands for this node among the nodes.
const localNode = ""

// inventoryTTL is how long another node may be silent before what it told is
// forgotten. Its followers have gone to their backups by then.
const inventoryTTL = 5 * time.Second

// nodeInventory is what one node counts among its primary followers.
type nodeInventory struct {
	gateways   int
	demands    map[string]float64 // requests for engines a second, by failure domain
	peers      map[string]Peer    // by link address
	lastUpdate time.Time
}

// inventory counts the followers of all control nodes. It is not safe for
// concurrent use.
type inventory struct {
	nodes map[string]*nodeInventory // by the node's link address
}

func newInventory() *inventory { return &inventory{nodes: map[string]*nodeInventory{}} }

func (c *inventory) forNode(node string) *nodeInventory {
	s := c.nodes[node]
	if s == nil {
		s = &nodeInventory{demands: map[string]float64{}, peers: map[string]Peer{}}
		c.nodes[node] = s
	}
	return s
}

// gateways counts the gateways of all nodes.
func (c *inventory) gateways() int {
	all := 0
	for _, s := range c.nodes {
		all += s.gateways
	}
	return all
}

// demands adds up what comes to the gateways of all nodes, by failure domain.
func (c *inventory) demands() []Demand {
	sum := map[string]float64{}
	for _, s := range c.nodes {
		for domain, perSecond := range s.demands {
			sum[domain] += perSecond
		}
	}
	return toDemands(sum)
}

// localDemands is what comes to this node's own gateways.
func (c *inventory) localDemands() []Demand { return toDemands(c.forNode(localNode).demands) }

func toDemands(byDomain map[string]float64) []Demand {
	var all []Demand
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		if perSecond := byDomain[domain]; perSecond > minDemand {
			all = append(all, Demand{domain, perSecond})
		}
	}
	return all
}

// minDemand is what the sum of a failure domain without requests may be off
// by, since it is kept by adding and taking away.
const minDemand = 1e-6

// addLocalDemand changes what comes to this node's own gateways.
func (c *inventory) addLocalDemand(domain string, by float64) {
	c.forNode(localNode).demands[domain] += by
}

// peers returns the gateways, stagers and caches of all nodes.
func (c *inventory) peers() []Peer {
	all := map[string]Peer{}
	for _, s := range c.nodes {
		maps.Copy(all, s.peers)
	}
	return slices.Collect(maps.Values(all))
}

// localPeers returns those that follow this node.
func (c *inventory) localPeers() []Peer {
	return slices.Collect(maps.Values(c.forNode(localNode).peers))
}

// addPeer notes a stager or cache of a node, and tells whether it is news.
func (c *inventory) addPeer(node string, p Peer) bool {
	news := !c.hasPeer(p)
	c.forNode(node).peers[p.address] = p
	return news
}

// removePeer takes one off a node, and tells whether no other node has it.
func (c *inventory) removePeer(node, address string) bool {
	if _, there := c.forNode(node).peers[address]; !there {
		return false
	}
	delete(c.forNode(node).peers, address)
	return !c.hasAddress(address)
}

func (c *inventory) hasPeer(p Peer) bool {
	for _, s := range c.nodes {
		if s.peers[p.address] == p {
			return true
		}
	}
	return false
}

func (c *inventory) hasAddress(address string) bool {
	for _, s := range c.nodes {
		if _, there := s.peers[address]; there {
			return true
		}
	}
	return false
}

// applyUpdate takes what another node told of its followers, and returns the stagers
// and caches that are news and those that no node has any more.
func (c *inventory) applyUpdate(node string, u Update, now time.Time) (joined []Peer, gone []string) {
	s := c.forNode(node)
	s.lastUpdate = now
	s.gateways = u.gateways
	s.demands = map[string]float64{}
	for _, d := range u.demands {
		s.demands[d.domain] = d.perSecond
	}
	for _, p := range u.peers {
		if c.addPeer(node, p) {
			joined = append(joined, p)
		}
	}
	left := u.removedPeers
	if u.allPeers {
		left = append(left, s.missingFrom(u.peers)...)
	}
	for _, address := range left {
		if c.removePeer(node, address) {
			gone = append(gone, address)
		}
	}
	return joined, gone
}

// missingFrom returns the peers of a node that are not among those told.
func (s *nodeInventory) missingFrom(told []Peer) []string {
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

// expireNodes forgets what nodes told that are silent, and returns the stagers
// and caches that no other node has.
func (c *inventory) expireNodes(now time.Time) (gone []string) {
	for node, s := range c.nodes {
		if node == localNode || now.Sub(s.lastUpdate) < inventoryTTL {
			continue
		}
		for address := range maps.Clone(s.peers) {
			if c.removePeer(node, address) {
				gone = append(gone, address)
			}
		}
		delete(c.nodes, node)
	}
	return gone
}
