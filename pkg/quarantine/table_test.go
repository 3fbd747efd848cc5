// ================================================================
// The table of quarantined requests: verdicts, merging, bounds, expiry and trials.
// ================================================================

package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// clock is a clock that tests advance.
type clock struct{ now time.Time }

func newClock() *clock                   { return &clock{time.Unix(1_000_000, 0)} }
func (c *clock) read() time.Time         { return c.now }
func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

const request = Fingerprint("0123456789abcdef")

// crashOf returns a crash of the process of a server that started at 1.
func crashOf(server, domain, build string, known int) Crash {
	return NewCrash(server, 1, domain, build, known, 0)
}

// step is one crash, or one completed run, after a pause.
type step struct {
	after       time.Duration
	crash       *Crash
	completedOn string
}

// crashStep returns the step of a crash on build v1/0.
func crashStep(after time.Duration, server, domain string, known int) step {
	e := crashOf(server, domain, "v1/0", known)
	return step{after: after, crash: &e}
}

// TestVerdict checks which crashes and completed runs quarantine a request.
func TestVerdict(t *testing.T) {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	cases := []struct {
		name  string
		steps []step
		want  Verdict
	}{
		{"two crashes", []step{crashStep(0, "a", "x", 0), crashStep(at(10), "b", "y", 0)}, Suspect},
		{"three crashes in different domains at once", []step{crashStep(0, "a", "x", 0), crashStep(0, "b", "y", 0), crashStep(0, "c", "z", 0)}, Quarantined},
		{"a rack that fails at once", []step{crashStep(0, "a", "x", 0), crashStep(at(5), "b", "x", 0), crashStep(at(5), "c", "x", 0), crashStep(at(5), "d", "x", 0)}, Clear},
		{"a rack that fails twice", []step{crashStep(0, "a", "x", 0), crashStep(0, "b", "x", 0), crashStep(at(4000), "c", "x", 1), crashStep(0, "d", "x", 1)}, Suspect},
		{"each sent by a gateway that knew of the earlier crashes", []step{crashStep(0, "a", "x", 0), crashStep(at(100), "b", "x", 1), crashStep(at(100), "c", "x", 2)}, Quarantined},
		{"three crashes a while apart in one domain", []step{crashStep(0, "a", "x", 0), crashStep(at(1500), "b", "x", 0), crashStep(at(1500), "c", "x", 0)}, Quarantined},
		{"the same crash recorded again", []step{crashStep(0, "a", "x", 0), crashStep(at(1500), "a", "x", 0), crashStep(at(1500), "a", "x", 0)}, Clear},
		{"a completed run before the crashes", []step{{completedOn: "v1/0"}, crashStep(0, "a", "x", 0), crashStep(0, "b", "y", 0), crashStep(0, "c", "z", 0)}, Clear},
		{"a completed run after the crashes", []step{crashStep(0, "a", "x", 0), crashStep(0, "b", "y", 0), crashStep(0, "c", "z", 0), {completedOn: "v1/0"}}, Clear},
		{"a completed run on another build", []step{{completedOn: "v2/0"}, crashStep(0, "a", "x", 0), crashStep(0, "b", "y", 0), crashStep(0, "c", "z", 0)}, Quarantined},
		{"a completed run on another build after the crashes", []step{crashStep(0, "a", "x", 0), crashStep(0, "b", "y", 0), crashStep(0, "c", "z", 0), {completedOn: "v2/0"}}, Restricted},
	}
	for _, c := range cases {
		now := newClock()
		table := NewTable(now.read)
		for _, s := range c.steps {
			now.advance(s.after)
			if s.crash != nil {
				table.RecordCrash(request, *s.crash)
			} else {
				table.RecordCompletion(request, s.completedOn)
			}
		}
		got, avoid := table.BeginAttempt(request)
		if got != c.want {
			t.Errorf("%s: %s", c.name, got)
		}
		if got == Restricted && !slices.Equal(avoid, []string{"v1/0"}) {
			t.Errorf("%s: avoids %v", c.name, avoid)
		}
	}
}

func TestSuspectHasOneAttemptInFlight(t *testing.T) {
	table := NewTable(nil)
	table.RecordCrash(request, crashOf("a", "x", "v1/0", 0))
	table.RecordCrash(request, crashOf("b", "y", "v1/0", 0))
	for _, want := range []Verdict{Suspect, Busy, Busy} {
		if got, _ := table.BeginAttempt(request); got != want {
			t.Errorf("%s, not %s", got, want)
		}
	}
	table.AttemptDone(request)
	if got, _ := table.BeginAttempt(request); got != Suspect {
		t.Errorf("%s after the attempt", got)
	}
}

// decodedCopy returns a record as another process receives it.
func decodedCopy(t *rapid.T, r Record) (got Record) {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	return got
}

// Gateways that were partitioned record different crashes and completed runs. After the partition
// they reach the same state in any order of merging.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := newClock()
		tables := make([]*Table, 3)
		for i := range tables {
			tables[i] = NewTable(now.read)
		}
		for range rapid.IntRange(1, maxCrashes).Draw(t, "steps") {
			table := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "table")]
			now.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				table.RecordCompletion(request, "v1/0")
				continue
			}
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server")
			table.RecordCrash(request, crashOf(name, name[:1], "v1/0", table.Crashes(request)))
		}
		for range len(tables) {
			sequence := rapid.Permutation([]int{0, 1, 2}).Draw(t, "order")
			for _, from := range sequence {
				for _, to := range sequence {
					for _, r := range tables[from].Records() {
						tables[to].Merge([]Record{decodedCopy(t, r)})
					}
				}
			}
		}
		for _, table := range tables[1:] {
			a, b := tables[0].Crashes(request), table.Crashes(request)
			if a != b {
				t.Fatalf("%d and %d crashes: %v, %v", a, b, tables[0].Records(), table.Records())
			}
		}
		for _, table := range tables {
			for _, r := range tables[0].Records() {
				if changed, _ := table.Merge([]Record{r}); len(changed) > 0 {
					t.Fatalf("a known record is shared again: %v", changed)
				}
			}
		}
	})
}

// A gateway where a request ran to completion shares that with those that have recorded crashes for
// it.
func TestCompletionClearsRequest(t *testing.T) {
	observer, others := NewTable(nil), NewTable(nil)
	observer.RecordCompletion(request, "v1/0")
	for _, name := range []string{"a", "b", "c"} {
		r, share := others.RecordCrash(request, crashOf(name, name, "v1/0", 0))
		if !share {
			t.Fatal("a crash is not shared")
		}
		if _, cleared := observer.Merge([]Record{r}); name == "a" && len(cleared) != 1 {
			t.Fatal("the request is not cleared")
		}
	}
	others.Merge(observer.Records())
	if got, _ := others.BeginAttempt(request); got != Clear {
		t.Errorf("%s", got)
	}
}

// Whatever requests arrive, the table stays within its bounds and keeps quarantined requests.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(nil)
	for _, name := range []string{"a", "b", "c"} {
		table.RecordCrash(request, crashOf(name, name, "v1/0", 0))
	}
	for i := range 100 * shardCount * maxRecords {
		f := NewFingerprint(Content{Target: fmt.Sprint(i)})
		table.RecordCrash(f, crashOf("a", "x", "v1/0", 0))
		table.RecordCompletion(f, "v2/0")
	}
	if n := len(table.Records()); n > shardCount*maxRecords {
		t.Errorf("%d records", n)
	}
	for i := range table.shards {
		if s := &table.shards[i]; s.requests.len()+s.parts.len() > 2*maxCompletions {
			t.Errorf("%d completed requests in one shard", s.requests.len()+s.parts.len())
		}
	}
	if got, _ := table.BeginAttempt(request); got != Quarantined {
		t.Errorf("the quarantined request is %s", got)
	}
}

// All tables keep the record of a quarantined request for as long as it arrives at one of them.
func TestQuarantineLastsWhileRequestsArrive(t *testing.T) {
	now := newClock()
	table := NewTable(now.read)
	for _, name := range []string{"a", "b", "c"} {
		table.RecordCrash(request, crashOf(name, name, "v1/0", 0))
	}
	others := []*Table{NewTable(now.read), NewTable(now.read)}
	others[0].Merge(table.Records())
	for range 10 {
		now.advance(quarantinedTTL - time.Minute)
		r, share := table.RecordArrival(request)
		if !share {
			t.Error("the arrival is not shared")
		}
		changed, _ := others[0].Merge([]Record{r})
		if again, _ := others[0].Merge([]Record{r}); len(again) > 0 {
			t.Error("the arrival is shared twice")
		}
		others[1].Merge(changed)
		for _, one := range append(others, table) {
			one.Sweep()
		}
	}
	for i, one := range append(others, table) {
		if got, _ := one.BeginAttempt(request); got != Quarantined {
			t.Errorf("while it arrives the request is %s in table %d", got, i)
		}
	}
	now.advance(quarantinedTTL + time.Minute)
	table.Sweep()
	if got, _ := table.BeginAttempt(request); got != Clear {
		t.Errorf("a day after its last arrival the request is %s", got)
	}
}

// The same path and body of another organisation is another request, and moving text from one field
// to the next changes the fingerprint.
func TestFingerprintsDiffer(t *testing.T) {
	base := Content{Organisation: "larder", Method: "POST", Host: "a.example", Target: "/x", Body: []byte("order")}
	others := []Content{
		{Organisation: "lamps", Method: "POST", Host: "a.example", Target: "/x", Body: []byte("order")},
		{Organisation: "larder", Method: "PUT", Host: "a.example", Target: "/x", Body: []byte("order")},
		{Organisation: "larder", Method: "POST", Host: "b.example", Target: "/x", Body: []byte("order")},
		{Organisation: "larder", Method: "POST", Host: "a.example", Target: "/x?y", Body: []byte("order")},
		{Organisation: "larder", Method: "POST", Host: "a.example", Target: "/x", Body: []byte("orders")},
		{Organisation: "larderPOST", Method: "", Host: "a.example", Target: "/x", Body: []byte("order")},
		{Organisation: "larder", Method: "POST", Host: "a.example", Target: "/xorder"},
	}
	for _, o := range others {
		if NewFingerprint(o) == NewFingerprint(base) {
			t.Errorf("%+v has the fingerprint of %+v", o, base)
		}
	}
	again := base
	if NewFingerprint(again) != NewFingerprint(base) || len(NewFingerprint(base)) != fingerprintBytes {
		t.Error("the same content has two fingerprints, or the length is wrong")
	}
}

// ----------------------------------------------------------------
// Trials

// A request that crashes every new build gets two trials and no more, and only the chosen gateway
// makes them.
func TestTrialCountIsBounded(t *testing.T) {
	now := newClock()
	leader, tester, other := NewTable(now.read), NewTable(now.read), NewTable(now.read)
	exchange := func() {
		for range 2 {
			leader.Merge(append(tester.Records(), other.Records()...))
			tester.Merge(leader.Records())
			other.Merge(leader.Records())
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		tester.RecordCrash(request, crashOf(name, name, "v1/0", 0))
	}
	exchange()
	if _, granted := leader.GrantTrial(request, "g1"); granted || tester.BeginTrial(request, "g1") != NoTrialDue {
		t.Fatal("a trial was granted right after the last crash")
	}
	made := 0
	for range 100 {
		now.advance(time.Minute)
		if tester.BeginTrial(request, "g1") == TrialDue {
			leader.GrantTrial(request, "g1")
			leader.GrantTrial(request, "g2")
		}
		exchange()
		if other.BeginTrial(request, "g2") == TrialGranted {
			t.Fatal("a gateway that was not chosen makes the trial")
		}
		if tester.BeginTrial(request, "g1") == TrialGranted {
			made++
			tester.RecordCrash(request, crashOf(fmt.Sprint("d", made), "x", fmt.Sprint("v", made+1, "/0"), CrashesToQuarantine))
			tester.TrialDone(request, true)
		}
		exchange()
	}
	if made != len(trialDelays) {
		t.Errorf("%d trials in 100 minutes; %d are allowed", made, len(trialDelays))
	}
	if got, _ := other.BeginAttempt(request); got != Quarantined {
		t.Errorf("after the trials the request is %s", got)
	}
}

// A trial that was not sent to a server may begin again, and one that was sent may not.
func TestUnsentTrialRemainsGranted(t *testing.T) {
	now := newClock()
	table := NewTable(now.read)
	for _, name := range []string{"a", "b", "c"} {
		table.RecordCrash(request, crashOf(name, name, "v1/0", 0))
	}
	now.advance(time.Minute)
	table.GrantTrial(request, "g1")
	for _, wasSent := range []bool{false, true} {
		if got := table.BeginTrial(request, "g1"); got != TrialGranted {
			t.Fatalf("%d", got)
		}
		table.TrialDone(request, wasSent)
	}
	if got := table.BeginTrial(request, "g1"); got != NoTrialDue {
		t.Errorf("state %d after the trial was sent", got)
	}
}

// A build may be fixed if its software differs from that of each build that crashed, or its weights
// are later.
func TestMayBeFixed(t *testing.T) {
	crashed := []string{Build("v1", 2), Build("v1", 3)}
	for build, want := range map[string]bool{
		Build("v1", 1): false, Build("v1", 2): false, Build("v1", 3): false, Build("v1", 4): true,
		Build("v2", 0): true, Build("v2", 2): true, Build("a/b", 1): true, "odd": true,
	} {
		if got := MayBeFixed(build, crashed); got != want {
			t.Errorf("%s: %t", build, got)
		}
	}
}
