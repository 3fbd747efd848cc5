// ================================================================
// The inventory that a follower received from its primary. It outlives the stream: a partitioned
// failure domain continues with what it last received.
// ================================================================

package feed

// receivedInventory is the last received inventory. It is not safe for concurrent use.
type receivedInventory struct {
	gateways int
	demands  []Demand
	peers    map[string]Peer // by link address
	sender   string          // the node that last sent the complete list of peers
}

// apply stores the inventory in an Update. Changes of the peers are applied only if the same node
// sent the complete list before.
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
