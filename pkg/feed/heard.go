// ================================================================
// What the primary told of the other followers. It outlives the stream that it
// came by: a failure domain that is cut off goes on with what it knew.
// ================================================================

package feed

// receivedInventory is the census as a follower was told it last. It is not safe for
// concurrent use.
type receivedInventory struct {
	gateways int
	demands  []Demand
	peers    map[string]Peer // by link address
	sender   string          // the node that told all peers last
}

// apply takes what a node told. Changes of the peers count only where the same
// node told all of them before.
func (c *receivedInventory) apply(node string, u Update) {
	if u.gateways > 0 {
		c.gateways, c.demands = u.gateways, u.demands
	}
	if u.allPeers {
		c.peers, c.sender = map[string]Peer{}, node
	}
	if node != c.sender {
		return
	}
	for _, p := range u.peers {
		c.peers[p.address] = p
	}
	for _, address := range u.removedPeers {
		delete(c.peers, address)
	}
}

// demandsByDomain returns the demands by failure domain.
func (c *receivedInventory) demandsByDomain() map[string]float64 {
	all := map[string]float64{}
	for _, d := range c.demands {
		all[d.domain] = d.perSecond
	}
	return all
}
