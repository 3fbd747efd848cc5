package feed

import (
	"testing"

	"github.com/tidepost/tidepost/pkg/vm"
)

func gatewayIn(domain string, demand float64) *subscriber {
	return &subscriber{hello: NewHello(RoleGateway, vm.NewIdentity("", 0, "", domain, ""), "", ""), demand: demand}
}

func TestDemandsAreAddedUpByFailureDomain(t *testing.T) {
	p := NewPublisher(Source{})
	for _, s := range []*subscriber{gatewayIn("hall-a", 10), gatewayIn("hall-a", 5), gatewayIn("hall-b", 7), gatewayIn("hall-c", 0)} {
		p.subscribers[s] = true
	}
	got := map[string]float64{}
	for _, d := range p.demands() {
		got[d.Domain()] = d.PerSecond()
	}
	if len(got) != 2 || got["hall-a"] != 15 || got["hall-b"] != 7 {
		t.Fatalf("demands %v", got)
	}
}

// Nodes hear of a gateway at different times, so the largest sum is the nearest.
func TestFollowerTakesTheLargestDemand(t *testing.T) {
	f := &Follower{demands: map[string][]Demand{
		"node-1": {NewDemand("hall-a", 10), NewDemand("hall-b", 4)},
		"node-2": {NewDemand("hall-a", 15)},
	}}
	if got := f.Demands(); got["hall-a"] != 15 || got["hall-b"] != 4 {
		t.Fatalf("demands %v", got)
	}
}
