// ================================================================
// What the primary told of the other followers. It outlives the stream that it
// came by: a failure domain that is cut off goes on with what it knew.
// ================================================================

package feed

// heardCensus is the census as a follower was told it last. It is not safe for
// concurrent use.
type heardCensus struct {
	gateways int
	demands  []Demand
	peers    map[string]Peer // by link address
	teller   string          // the node that told all peers last
}

// take takes what a node told. Changes of the peers count only where the same
// node told all of them before.
func (c *heardCensus) take(node string, u Update) {
	if u.gateways > 0 {
		c.gateways, c.demands = u.gateways, u.demands
	}
	if u.whole {
		c.peers, c.teller = map[string]Peer{}, node
	}
	if node != c.teller {
		return
	}
	for _, p := range u.peers {
		c.peers[p.address] = p
	}
	for _, address := range u.gone {
		delete(c.peers, address)
	}
}

// byDomain returns the demands by failure domain.
func (c *heardCensus) byDomain() map[string]float64 {
	all := map[string]float64{}
	for _, d := range c.demands {
		all[d.domain] = d.perSecond
	}
	return all
}
