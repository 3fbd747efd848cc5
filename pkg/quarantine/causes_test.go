// ================================================================
// Which of the requests and parts of prompts that were in flight at crashes are kept away from servers.
// Guards against parts that crash servers and are never found, and against sound parts that are blamed.
// ================================================================

package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testBuild = "v1/1"

// fleet is a table of a gateway with servers that crash. Each crash is in another failure domain.
type fleet struct {
	*Table
	clock   *clock
	crashes int
}

func newFleet() *fleet {
	c := newClock()
	return &fleet{Table: NewTable(c.read), clock: c}
}

func parts(ids ...string) (all []Fingerprint) {
	for _, id := range ids {
		all = append(all, NewPartFingerprint(id))
	}
	return all
}

// crash crashes a server that runs requests with the given parts, some time after the last one.
func (f *fleet) crash(after time.Duration, ids ...string) {
	f.clock.advance(after)
	f.crashes++
	for _, part := range parts(ids...) {
		name := fmt.Sprintf("s%d", f.crashes)
		f.RecordCrash(part, NewCrash(name, 1, name, testBuild, f.Crashes(part), 0))
	}
}

func (f *fleet) complete(after time.Duration, ids ...string) {
	f.clock.advance(after)
	for _, part := range parts(ids...) {
		f.RecordCompletion(part, testBuild)
	}
}

func (f *fleet) check(t *testing.T, want Verdict, ids ...string) {
	t.Helper()
	if got := f.Decide(parts(ids...)...).Verdict(); got != want {
		t.Errorf("a request with %v is %s, want %s", ids, got, want)
	}
}

const (
	soon = 100 * time.Millisecond
	late = 2 * time.Second
)

// A part is found among popular ones, which ran to completion, and among rare ones, which were in flight at
// some of the crashes.
func TestCrashingPartIsFound(t *testing.T) {
	f := newFleet()
	f.complete(0, "assistant", "document")
	f.crash(soon, "assistant", "document", "faulty", "rare")
	f.crash(soon, "assistant", "faulty", "rare")
	f.check(t, Suspect, "assistant", "faulty")
	f.crash(soon, "assistant", "document", "faulty", "rare")
	f.crash(soon, "assistant", "document", "faulty")
	f.check(t, Quarantined, "assistant", "faulty")
	f.check(t, Quarantined, "faulty")
	f.check(t, Clear, "assistant", "document")
	f.check(t, Suspect, "assistant", "rare")
	f.complete(soon, "rare")
	f.check(t, Clear, "assistant", "rare")
}

// Parts that always come together are refused together only, until a request with one of them tells them
// apart.
func TestPartsThatComeTogether(t *testing.T) {
	together := func() *fleet {
		f := newFleet()
		for range CrashesToQuarantine {
			f.crash(soon, "manual", "faulty")
		}
		return f
	}
	f := together()
	f.check(t, Quarantined, "manual", "faulty")
	f.check(t, Suspect, "manual")
	f.check(t, Suspect, "faulty")

	f.complete(soon, "manual")
	f.check(t, Clear, "manual")
	f.check(t, Quarantined, "faulty")

	f = together()
	f.crash(soon, "faulty")
	f.check(t, Suspect, "manual")
	f.check(t, Quarantined, "faulty")
}

// Several parts that are in flight at the same crashes are all found, and none is released when another one
// has more crashes.
func TestCrashingPartsAtTheSameCrashes(t *testing.T) {
	f := newFleet()
	for range 2 * CrashesToQuarantine {
		f.crash(soon, "faulty-1", "faulty-2")
	}
	f.crash(soon, "faulty-1")
	f.check(t, Quarantined, "faulty-1")
	f.check(t, Suspect, "faulty-2")
	for range 2 * maxCrashes {
		f.crash(soon, "faulty-2")
	}
	f.check(t, Quarantined, "faulty-2")
	if v := f.Decide(parts("faulty-1")...).Verdict(); v == Clear {
		t.Errorf("the first part is %s", v)
	}
}

// A new popular part that was there at all crashes of a crashing part, and at others, gets a trial by a
// request without the crashing part on the same build, and its completed run tells them apart.
func TestTrialTellsCauseFromRival(t *testing.T) {
	f := newFleet()
	for range CrashesToQuarantine {
		f.crash(soon, "assistant")
	}
	for range CrashesToQuarantine {
		f.crash(soon, "assistant", "faulty")
	}
	f.check(t, Quarantined, "assistant")
	if d := f.Decide(parts("assistant", "faulty")...); MayBeFixed(testBuild, d.Avoid()) {
		t.Error("a request with both parts may be a trial")
	}
	d := f.Decide(parts("assistant")...)
	f.clock.advance(trialDelays[0])
	if _, granted := f.GrantTrial(d.Cause(), "g1"); !granted || !MayBeFixed(testBuild, d.Avoid()) {
		t.Fatal("no trial was granted on the same build")
	}
	f.complete(soon, "assistant")
	f.check(t, Clear, "assistant")
	f.check(t, Quarantined, "assistant", "faulty")
}

// What crashes servers is found although the crashes in its record, as many as a record keeps, are all
// explained by others.
func TestCrashingPartIsFoundBehindFullRecord(t *testing.T) {
	f := newFleet()
	f.complete(0, "turned")
	for i := range maxCrashes {
		f.crash(soon, "turned", fmt.Sprint("rare-", i/CrashesToQuarantine))
	}
	for range CrashesToQuarantine + crashesDiscounted {
		f.crash(late, "turned")
	}
	f.check(t, Quarantined, "turned")
}

// Several parts may crash servers at the same time, and a rare one may be in flight at crashes of both.
func TestSeveralCrashingParts(t *testing.T) {
	f := newFleet()
	f.complete(0, "assistant")
	for range CrashesToQuarantine {
		f.crash(soon, "assistant", "faulty-1", "rare")
		f.crash(soon, "assistant", "faulty-2")
	}
	f.crash(soon, "assistant", "faulty-1")
	f.crash(soon, "assistant", "faulty-2", "rare")
	f.crash(soon, "assistant", "faulty-1")
	f.check(t, Quarantined, "assistant", "faulty-1")
	f.check(t, Quarantined, "assistant", "faulty-2")
	f.check(t, Clear, "assistant")
	f.check(t, Suspect, "assistant", "rare")
}

// A request as a whole and a part are found by the same comparison.
func TestCrashingRequestBesidePart(t *testing.T) {
	f := newFleet()
	whole := NewFingerprint(Content{Target: "/x"})
	for i := range CrashesToQuarantine + 1 {
		name := fmt.Sprintf("w%d", i)
		f.clock.advance(soon)
		f.RecordCrash(whole, NewCrash(name, 1, name, testBuild, f.Crashes(whole), 0))
		if i > 0 {
			f.RecordCrash(NewPartFingerprint("document"), NewCrash(name, 1, name, testBuild, 0, 0))
		}
	}
	document := NewPartFingerprint("document")
	if d := f.Decide(whole, document); d.Verdict() != Quarantined || d.Cause() != whole {
		t.Errorf("%+v", d)
	}
	if d := f.Decide(document); d.Verdict() != Suspect {
		t.Errorf("the part is %s", d.Verdict())
	}
}

// A part that ran to completion for long may begin to crash servers. More crashes are needed then, and
// those of one moment count once, since a popular part is in flight nearly everywhere.
func TestPartThatBeginsToCrashServers(t *testing.T) {
	f := newFleet()
	f.complete(0, "turned")
	for range CrashesToQuarantine + crashesDiscounted - 1 {
		f.crash(late, "turned")
	}
	f.check(t, Suspect, "turned")
	f.crash(late, "turned")
	f.check(t, Quarantined, "turned")

	f = newFleet()
	f.complete(0, "popular")
	for range 3 * (CrashesToQuarantine + crashesDiscounted) {
		f.crash(0, "popular")
	}
	f.check(t, Clear, "popular")

	f = newFleet()
	for range 3 * (CrashesToQuarantine + crashesDiscounted) {
		f.complete(late, "popular")
		f.crash(late, "popular")
	}
	f.check(t, Clear, "popular")
}

// A completed run counts on the builds of late versions as well as on the first ones.
func TestCompletionsOnManyBuilds(t *testing.T) {
	f := newFleet()
	part := NewPartFingerprint("assistant")
	for version := range uint64(3 * maxBuilds) {
		f.clock.advance(late)
		build := Build("v1", version)
		for i := range CrashesToQuarantine {
			f.RecordCrash(part, NewCrash(fmt.Sprintf("s%d-%d", version, i), 1, fmt.Sprint(i), build, 0, 0))
		}
		f.clock.advance(soon)
		f.RecordCompletion(part, build)
		f.check(t, Clear, "assistant")
	}
}

// A crash of everything makes many suspects at once. The causes are found among them, and comparing them must
// not take the time of the gateway.
func TestManySuspects(t *testing.T) {
	f := newFleet()
	begun := time.Now()
	for i := range 4 * manySuspects {
		part := fmt.Sprint("rare-", i)
		f.crash(soon, part)
		f.crash(soon, part)
	}
	for range CrashesToQuarantine {
		f.crash(soon, "faulty")
	}
	time.Sleep(compareInterval)
	f.check(t, Quarantined, "faulty")
	f.check(t, Suspect, fmt.Sprint("rare-", 4*manySuspects-1))
	t.Logf("%s", time.Since(begun))
}

// Whoever sends crashes that a completed run cleared learns of it.
func TestSenderOfClearedCrashesLearnsOfCompletion(t *testing.T) {
	sender, receiver := newFleet(), newFleet()
	for range CrashesToQuarantine {
		sender.crash(soon, "document")
	}
	receiver.crash(0, "document")
	receiver.complete(soon, "document")
	changed, _ := receiver.Merge(sender.Records())
	sender.Merge(changed)
	sender.check(t, Clear, "document")
}

// A part that was quarantined by mistake gets a trial on the build where it once ran, and its completed run
// clears it.
func TestTrialOnBuildWhereItRan(t *testing.T) {
	f := newFleet()
	f.complete(0, "popular")
	for range CrashesToQuarantine + crashesDiscounted {
		f.crash(late, "popular")
	}
	d := f.Decide(parts("popular")...)
	if d.Verdict() != Quarantined || !MayBeFixed(testBuild, d.Avoid()) {
		t.Fatalf("%s, builds to avoid in a trial: %v", d.Verdict(), d.Avoid())
	}
	f.clock.advance(trialDelays[0])
	if _, granted := f.GrantTrial(d.Cause(), "g1"); !granted || f.BeginTrial(d.Cause(), "g1") != TrialGranted {
		t.Fatal("no trial was granted")
	}
	f.complete(soon, "popular")
	f.TrialDone(d.Cause(), true)
	f.check(t, Clear, "popular")
}

// Records of two gateways lead to the same decisions everywhere, in whatever order they arrive.
func TestDecisionsAreOrderIndependent(t *testing.T) {
	names := []string{"assistant", "document", "faulty", "rare"}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		tables := []*Table{f.Table, NewTable(f.clock.read), NewTable(f.clock.read)}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			f.Table = tables[rapid.IntRange(0, 1).Draw(t, "gateway")]
			some := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID[string]).Draw(t, "parts")
			after := time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				f.complete(after, some...)
			} else {
				f.crash(after, some...)
			}
		}
		for range 2 * len(tables) {
			for _, from := range tables {
				for _, to := range tables {
					to.Merge(from.Records())
				}
			}
		}
		for _, table := range tables[1:] {
			for _, request := range [][]string{{"assistant"}, {"assistant", "faulty"}, {"document", "rare"}, names} {
				a, b := tables[0].Decide(parts(request...)...), table.Decide(parts(request...)...)
				if a.Verdict() != b.Verdict() || a.Crashes() != b.Crashes() || !slices.Equal(a.suspects, b.suspects) {
					t.Fatalf("%v: %+v and %+v", request, a, b)
				}
			}
		}
	})
}
