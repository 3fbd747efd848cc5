package feed

import (
	"fmt"
	"testing"

	"github.com/tidepost/tidepost/pkg/quarantine"
)

// startRecordingNode starts a control node that puts together what gateways tell of
// requests.
func (h *herd) startRecordingNode(domain string) {
	table := quarantine.NewTable(nil)
	var p *Publisher
	started := make(chan struct{})
	learn := func(records []quarantine.Record) {
		<-started
		changed, _ := table.Merge(records)
		p.Recorded(changed)
	}
	p, _ = h.startNodeWith(domain, func(s *Source) { s.Records, s.Learn = table.Records, learn }, func(u Update) { learn(u.Records()) })
	close(started)
}

// recordingGateway is a gateway that learns and tells.
type recordingGateway struct {
	*quarantine.Table
	follower *Follower
}

func (h *herd) startRecordingGateway(i int) recordingGateway {
	g := recordingGateway{Table: quarantine.NewTable(nil)}
	g.follower = h.startFollower(RoleGateway, i, func(_ string, u Update) { g.Merge(u.Records()) })
	return g
}

// sees has the gateway see that a server ended under a request.
func (g recordingGateway) sees(f quarantine.Fingerprint, server, domain string) {
	if r, tell := g.Ended(f, quarantine.NewEnd(server, 1, domain, "v1/1", g.Ends(f), 0)); tell {
		g.follower.TellRecords([]quarantine.Record{r})
	}
}

// At the size of the users' largest deployment all engines end at one moment, with all
// requests that they have, and one request had ended three servers: all gateways keep that
// one away, and the others cost the links little.
func TestAllGatewaysLearnInFewBytes(t *testing.T) {
	const (
		requestsOfAServer = 12
		most              = 32 << 20
	)
	h := &herd{t: t, loads: map[string]int{}}
	for i := range herdNodes {
		h.startRecordingNode(fmt.Sprintf("hall-%d", i))
	}
	var gateways []recordingGateway
	for i := range herdGateways {
		gateways = append(gateways, h.startRecordingGateway(i))
	}
	h.eventually("every gateway knows how many there are", func() bool {
		for _, g := range gateways {
			if g.follower.Gateways() != herdGateways {
				return false
			}
		}
		return true
	})
	before := h.bytes.Load()
	ending := quarantine.Of(quarantine.Content{Target: "/ending"})
	for server := range herdStagers {
		for n := range requestsOfAServer {
			f := quarantine.Of(quarantine.Content{Target: fmt.Sprintf("/%d/%d", server, n)})
			gateways[(server*requestsOfAServer+n)%herdGateways].sees(f, fmt.Sprintf("s-%d", server), "hall-1")
		}
	}
	for i := range quarantine.EndsToBar {
		gateways[i*40].sees(ending, fmt.Sprintf("e-%d", i), fmt.Sprintf("hall-%d", i))
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
	if got > most {
		t.Errorf("%d bytes over all links, over %d", got, most)
	}
	for i, g := range gateways {
		if n := len(g.Records()); n > herdStagers {
			t.Errorf("gateway %d knows of %d requests", i, n)
		}
	}
}
