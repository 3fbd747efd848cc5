package feed

import (
	"fmt"
	"testing"

	"github.com/tidepost/tidepost/pkg/quarantine"
)

// startQuarantineNode starts a control node that puts together what gateways tell of
// requests.
func (h *testCluster) startQuarantineNode(domain string) {
	table := quarantine.NewTable(nil)
	var p *Publisher
	started := make(chan struct{})
	learn := func(records []quarantine.Record) {
		<-started
		changed, _ := table.Merge(records)
		p.QueueRecords(changed)
	}
	p, _ = h.startCustomNode(domain, func(s *Source) { s.Records, s.OnRecords = table.Records, learn }, func(u Update) { learn(u.Records()) })
	close(started)
}

// quarantineGateway is a gateway that learns and tells.
type quarantineGateway struct {
	*quarantine.Table
	follower *Follower
}

func (h *testCluster) startQuarantineGateway(i int) quarantineGateway {
	g := quarantineGateway{Table: quarantine.NewTable(nil)}
	g.follower = h.startFollower(RoleGateway, i, func(_ string, u Update) { g.Merge(u.Records()) })
	return g
}

// reportEnd has the gateway see that a server ended under a request.
func (g quarantineGateway) reportEnd(f quarantine.Fingerprint, server, domain string) {
	if r, tell := g.Ended(f, quarantine.NewEnd(server, 1, domain, "v1/1", g.Ends(f), 0)); tell {
		g.follower.ReportRecords([]quarantine.Record{r})
	}
}

// At the size of the users' largest deployment all engines end at one moment, with all
// requests that they have, and one request had ended three servers: all gateways keep that
// one away, and the others cost the links little.
func TestQuarantineRecordsReachAllGatewaysInFewBytes(t *testing.T) {
	const (
		requestsPerServer = 12
		maxBytes          = 32 << 20
	)
	h := &testCluster{t: t, loads: map[string]int{}}
	for i := range clusterNodes {
		h.startQuarantineNode(fmt.Sprintf("hall-%d", i))
	}
	var gateways []quarantineGateway
	for i := range clusterGateways {
		gateways = append(gateways, h.startQuarantineGateway(i))
	}
	h.eventually("every gateway knows how many there are", func() bool {
		for _, g := range gateways {
			if g.follower.Gateways() != clusterGateways {
				return false
			}
		}
		return true
	})
	before := h.bytes.Load()
	ending := quarantine.Of(quarantine.Content{Target: "/ending"})
	for server := range clusterStagers {
		for n := range requestsPerServer {
			f := quarantine.Of(quarantine.Content{Target: fmt.Sprintf("/%d/%d", server, n)})
			gateways[(server*requestsPerServer+n)%clusterGateways].reportEnd(f, fmt.Sprintf("s-%d", server), "hall-1")
		}
	}
	for i := range quarantine.EndsToBar {
		gateways[i*40].reportEnd(ending, fmt.Sprintf("e-%d", i), fmt.Sprintf("hall-%d", i))
	}
	h.eventually("every gateway keeps it away", func() bool {
		for _, g := range gateways {
			if v, _ := g.Begin(ending); v != quarantine.Barred {
				return false
			}
		}
		return true
	})
	got := h.bytes.Load() - before
	t.Logf("%d bytes over all links", got)
	if got > maxBytes {
		t.Errorf("%d bytes over all links, over %d", got, maxBytes)
	}
	for i, g := range gateways {
		if n := len(g.Records()); n > clusterStagers {
			t.Errorf("gateway %d knows of %d requests", i, n)
		}
	}
}
