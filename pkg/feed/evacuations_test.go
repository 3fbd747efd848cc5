package feed

import (
	"testing"

	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Gateways get the evacuated failure domains with their first Update, also from a fallback node, and
// again after each change; other Updates and followers don't carry them.
func TestEvacuationsAreSentToGateways(t *testing.T) {
	states := []placement.DomainState{placement.NewDomainState("hall-a", true, 1)}
	p := NewPublisher(PublisherConfig{
		DocumentNumber: func() uint64 { return 1 }, NamedVersions: func() []NamedVersion { return nil },
		QuorumConfirmed: func() bool { return true }, Nodes: func() []string { return nil },
		Evacuations: func() []placement.DomainState { return states },
	})
	for _, c := range []struct {
		role     Role
		fallback bool
		sent     []int // in the first Update, the next one and the one after a change
	}{
		{RoleGateway, false, []int{1, 0, 1}},
		{RoleGateway, true, []int{1, 0, 1}},
		{RoleStager, false, []int{0, 0, 0}},
		{RoleNode, false, []int{0, 0, 0}},
	} {
		s := newSubscriber(NewHello(c.role, vm.NewIdentity("g", 1, "north", "hall-a", "10.0.0.1:7"), "", "", nil, c.fallback))
		p.add(s)
		for i, want := range c.sent {
			if i == 2 {
				p.EvacuationsChanged()
			}
			if got := len(p.nextUpdate(s).Evacuations()); got != want {
				t.Errorf("%s: %d states in update %d, want %d", c.role, got, i, want)
			}
		}
		p.remove(s)
	}
}
