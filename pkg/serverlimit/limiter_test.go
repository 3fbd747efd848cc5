// ================================================================
// The limiter: the granted rate in each role, how limits change and end, and the ranking of owners.
// ================================================================

package serverlimit

import (
	"testing"
	"time"
)

var (
	start  = time.Unix(1000, 0)
	server = NewServer("e-1", 7, "hall-a")
)

// sameLimit requests a permit with a limit that the gateway has reported before.
func sameLimit(perSecond float64) PermitRequest {
	return NewPermitRequest(server, perSecond, false, 0, false, Warmup{})
}

// changedLimit requests a permit with a limit that is new to the gateway, but may be an hour old.
func changedLimit(perSecond float64) PermitRequest {
	return NewPermitRequest(server, perSecond, true, time.Hour, false, Warmup{})
}

// at returns the time some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// countGrants counts the permits granted to requests every 10 ms in a span, in milliseconds.
func countGrants(l *Limiter, request PermitRequest, from, to int) (count int) {
	for ms := from; ms < to; ms += 10 {
		if l.Decide(at(ms), request, Owner).Permit().IsGranted() {
			count++
		}
	}
	return count
}

// The granted rate stays just below the limit, and at a minimum for the lowest limits.
func TestGrantedRateFollowsLimit(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		most      int // in 100 s
	}{{0, 25}, {0.1, 25}, {1, 95}, {1.9, 181}, {20, 1900}} {
		l := NewLimiter(1)
		if got := countGrants(l, changedLimit(c.perSecond), 0, 100_000); got > c.most || float64(got) < 0.9*float64(c.most) {
			t.Errorf("%d permits in 100 s with a limit of %g per second; at most %d", got, c.perSecond, c.most)
		}
	}
}

// An owner that has just taken over grants no permit that another may have granted, and one without
// requests accumulates few tokens.
func TestBucketStartsEmptyAndIsSmall(t *testing.T) {
	l := NewLimiter(1)
	if a := l.Decide(start, sameLimit(4), Owner); a.Permit().IsGranted() || a.RetryAfter() <= 0 {
		t.Fatalf("%+v for the first request", a)
	}
	count := 0
	for l.Decide(at(30_000), sameLimit(4), Owner).Permit().IsGranted() {
		count++
	}
	if count != 1 {
		t.Fatalf("%d permits in a burst after 30 s", count)
	}
}

// A backup without requests for a while starts empty: the owner may have granted what accumulated
// since.
func TestIdleBackupStartsEmpty(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, sameLimit(4), Backup)
	if l.Decide(at(30_000), sameLimit(4), Backup).Permit().IsGranted() {
		t.Fatal("a permit was granted immediately")
	}
	if !l.Decide(at(30_500), sameLimit(4), Backup).Permit().IsGranted() {
		t.Fatal("no permit after half a second")
	}
}

// A request right after RetryAfter gets a permit in every role, however long RetryAfter is.
func TestPermitIsDueAfterRetryAfter(t *testing.T) {
	for _, role := range []Role{Owner, Backup, PartialBackup} {
		for _, perSecond := range []float64{0, 0.5, 1, 20} {
			l := NewLimiter(1)
			first := l.Decide(start, sameLimit(perSecond), role)
			if !l.Decide(start.Add(first.RetryAfter()+time.Millisecond), sameLimit(perSecond), role).Permit().IsGranted() {
				t.Errorf("role %d, %g per second: no permit after %s", role, perSecond, first.RetryAfter())
			}
		}
	}
}

// A partial backup grants a fifth of the limit, so that two of them, besides a partitioned owner,
// grant less than half of it in addition.
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
			t.Errorf("%d permits in 100 s with a limit of %g per second; at most %d", count, c.perSecond, c.most)
		}
	}
}

// Only the answer to a permit that was granted after the limit was last reported ends the limit.
func TestOnlyLaterPermitEndsLimit(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, changedLimit(10), Owner)
	early := l.Decide(at(200), sameLimit(10), Owner).Permit()
	l.Decide(at(210), changedLimit(10), Owner)
	l.ApplyReport(at(220), NewPermitReport(server, early, NoLimitAdvertised, 0))
	if l.Decide(at(230), sameLimit(10), Owner).LimitEnded() {
		t.Fatal("an answer from before the last report ended the limit")
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
		t.Fatalf("%+v after the limit ended", a)
	}
	if a := l.Decide(at(440), changedLimit(2), Owner); a.LimitEnded() || a.Permit().IsGranted() || a.PerSecond() != 2 {
		t.Fatalf("%+v when a limit is advertised again", a)
	}
	if !l.Decide(at(450), NewPermitRequest(NewServer("e-1", 8, "hall-a"), 0, false, 0, false, Warmup{}), Owner).Permit().IsGranted() {
		// Another process of the server has its own bucket, which starts empty as well.
		return
	}
	t.Fatal("another process of the server has the tokens of this one")
}

// A higher limit is applied if the answer to a later permit advertises it, and a lower one always.
func TestLimitChanges(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, changedLimit(10), Owner)
	p := l.Decide(at(300), sameLimit(10), Owner).Permit()
	l.ApplyReport(at(310), NewPermitReport(server, p, LimitAdvertised, 30))
	if got := l.Decide(at(320), sameLimit(10), Owner).PerSecond(); got != 30 {
		t.Fatalf("%g per second after the answer to a permit advertised 30", got)
	}
	if got := l.Decide(at(330), changedLimit(5), Owner).PerSecond(); got != 5 {
		t.Fatalf("%g per second after a request reported 5", got)
	}
	if got := l.Decide(at(340), changedLimit(8), Owner).PerSecond(); got != 5 {
		t.Fatalf("%g per second: a limit of 8 learned without a permit may be older", got)
	}
}

// A limit that is certainly newer replaces a lower one, whichever gateway learned it.
func TestNewerLimitReplacesLowerOne(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, changedLimit(0), Owner)
	early := NewPermitRequest(server, 3, true, 2*time.Second, false, Warmup{})
	if got := l.Decide(at(1000), early, Owner).PerSecond(); got != 0 {
		t.Fatalf("%g per second, from an answer that may be older", got)
	}
	late := NewPermitRequest(server, 3, true, 500*time.Millisecond, false, Warmup{})
	if got := l.Decide(at(5000), late, Owner).PerSecond(); got != 3 {
		t.Fatalf("%g per second, from an answer that is newer", got)
	}
}

// A permit that is returned unused is granted again.
func TestUnusedPermitIsGrantedAgain(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, sameLimit(1), Owner)
	p := l.Decide(at(1100), sameLimit(1), Owner).Permit()
	if !p.IsGranted() || l.Decide(at(1110), sameLimit(1), Owner).Permit().IsGranted() {
		t.Fatal("there was not exactly one permit after a second")
	}
	l.ApplyReport(at(1120), NewPermitReport(server, p, Unused, 0))
	if !l.Decide(at(1130), sameLimit(1), Owner).Permit().IsGranted() {
		t.Fatal("the returned permit is lost")
	}
}

// The bucket of a server for which no permit is requested is removed.
func TestIdleServersAreRemoved(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, sameLimit(1), Owner)
	l.Sweep(start.Add(idleTTL + time.Second))
	if len(l.buckets) != 0 {
		t.Fatal("an idle server was kept")
	}
}

// All gateways compute the same ranking in any order of the list, with those of the failure domain
// of the server first, and several servers have several owners.
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
		t.Fatalf("%v for a server in hall-a", order)
	}
	owned := map[Gateway]int{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		owned[RankOwners(NewServer(id, 0, "hall-a"), all)[0]]++
	}
	if len(owned) != 2 {
		t.Fatalf("one gateway owns the limits of twelve servers: %v", owned)
	}
}
