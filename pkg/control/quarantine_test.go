package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/quarantine"
)

const testFingerprint = quarantine.Fingerprint("0123456789abcdef")

// newTestRecord is a record of servers that ended under a request, each in a failure domain of
// its own, a while ago.
func newTestRecord(ago time.Duration, servers ...string) quarantine.Record {
	var ends []quarantine.Crash
	for _, name := range servers {
		ends = append(ends, quarantine.NewCrash(name, 1, "hall-"+name, "v1/0", 0, ago))
	}
	return quarantine.NewRecord(testFingerprint, ends, nil, 0, "", 0)
}

// gatewayTable is what a gateway knows of requests, with its follower.
type gatewayTable struct {
	*quarantine.Table
	follower *feed.Follower
}

func (c *cluster) gateway(name string) gatewayTable {
	table := quarantine.NewTable(nil)
	f := c.startFollowerAs(name, func(f *feed.Follower) {
		f.Records = table.Records
		f.OnUpdate = func(_ string, u feed.Update) { table.Merge(u.Records()) }
	})
	return gatewayTable{table, f}
}

// report has a gateway learn of ends and tell of them.
func (g gatewayTable) report(r quarantine.Record) {
	changed, _ := g.Merge([]quarantine.Record{r})
	g.follower.ReportRecords(changed)
}

// awaitBarred waits until a table keeps the request away.
func (c *cluster) awaitBarred(name string, table *quarantine.Table) {
	c.t.Helper()
	c.eventually("barred at "+name, func() error {
		if v, _ := table.Begin(testFingerprint); v != quarantine.Quarantined {
			return fmt.Errorf("%s, %d ends", v, table.Crashes(testFingerprint))
		}
		return nil
	})
}

// Each gateway sees one end, and all learn of the three; so do those that start later,
// and nodes that have started anew learn it from gateways.
func TestGatewaysShareQuarantineRecords(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	gateways := map[string]gatewayTable{}
	for _, name := range []string{"a", "b", "c"} {
		gateways[name] = c.gateway(name)
		gateways[name].report(newTestRecord(0, name))
	}
	for name, g := range gateways {
		c.awaitBarred(name, g.Table)
	}
	c.awaitBarred("a gateway that starts later", c.gateway("d").Table)
	for _, n := range c.nodes {
		c.stop(n)
		n.disk.Crash(0)
		n.bootstrap = false
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	for _, n := range c.nodes {
		c.awaitBarred(n.name, n.node.service.quarantine)
	}
}

// One whole run anywhere clears it everywhere.
func TestCompletedRunClearsBarEverywhere(t *testing.T) {
	c := newCluster(t, 3)
	a, b := c.gateway("a"), c.gateway("b")
	a.report(newTestRecord(0, "a", "b", "c"))
	c.awaitBarred("b", b.Table)
	r, changed := b.RecordCompletion(testFingerprint, "v1/0")
	if !changed {
		t.Fatal("a whole run of a barred request is not told")
	}
	b.follower.ReportRecords([]quarantine.Record{r})
	for name, table := range map[string]*quarantine.Table{"a": a.Table, "control-2": c.nodes[2].node.service.quarantine} {
		c.eventually("cleared at "+name, func() error {
			if v, _ := table.Begin(testFingerprint); v != quarantine.Clear {
				return errors.New(string(v))
			}
			return nil
		})
	}
}

// All gateways ask to try it at one moment, at different nodes: one of them may.
func TestTrialIsGrantedToOneGateway(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	gateways := map[string]gatewayTable{}
	for _, name := range []string{"a", "b", "c", "d"} {
		gateways[name] = c.gateway(name)
	}
	gateways["a"].report(newTestRecord(time.Minute, "a", "b", "c"))
	for name, g := range gateways {
		c.awaitBarred(name, g.Table)
	}
	granted := map[string]bool{}
	c.eventually("trial", func() error {
		for name, g := range gateways {
			switch g.BeginTrial(testFingerprint, quarantine.TesterID(g.follower.Hello.Self())) {
			case quarantine.TrialDue:
				g.follower.RequestTrial(testFingerprint)
			case quarantine.TrialGranted:
				granted[name] = true
			}
		}
		if len(granted) == 0 {
			return errors.New("no gateway may try it")
		}
		return nil
	})
	c.put(c.nodes[0], 1) // what was asked before is decided by then
	for name, g := range gateways {
		if g.BeginTrial(testFingerprint, quarantine.TesterID(g.follower.Hello.Self())) == quarantine.TrialGranted {
			granted[name] = true
		}
	}
	if len(granted) != 1 {
		t.Errorf("the gateways %v may try it", granted)
	}
}

// All machines lose power at one moment, gateways too: the control nodes' disks remember.
func TestBarredRequestsSurvivePowerLoss(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.nodes[0].node.service.mergeRecords([]quarantine.Record{newTestRecord(0, "a", "b", "c")})
	for _, n := range c.nodes {
		c.eventually("kept at "+n.name, func() error {
			if _, err := n.disk.Folder().Read(quarantineFile); err != nil {
				return err
			}
			return nil
		})
	}
	for _, n := range c.nodes {
		c.stop(n)
		n.disk.Crash(0)
		n.bootstrap = false
	}
	c.start(c.nodes[1])
	c.awaitBarred("one node alone", c.nodes[1].node.service.quarantine)
	c.awaitBarred("a gateway that starts anew", c.gateway("e").Table)
}

// A disk that fails, or holds something else, keeps nothing and stops nothing.
func TestQuarantineStoreToleratesDiskFailure(t *testing.T) {
	table := quarantine.NewTable(nil)
	k := &quarantineStore{table: table, mergeRecords: func(r []quarantine.Record) { table.Merge(r) }, logger: log.NewNopLogger()}
	table.Merge([]quarantine.Record{newTestRecord(0, "a", "b", "c")})
	k.markChanged(table.Records())
	if err := k.writeIfChanged(); err != nil {
		t.Errorf("without a disk: %v", err)
	}
	memory := disk.NewMemory()
	if err := memory.Folder().Replace(quarantineFile, []byte("\xc1 no record")); err != nil {
		t.Fatal(err)
	}
	k.setFolder(memory.Folder())
	if err := k.writeIfChanged(); err != nil {
		t.Errorf("after an unreadable file: %v", err)
	}
	if records, err := readBarred(memory.Folder()); err != nil || len(records) != 1 {
		t.Errorf("%d records, %v", len(records), err)
	}
}
