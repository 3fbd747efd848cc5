package feed

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

func newGatewaySubscriber(domain string) *subscriber {
	return newSubscriber(NewHello(RoleGateway, vm.NewIdentity("", 0, "", domain, ""), "", "", nil, false))
}

func demandsByDomain(demands []Demand) map[string]float64 {
	got := map[string]float64{}
	for _, d := range demands {
		got[d.Domain()] = d.PerSecond()
	}
	return got
}

func TestDemandsAreSummedByFailureDomain(t *testing.T) {
	p := NewPublisher(PublisherConfig{})
	var last *subscriber
	for _, g := range []struct {
		domain string
		demand float64
	}{{"hall-a", 10}, {"hall-a", 5}, {"hall-b", 7}, {"hall-c", 0}, {"hall-b", 3}} {
		last = newGatewaySubscriber(g.domain)
		p.add(last)
		p.receiveDemand(last, g.demand)
		p.setSubscription(last, Primary)
	}
	if got := demandsByDomain(p.inventory.demands()); len(got) != 2 || got["hall-a"] != 15 || got["hall-b"] != 10 {
		t.Fatalf("demands %v", got)
	}
	p.receiveDemand(last, 4)
	if got := demandsByDomain(p.inventory.demands()); got["hall-b"] != 11 {
		t.Fatalf("demands %v after a change of the rate", got)
	}
	p.remove(last)
	if got := demandsByDomain(p.inventory.demands()); got["hall-b"] != 7 || p.inventory.gateways() != 4 {
		t.Fatalf("demands %v, %d gateways after one has left", got, p.inventory.gateways())
	}
}

// Only a follower's primary counts it, not its backup.
func TestBackupsAreNotCounted(t *testing.T) {
	p := NewPublisher(PublisherConfig{})
	s := newGatewaySubscriber("hall-a")
	p.add(s)
	p.receiveDemand(s, 10)
	if len(p.inventory.demands()) != 0 || p.inventory.gateways() != 0 {
		t.Fatal("the follower of a backup is counted")
	}
}

func TestOtherNodesDemandIsAddedAndExpires(t *testing.T) {
	c := newInventory()
	now := time.Unix(100, 0)
	c.addLocalDemand("hall-a", 10)
	c.forNode(localNode).gateways = 1
	peer := NewPeer("10.0.0.9:7700", "hall-b", "menu", "10.0.0.9:80", false, false)
	other := Update{gateways: 2, demands: []Demand{NewDemand("hall-a", 5), NewDemand("hall-b", 7)}, allPeers: true, peers: []Peer{peer}}
	added, _ := c.applyUpdate("node-b", other, now)
	if len(added) != 1 || c.gateways() != 3 {
		t.Fatalf("added %v, %d gateways", added, c.gateways())
	}
	if got := demandsByDomain(c.demands()); got["hall-a"] != 15 || got["hall-b"] != 7 {
		t.Fatalf("demands %v", got)
	}
	// The stager switches to its backup before the inventory of its lost node expires.
	if c.addPeer(localNode, peer) {
		t.Fatal("a known peer counts as new")
	}
	if gone := c.expireNodes(now.Add(inventoryTTL)); len(gone) != 0 || c.gateways() != 1 {
		t.Fatalf("removed %v, %d gateways", gone, c.gateways())
	}
	if !c.removePeer(localNode, peer.Address()) {
		t.Fatal("the peer is not removed although no other node has it")
	}
}

// Changes of the peers apply only if the same node sent the complete list before.
func TestPeerChangesApplyOnlyFromListSender(t *testing.T) {
	var c receivedInventory
	a := NewPeer("10.0.0.1:7700", "hall-a", "menu", "", false, false)
	b := NewPeer("10.0.0.2:7700", "hall-a", "menu", "", false, false)
	c.apply("node-1", Update{allPeers: true, peers: []Peer{a}})
	c.apply("node-2", Update{removedPeers: []string{a.Address()}, peers: []Peer{b}})
	if len(c.peers) != 1 {
		t.Fatalf("peers %v", c.peers)
	}
	c.apply("node-1", Update{peers: []Peer{b}, removedPeers: []string{a.Address()}})
	if _, ok := c.peers[b.Address()]; !ok || len(c.peers) != 1 {
		t.Fatalf("peers %v", c.peers)
	}
}

// A stager reconnects before its broken stream is detected. The end of the old stream must not
// remove the stager.
func TestReconnectedStagerStaysListed(t *testing.T) {
	p := NewPublisher(PublisherConfig{})
	hello := NewHello(RoleStager, vm.NewIdentity("s", 1, "", "hall-a", "10.0.0.1:7700"), "menu", "10.0.0.1:80", nil, false)
	old, reconnected := newSubscriber(hello), newSubscriber(hello)
	for _, s := range []*subscriber{old, reconnected} {
		p.add(s)
		p.setSubscription(s, Primary)
	}
	p.remove(old)
	if got := p.inventory.peers(); len(got) != 1 {
		t.Fatalf("peers %v after the old stream ended", got)
	}
	p.remove(reconnected)
	if got := p.inventory.peers(); len(got) != 0 {
		t.Fatalf("peers %v after both ended", got)
	}
}

// A complete list of peers that a node sends just before it learns that it is no longer the primary
// arrives after the new primary's list, and is older.
func TestLatePeerListOfFormerPrimaryIsIgnored(t *testing.T) {
	former, primary := &link.Stream{}, &link.Stream{}
	f := &Follower{
		wake:    make(chan struct{}, 1),
		streams: map[string]*followedNode{"a": {stream: former}, "b": {stream: primary}},
		primary: primary,
	}
	firstPeer := NewPeer("10.0.0.1:7700", "hall-a", "menu", "", false, false)
	secondPeer := NewPeer("10.0.0.2:7700", "hall-a", "menu", "", false, false)
	f.recordUpdate("b", primary, Update{allPeers: true, peers: []Peer{firstPeer}})
	f.recordUpdate("a", former, Update{allPeers: true})
	f.recordUpdate("b", primary, Update{peers: []Peer{secondPeer}})
	if got := f.Peers(); len(got) != 2 {
		t.Fatalf("peers %v", got)
	}
}
