// ================================================================
// Inventory of followers: how many gateways there are, how many requests arrive at them, and which
// peers exist, at this control node and at the others. Each node sends the others the totals of its
// own primary followers and adds up what it receives, so that answering a gateway does not iterate
// over all followers.
//
//	local:   30 gateways, 210 requests a second, 24 stagers and a cache
//	node-b:  25 gateways, ...                      (sum is sent to the gateways of this node)
// ================================================================

package feed

import (
	"maps"
	"slices"
	"time"
)

// localNode is the key of this node in the inventory.
const localNode = ""

// inventoryTTL is how long the inventory of another node is kept without an Update. By then its
// followers have switched to their backups.
const inventoryTTL = 5 * time.Second

// nodeInventory holds the totals of one node's primary followers.
type nodeInventory struct {
	gateways   int
	demands    map[string]float64 // requests for engines per second, by failure domain
	peers      map[string]Peer    // by link address
	lastUpdate time.Time
}

// inventory holds the followers of all control nodes. It is not safe for concurrent use.
type inventory struct {
	nodes map[string]*nodeInventory // by the node's link address; localNode for this node
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

// gateways returns the number of gateways of all nodes.
func (c *inventory) gateways() int {
	total := 0
	for _, s := range c.nodes {
		total += s.gateways
	}
	return total
}

// demands returns the request rates at the gateways of all nodes, by failure domain.
func (c *inventory) demands() []Demand {
	sum := map[string]float64{}
	for _, s := range c.nodes {
		for domain, perSecond := range s.demands {
			sum[domain] += perSecond
		}
	}
	return toDemands(sum)
}

// localDemands returns the request rates at this node's own gateways.
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

// minDemand is the rounding error that the sum of a failure domain without requests may have, since
// the sum is kept by adding and subtracting.
const minDemand = 1e-6

// addLocalDemand adds to the request rate of this node's own gateways in a failure domain.
func (c *inventory) addLocalDemand(domain string, change float64) {
	c.forNode(localNode).demands[domain] += change
}

// peers returns the gateways, stagers and caches of all nodes.
func (c *inventory) peers() []Peer {
	all := map[string]Peer{}
	for _, s := range c.nodes {
		maps.Copy(all, s.peers)
	}
	return slices.Collect(maps.Values(all))
}

// localPeers returns the gateways, stagers and caches that follow this node.
func (c *inventory) localPeers() []Peer {
	return slices.Collect(maps.Values(c.forNode(localNode).peers))
}

// addPeer adds a peer to a node and reports whether no node had it with the same data.
func (c *inventory) addPeer(node string, p Peer) bool {
	isNew := !c.hasPeer(p)
	c.forNode(node).peers[p.address] = p
	return isNew
}

// removePeer removes a peer from a node and reports whether no other node has it.
func (c *inventory) removePeer(node, address string) bool {
	if _, ok := c.forNode(node).peers[address]; !ok {
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
		if _, ok := s.peers[address]; ok {
			return true
		}
	}
	return false
}

// applyUpdate stores another node's totals and peers. It returns the peers that are new and the
// addresses of those that no node has any more.
func (c *inventory) applyUpdate(node string, u Update, now time.Time) (added []Peer, removed []string) {
	s := c.forNode(node)
	s.lastUpdate = now
	s.gateways = u.gateways
	s.demands = map[string]float64{}
	for _, d := range u.demands {
		s.demands[d.domain] = d.perSecond
	}
	for _, p := range u.peers {
		if c.addPeer(node, p) {
			added = append(added, p)
		}
	}
	removedHere := u.removedPeers
	if u.allPeers {
		removedHere = append(removedHere, s.missingFrom(u.peers)...)
	}
	for _, address := range removedHere {
		if c.removePeer(node, address) {
			removed = append(removed, address)
		}
	}
	return added, removed
}

// missingFrom returns the addresses of the node's peers that are not listed.
func (s *nodeInventory) missingFrom(listed []Peer) []string {
	isListed := map[string]bool{}
	for _, p := range listed {
		isListed[p.address] = true
	}
	var missing []string
	for address := range s.peers {
		if !isListed[address] {
			missing = append(missing, address)
		}
	}
	return missing
}

// expireNodes removes the nodes whose last Update is older than inventoryTTL and returns the
// addresses of the peers that no other node has.
func (c *inventory) expireNodes(now time.Time) (removed []string) {
	for node, s := range c.nodes {
		if node == localNode || now.Sub(s.lastUpdate) < inventoryTTL {
			continue
		}
		for address := range maps.Clone(s.peers) {
			if c.removePeer(node, address) {
				removed = append(removed, address)
			}
		}
		delete(c.nodes, node)
	}
	return removed
}
