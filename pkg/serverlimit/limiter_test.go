package serverlimit

import (
	"testing"
	"time"
)

var (
	start  = time.Unix(1000, 0)
	server = NewServer("e-1", 7, "hall-a")
)

func sameLimit(perSecond float64) PermitRequest { return NewPermitRequest(server, perSecond, false, 0) }

func changedLimit(perSecond float64) PermitRequest {
	return NewPermitRequest(server, perSecond, true, time.Hour)
}

// at returns a moment some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// countGrants counts the permits of questions every 10 ms in a span, in milliseconds.
func countGrants(l *Limiter, a PermitRequest, from, to int) (count int) {
	for ms := from; ms < to; ms += 10 {
		if l.Decide(at(ms), a, Owner).Permit().IsGranted() {
			count++
		}
	}
	return count
}

func TestGrantedRateFollowsLimit(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		most      int // in 100 s
	}{{0, 25}, {0.1, 25}, {1, 95}, {1.9, 181}, {20, 1900}} {
		l := NewLimiter(1)
		if got := countGrants(l, changedLimit(c.perSecond), 0, 100_000); got > c.most || float64(got) < 0.9*float64(c.most) {
			t.Errorf("%d permits in 100 s for %g a second; at most %d", got, c.perSecond, c.most)
		}
	}
}

// An owner that has just taken over spends nothing that another may have spent, and one that
// nobody asks saves up little.
func TestBucketStartsEmptyAndIsSmall(t *testing.T) {
	l := NewLimiter(1)
	if a := l.Decide(start, sameLimit(4), Owner); a.Permit().IsGranted() || a.RetryAfter() <= 0 {
		t.Fatalf("%+v at the first question", a)
	}
	count := 0
	for l.Decide(at(30_000), sameLimit(4), Owner).Permit().IsGranted() {
		count++
	}
	if count != 1 {
		t.Fatalf("%d permits at once after 30 s", count)
	}
}

// A stand-in that was not asked for a while starts empty: it saved up what the owner spent.
func TestIdleBackupStartsEmpty(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, sameLimit(4), Backup)
	if l.Decide(at(30_000), sameLimit(4), Backup).Permit().IsGranted() {
		t.Fatal("granted at once")
	}
	if !l.Decide(at(30_500), sameLimit(4), Backup).Permit().IsGranted() {
		t.Fatal("nothing after half a second")
	}
}

// A stand-in that is asked just when it said that there is a permit has one, however long
// that takes.
func TestPermitIsDueAfterRetryAfter(t *testing.T) {
	for _, s := range []Role{Owner, Backup, PartialBackup} {
		for _, perSecond := range []float64{0, 0.5, 1, 20} {
			l := NewLimiter(1)
			first := l.Decide(start, sameLimit(perSecond), s)
			if !l.Decide(start.Add(first.RetryAfter()+time.Millisecond), sameLimit(perSecond), s).Permit().IsGranted() {
				t.Errorf("standing %d, %g a second: no permit after %s", s, perSecond, first.RetryAfter())
			}
		}
	}
}

// Beside an owner that is cut off two stand-ins grant no more than half as much again.
func TestPartialBackupGrantsShare(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		most      int // in 100 s
	}{{0, 10}, {1, 20}, {20, 400}} {
		l := NewLimiter(1)
		count := 0
		for ms := 0; ms < 100_000; ms += 10 {
			if l.Decide(at(ms), sameLimit(c.perSecond), PartialBackup).Permit().IsGranted() {
				count++
			}
		}
		if count > c.most || float64(count) < 0.9*float64(c.most) {
			t.Errorf("%d permits in 100 s for %g a second; at most %d", count, c.perSecond, c.most)
		}
	}
}

// Only the answer to a permit that was granted after the limit was told says that it is over.
func TestOnlyLaterPermitEndsLimit(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, changedLimit(10), Owner)
	early := l.Decide(at(200), sameLimit(10), Owner).Permit()
	l.Decide(at(210), changedLimit(10), Owner)
	l.ApplyReport(at(220), NewPermitReport(server, early, NoLimitAdvertised, 0))
	if l.Decide(at(230), sameLimit(10), Owner).LimitEnded() {
		t.Fatal("an answer from before the naming ended the limit")
	}
	late := l.Decide(at(400), sameLimit(10), Owner).Permit()
	if !late.IsGranted() {
		t.Fatal("no permit")
	}
	l.ApplyReport(at(410), NewPermitReport(server, NewPermit(99, 50), NoLimitAdvertised, 0))
	if l.Decide(at(415), sameLimit(10), Owner).LimitEnded() {
		t.Fatal("a permit of another process ended the limit")
	}
	l.ApplyReport(at(420), NewPermitReport(server, late, NoLimitAdvertised, 0))
	if a := l.Decide(at(430), sameLimit(10), Owner); !a.LimitEnded() {
		t.Fatalf("%+v after the end", a)
	}
	if a := l.Decide(at(440), changedLimit(2), Owner); a.LimitEnded() || a.Permit().IsGranted() || a.PerSecond() != 2 {
		t.Fatalf("%+v when it is named again", a)
	}
	if !l.Decide(at(450), NewPermitRequest(NewServer("e-1", 8, "hall-a"), 0, false, 0), Owner).Permit().IsGranted() {
		// Another start of the server has a bucket of its own, which is empty as well.
		return
	}
	t.Fatal("another start has what this one saved up")
}

func TestLimitChanges(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, changedLimit(10), Owner)
	p := l.Decide(at(300), sameLimit(10), Owner).Permit()
	l.ApplyReport(at(310), NewPermitReport(server, p, LimitAdvertised, 30))
	if got := l.Decide(at(320), sameLimit(10), Owner).PerSecond(); got != 30 {
		t.Fatalf("%g a second after a permit's answer said 30", got)
	}
	if got := l.Decide(at(330), changedLimit(5), Owner).PerSecond(); got != 5 {
		t.Fatalf("%g a second after somebody heard 5", got)
	}
	if got := l.Decide(at(340), changedLimit(8), Owner).PerSecond(); got != 5 {
		t.Fatalf("%g a second: who heard 8 without a permit may have heard it before", got)
	}
}

// A number that was named after the one that is kept takes its place, whoever heard it.
func TestNewerLimitReplacesLowerOne(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, changedLimit(0), Owner)
	early := NewPermitRequest(server, 3, true, 2*time.Second)
	if got := l.Decide(at(1000), early, Owner).PerSecond(); got != 0 {
		t.Fatalf("%g a second, by an answer that may be older", got)
	}
	late := NewPermitRequest(server, 3, true, 500*time.Millisecond)
	if got := l.Decide(at(5000), late, Owner).PerSecond(); got != 3 {
		t.Fatalf("%g a second, by an answer that is newer", got)
	}
}

func TestUnusedPermitIsGrantedAgain(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, sameLimit(1), Owner)
	p := l.Decide(at(1100), sameLimit(1), Owner).Permit()
	if !p.IsGranted() || l.Decide(at(1110), sameLimit(1), Owner).Permit().IsGranted() {
		t.Fatal("not one permit after a second")
	}
	l.ApplyReport(at(1120), NewPermitReport(server, p, Unused, 0))
	if !l.Decide(at(1130), sameLimit(1), Owner).Permit().IsGranted() {
		t.Fatal("the one that was given back is lost")
	}
}

func TestIdleServersAreRemoved(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, sameLimit(1), Owner)
	l.Sweep(start.Add(idleTTL + time.Second))
	if len(l.buckets) != 0 {
		t.Fatal("a server is kept that nobody asks of")
	}
}

// All gateways find the same owners, of the server's own failure domain first, and the end
// of one changes nothing among the others.
func TestOwnersDependOnlyOnGatewayList(t *testing.T) {
	all := []Gateway{{"10.0.0.1:7", "hall-b"}, {"10.0.0.2:7", "hall-a"}, {"10.0.0.3:7", "hall-a"}, {"10.0.0.4:7", "hall-c"}}
	order := RankOwners(server, all)
	again := RankOwners(server, []Gateway{all[3], all[1], all[0], all[2]})
	for i := range order {
		if order[i] != again[i] {
			t.Fatalf("%v and %v", order, again)
		}
	}
	if order[0].Domain != "hall-a" || order[1].Domain != "hall-a" {
		t.Fatalf("%v for a server of hall-a", order)
	}
	owned := map[Gateway]int{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		owned[RankOwners(NewServer(id, 0, "hall-a"), all)[0]]++
	}
	if len(owned) != 2 {
		t.Fatalf("one gateway owns the limits of twelve servers: %v", owned)
	}
}
