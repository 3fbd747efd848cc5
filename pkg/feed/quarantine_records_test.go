package feed

import (
	"fmt"
	"testing"

	"github.com/tidepost/tidepost/pkg/quarantine"
)

// startQuarantineNode starts a control node that merges the quarantine records of gateways.
func (c *testCluster) startQuarantineNode(domain string) {
	table := quarantine.NewTable(nil)
	var p *Publisher
	started := make(chan struct{})
	learn := func(records []quarantine.Record) {
		<-started
		changed, _ := table.Merge(records)
		p.QueueRecords(changed)
	}
	p, _ = c.startCustomNode(domain, func(s *PublisherConfig) { s.Records, s.OnRecords = table.Records, learn }, func(u Update) { learn(u.Records()) })
	close(started)
}

// quarantineGateway is a gateway that receives and reports quarantine records.
type quarantineGateway struct {
	*quarantine.Table
	follower *Follower
}

func (c *testCluster) startQuarantineGateway(i int) quarantineGateway {
	g := quarantineGateway{Table: quarantine.NewTable(nil)}
	g.follower = c.startFollower(RoleGateway, i, func(_ string, u Update) { g.Merge(u.Records()) })
	return g
}

// reportCrash makes the gateway observe that a backend server crashed during a request.
func (g quarantineGateway) reportCrash(f quarantine.Fingerprint, server, domain string) {
	if r, changed := g.RecordCrash(f, quarantine.NewCrash(server, 1, domain, "v1/1", g.Crashes(f), 0)); changed {
		g.follower.ReportRecords([]quarantine.Record{r})
	}
}

// At the size of the users' largest deployment, all engines crash at once with all their
// requests, and one request has crashed three servers. All gateways must quarantine that request,
// and the records of the others must not load the links much.
func TestQuarantineRecordsReachAllGatewaysInFewBytes(t *testing.T) {
	const (
		requestsPerServer = 12
		maxBytes          = 32 << 20
	)
	c := &testCluster{t: t, loads: map[string]int{}}
	for i := range clusterNodes {
		c.startQuarantineNode(fmt.Sprintf("hall-%d", i))
	}
	var gateways []quarantineGateway
	for i := range clusterGateways {
		gateways = append(gateways, c.startQuarantineGateway(i))
	}
	c.eventually("every gateway knows the number of gateways", func() bool {
		for _, g := range gateways {
			if g.follower.Gateways() != clusterGateways {
				return false
			}
		}
		return true
	})
	before := c.bytes.Load()
	crashing := quarantine.NewFingerprint(quarantine.Content{Target: "/ending"})
	for server := range clusterStagers {
		for n := range requestsPerServer {
			f := quarantine.NewFingerprint(quarantine.Content{Target: fmt.Sprintf("/%d/%d", server, n)})
			gateways[(server*requestsPerServer+n)%clusterGateways].reportCrash(f, fmt.Sprintf("s-%d", server), "hall-1")
		}
	}
	for i := range quarantine.CrashesToQuarantine {
		gateways[i*40].reportCrash(crashing, fmt.Sprintf("e-%d", i), fmt.Sprintf("hall-%d", i))
	}
	c.eventually("every gateway quarantines the request", func() bool {
		for _, g := range gateways {
			if v, _ := g.BeginAttempt(crashing); v != quarantine.Quarantined {
				return false
			}
		}
		return true
	})
	got := c.bytes.Load() - before
	t.Logf("%d bytes on all links", got)
	if got > maxBytes {
		t.Errorf("%d bytes on all links, want at most %d", got, maxBytes)
	}
	for i, g := range gateways {
		if n := len(g.Records()); n > clusterStagers {
			t.Errorf("gateway %d has records of %d requests", i, n)
		}
	}
}

// A completed run that clears a record must reach a gateway that has the record, or will get it, whatever
// the order. It stayed quarantined there if the run was known before the record was sent.
func TestClearedRecordReachesGatewaysThatHaveIt(t *testing.T) {
	part := quarantine.NewPartFingerprint("document")
	var crashes []quarantine.Crash
	for _, server := range []string{"a", "b", "c"} {
		crashes = append(crashes, quarantine.NewCrash(server, 1, server, "v1/1", 0, 0))
	}
	suspicious := []quarantine.Record{quarantine.NewRecord(part, crashes, nil, 0, "", 0, nil)}
	cleared := []quarantine.Record{quarantine.NewRecord(part, nil, []string{"v1/1"}, 0, "", 0, nil)}
	for name, before := range map[string]func(s *subscriber){
		"it was sent":              func(s *subscriber) { s.queueRecords(newQueuedRecords(suspicious)); s.dequeue() },
		"it is queued":             func(s *subscriber) { s.queueRecords(newQueuedRecords(suspicious)) },
		"the gateway reported it":  func(s *subscriber) { s.recordReceived(suspicious) },
		"the gateway has none yet": func(*subscriber) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSubscriber(Hello{role: RoleGateway})
			before(s)
			s.queueRecords(newQueuedRecords(cleared))
			sent := s.dequeue().records
			if name == "the gateway has none yet" {
				if len(sent) > 0 {
					t.Errorf("sent %v", sent)
				}
				return
			}
			if len(sent) != 1 || len(sent[0].Crashes()) > 0 {
				t.Errorf("sent %v", sent)
			}
		})
	}
}
