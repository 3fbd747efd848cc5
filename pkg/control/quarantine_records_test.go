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

// newTestRecord returns a record of servers that crashed under a request, the given time ago and
// each in a failure domain of its own.
func newTestRecord(ago time.Duration, servers ...string) quarantine.Record {
	var ends []quarantine.Crash
	for _, name := range servers {
		ends = append(ends, quarantine.NewCrash(name, 1, "hall-"+name, "v1/0", 0, ago))
	}
	return quarantine.NewRecord(testFingerprint, ends, nil, 0, "", 0, nil)
}

// gatewayTable is the quarantine table of a gateway and its follower.
type gatewayTable struct {
	*quarantine.Table
	follower *feed.Follower
}

// gateway starts a gateway's follower that exchanges quarantine records.
func (c *cluster) gateway(name string) gatewayTable {
	table := quarantine.NewTable(nil)
	f := c.startFollowerAs(name, func(f *feed.Follower) {
		f.Records = table.Records
		f.OnUpdate = func(_ string, u feed.Update) { table.Merge(u.Records()) }
	})
	return gatewayTable{table, f}
}

// report merges a record into the gateway's table and reports it to the control nodes.
func (g gatewayTable) report(r quarantine.Record) {
	changed, _ := g.Merge([]quarantine.Record{r})
	g.follower.ReportRecords(changed)
}

// awaitQuarantined waits until the request is quarantined in a table.
func (c *cluster) awaitQuarantined(name string, table *quarantine.Table) {
	c.t.Helper()
	c.eventually("quarantined at "+name, func() error {
		if v, _ := table.BeginAttempt(testFingerprint); v != quarantine.Quarantined {
			return fmt.Errorf("%s, %d crashes", v, table.Crashes(testFingerprint))
		}
		return nil
	})
}

// Three gateways observe one crash each, and all of them get all three records. So does a gateway
// that starts later, and restarted nodes get the records from gateways.
func TestGatewaysShareQuarantineRecords(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	gateways := map[string]gatewayTable{}
	for _, name := range []string{"a", "b", "c"} {
		gateways[name] = c.gateway(name)
		gateways[name].report(newTestRecord(0, name))
	}
	for name, g := range gateways {
		c.awaitQuarantined(name, g.Table)
	}
	c.awaitQuarantined("a gateway that starts later", c.gateway("d").Table)
	for _, n := range c.nodes {
		c.stop(n)
		n.disk.Crash(0)
		n.bootstrap = false
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	for _, n := range c.nodes {
		c.awaitQuarantined(n.name, n.node.service.quarantine)
	}
}

// One completed run of the request on any gateway clears its quarantine everywhere.
func TestCompletedRunClearsQuarantineEverywhere(t *testing.T) {
	c := newCluster(t, 3)
	a, b := c.gateway("a"), c.gateway("b")
	a.report(newTestRecord(0, "a", "b", "c"))
	c.awaitQuarantined("b", b.Table)
	r, changed := b.RecordCompletion(testFingerprint, "v1/0")
	if !changed {
		t.Fatal("a completed run of a quarantined request does not change its record")
	}
	b.follower.ReportRecords([]quarantine.Record{r})
	for name, table := range map[string]*quarantine.Table{"a": a.Table, "control-2": c.nodes[2].node.service.quarantine} {
		c.eventually("cleared at "+name, func() error {
			if v, _ := table.BeginAttempt(testFingerprint); v != quarantine.Clear {
				return errors.New(string(v))
			}
			return nil
		})
	}
}

// All gateways ask different nodes for a trial at the same time, and one of them gets it.
func TestTrialIsGrantedToOneGateway(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	gateways := map[string]gatewayTable{}
	for _, name := range []string{"a", "b", "c", "d"} {
		gateways[name] = c.gateway(name)
	}
	gateways["a"].report(newTestRecord(time.Minute, "a", "b", "c"))
	for name, g := range gateways {
		c.awaitQuarantined(name, g.Table)
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
			return errors.New("no gateway got the trial")
		}
		return nil
	})
	c.put(c.nodes[0], 1) // earlier trial requests are decided once this is committed
	for name, g := range gateways {
		if g.BeginTrial(testFingerprint, quarantine.TesterID(g.follower.Hello.Self())) == quarantine.TrialGranted {
			granted[name] = true
		}
	}
	if len(granted) != 1 {
		t.Errorf("gateways that got the trial: %v", granted)
	}
}

// All machines, gateways too, lose power at once: the records are on the disks of control nodes.
func TestQuarantinedRequestsSurvivePowerLoss(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.nodes[0].node.service.mergeRecords([]quarantine.Record{newTestRecord(0, "a", "b", "c")})
	for _, n := range c.nodes {
		c.eventually("stored at "+n.name, func() error {
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
	c.awaitQuarantined("one node alone", c.nodes[1].node.service.quarantine)
	c.awaitQuarantined("a gateway that starts afterwards", c.gateway("e").Table)
}

// The store works without a disk and replaces a file that it cannot read.
func TestQuarantineStoreToleratesDiskFailure(t *testing.T) {
	table := quarantine.NewTable(nil)
	store := &quarantineStore{table: table, mergeRecords: func(r []quarantine.Record) { table.Merge(r) }, logger: log.NewNopLogger()}
	table.Merge([]quarantine.Record{newTestRecord(0, "a", "b", "c")})
	store.markChanged(table.Records())
	if err := store.writeIfChanged(); err != nil {
		t.Errorf("without a disk: %v", err)
	}
	memory := disk.NewMemory()
	if err := memory.Folder().Replace(quarantineFile, []byte("\xc1 no record")); err != nil {
		t.Fatal(err)
	}
	store.setFolder(memory.Folder())
	if err := store.writeIfChanged(); err != nil {
		t.Errorf("after an unreadable file: %v", err)
	}
	if records, err := readQuarantined(memory.Folder()); err != nil || len(records) != 1 {
		t.Errorf("%d records, %v", len(records), err)
	}
}
