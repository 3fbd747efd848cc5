// ================================================================
// The limit of a server that warms up, alone and together with one that it advertises.
// ================================================================

package serverlimit

import (
	"testing"
	"time"
)

// warmingUp requests a permit for a server that warms up for so many more milliseconds and advertises no
// limit.
func warmingUp(perSecond float64, left int) PermitRequest {
	return NewPermitRequest(server, 0, false, 0, true, NewWarmup(perSecond, time.Duration(left)*time.Millisecond))
}

// countWarmupGrants counts the permits granted to requests every 5 ms while a server warms up.
func countWarmupGrants(l *Limiter, perSecond float64, from, to int) (count int) {
	for ms := from; ms < to; ms += 5 {
		if l.Decide(at(ms), warmingUp(perSecond, to-ms), Owner).Permit().IsGranted() {
			count++
		}
	}
	return count
}

// A server that warms up gets requests at the rate of its service, from its first moment on.
func TestWarmupLimitsRate(t *testing.T) {
	l := NewLimiter(1)
	if got := countWarmupGrants(l, 26, 0, 10_000); got < 235 || got > 248 {
		t.Errorf("%d permits in 10 s at 26 per second", got)
	}
	if a := l.Decide(at(10_001), warmingUp(26, 0), Owner); !a.LimitEnded() {
		t.Errorf("%+v after the warm-up", a)
	}
}

// A second warm-up allows nothing that accumulated between the two.
func TestRepeatedWarmupStartsEmpty(t *testing.T) {
	l := NewLimiter(1)
	countWarmupGrants(l, 26, 0, 1000)
	if l.Decide(at(9000), warmingUp(26, 3000), Owner).Permit().IsGranted() {
		t.Error("a permit was granted at the beginning of the second warm-up")
	}
}

// Of a warm-up and an advertised limit the lower one holds, and each ends by itself.
func TestLowestLimitHolds(t *testing.T) {
	for _, c := range []struct {
		name               string
		advertised, warmup float64
		most               int // permits in 10 s
	}{
		{"the advertised limit is lower", 5, 20, 48},
		{"the limit of the warm-up is lower", 20, 5, 48},
	} {
		l := NewLimiter(1)
		count := 0
		for ms := 0; ms < 10_000; ms += 5 {
			request := NewPermitRequest(server, c.advertised, ms == 0, time.Hour, false, NewWarmup(c.warmup, time.Minute))
			if l.Decide(at(ms), request, Owner).Permit().IsGranted() {
				count++
			}
		}
		if count > c.most || count < c.most*9/10 {
			t.Errorf("%s: %d permits in 10 s", c.name, count)
		}
	}
}

// The end of an advertised limit does not end that of the warm-up.
func TestWarmupOutlastsAdvertisedLimit(t *testing.T) {
	l := NewLimiter(1)
	both := func(changed bool) PermitRequest {
		return NewPermitRequest(server, 10, changed, time.Hour, false, NewWarmup(20, time.Minute))
	}
	l.Decide(start, both(true), Owner)
	p := l.Decide(at(200), both(false), Owner).Permit()
	l.ApplyReport(at(210), NewPermitReport(server, p, NoLimitAdvertised, 0))
	a := l.Decide(at(500), both(false), Owner)
	if !a.LimitEnded() || !a.Permit().IsGranted() {
		t.Errorf("%+v: the limit has ended, and the warm-up has not", a)
	}
	if got := countWarmupGrants(l, 20, 500, 10_500); got > 200 || got < 170 {
		t.Errorf("%d permits in 10 s at 20 per second", got)
	}
}

// An advertised limit is learned from gateways that know it, also where another one has asked for a
// permit because of the warm-up alone, and from the answer to such a permit.
func TestAdvertisedLimitIsLearnedDuringWarmup(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, warmingUp(20, 60_000), Owner)
	if a := l.Decide(at(100), sameLimit(2), Owner); a.Unlimited() || a.PerSecond() != 2 {
		t.Errorf("%+v for a gateway that knows the limit", a)
	}
	l = NewLimiter(1)
	l.Decide(start, warmingUp(20, 60_000), Owner)
	p := l.Decide(at(100), warmingUp(20, 60_000), Owner).Permit()
	l.ApplyReport(at(110), NewPermitReport(server, p, LimitAdvertised, 3))
	if a := l.Decide(at(120), warmingUp(20, 60_000), Owner); a.Unlimited() || a.PerSecond() != 3 {
		t.Errorf("%+v after an answer advertised a limit", a)
	}
}
