package serverlimit

import (
	"testing"
	"time"
)

var (
	start  = time.Unix(1000, 0)
	server = NewServer("e-1", 7, "hall-a")
)

func ask(perSecond float64) Ask { return NewAsk(server, perSecond, false, 0) }

func news(perSecond float64) Ask { return NewAsk(server, perSecond, true, time.Hour) }

// at returns a moment some milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// grants counts the permits of questions every 10 ms in a span, in milliseconds.
func grants(l *Limiter, a Ask, from, to int) (count int) {
	for ms := from; ms < to; ms += 10 {
		if l.Decide(at(ms), a, Owner).Permit().IsGranted() {
			count++
		}
	}
	return count
}

func TestWhatIsNamedIsGranted(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		most      int // in 100 s
	}{{0, 25}, {0.1, 25}, {1, 95}, {1.9, 181}, {20, 1900}} {
		l := NewLimiter(1)
		if got := grants(l, news(c.perSecond), 0, 100_000); got > c.most || float64(got) < 0.9*float64(c.most) {
			t.Errorf("%d permits in 100 s for %g a second; at most %d", got, c.perSecond, c.most)
		}
	}
}

// An owner that has just taken over spends nothing that another may have spent, and one that
// nobody asks saves up little.
func TestABucketBeginsEmptyAndSavesUpLittle(t *testing.T) {
	l := NewLimiter(1)
	if a := l.Decide(start, ask(4), Owner); a.Permit().IsGranted() || a.Next() <= 0 {
		t.Fatalf("%+v at the first question", a)
	}
	count := 0
	for l.Decide(at(30_000), ask(4), Owner).Permit().IsGranted() {
		count++
	}
	if count != 1 {
		t.Fatalf("%d permits at once after 30 s", count)
	}
}

// A stand-in that was not asked for a while starts empty: it saved up what the owner spent.
func TestAStandInSavesUpNothing(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, ask(4), StandIn)
	if l.Decide(at(30_000), ask(4), StandIn).Permit().IsGranted() {
		t.Fatal("granted at once")
	}
	if !l.Decide(at(30_500), ask(4), StandIn).Permit().IsGranted() {
		t.Fatal("nothing after half a second")
	}
}

// A stand-in that is asked just when it said that there is a permit has one, however long
// that takes.
func TestAStandInGrantsWhenItSays(t *testing.T) {
	for _, s := range []Standing{Owner, StandIn, CutStandIn} {
		for _, perSecond := range []float64{0, 0.5, 1, 20} {
			l := NewLimiter(1)
			first := l.Decide(start, ask(perSecond), s)
			if !l.Decide(start.Add(first.Next()+time.Millisecond), ask(perSecond), s).Permit().IsGranted() {
				t.Errorf("standing %d, %g a second: no permit after %s", s, perSecond, first.Next())
			}
		}
	}
}

// Beside an owner that is cut off two stand-ins grant no more than half as much again.
func TestStandInsForASilentOwnerGrantAPart(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		most      int // in 100 s
	}{{0, 10}, {1, 20}, {20, 400}} {
		l := NewLimiter(1)
		count := 0
		for ms := 0; ms < 100_000; ms += 10 {
			if l.Decide(at(ms), ask(c.perSecond), CutStandIn).Permit().IsGranted() {
				count++
			}
		}
		if count > c.most || float64(count) < 0.9*float64(c.most) {
			t.Errorf("%d permits in 100 s for %g a second; at most %d", count, c.perSecond, c.most)
		}
	}
}

// Only the answer to a permit that was granted after the limit was told says that it is over.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, news(10), Owner)
	early := l.Decide(at(200), ask(10), Owner).Permit()
	l.Decide(at(210), news(10), Owner)
	l.Hear(at(220), NewReport(server, early, NotNamed, 0))
	if l.Decide(at(230), ask(10), Owner).Over() {
		t.Fatal("an answer from before the naming ended the limit")
	}
	late := l.Decide(at(400), ask(10), Owner).Permit()
	if !late.IsGranted() {
		t.Fatal("no permit")
	}
	l.Hear(at(410), NewReport(server, NewPermit(99, 50), NotNamed, 0))
	if l.Decide(at(415), ask(10), Owner).Over() {
		t.Fatal("a permit of another process ended the limit")
	}
	l.Hear(at(420), NewReport(server, late, NotNamed, 0))
	if a := l.Decide(at(430), ask(10), Owner); !a.Over() {
		t.Fatalf("%+v after the end", a)
	}
	if a := l.Decide(at(440), news(2), Owner); a.Over() || a.Permit().IsGranted() || a.PerSecond() != 2 {
		t.Fatalf("%+v when it is named again", a)
	}
	if !l.Decide(at(450), NewAsk(NewServer("e-1", 8, "hall-a"), 0, false, 0), Owner).Permit().IsGranted() {
		// Another start of the server has a bucket of its own, which is empty as well.
		return
	}
	t.Fatal("another start has what this one saved up")
}

func TestTheNumberChanges(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, news(10), Owner)
	p := l.Decide(at(300), ask(10), Owner).Permit()
	l.Hear(at(310), NewReport(server, p, StillNamed, 30))
	if got := l.Decide(at(320), ask(10), Owner).PerSecond(); got != 30 {
		t.Fatalf("%g a second after a permit's answer said 30", got)
	}
	if got := l.Decide(at(330), news(5), Owner).PerSecond(); got != 5 {
		t.Fatalf("%g a second after somebody heard 5", got)
	}
	if got := l.Decide(at(340), news(8), Owner).PerSecond(); got != 5 {
		t.Fatalf("%g a second: who heard 8 without a permit may have heard it before", got)
	}
}

// A number that was named after the one that is kept takes its place, whoever heard it.
func TestALaterNumberTakesThePlaceOfALowerOne(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, news(0), Owner)
	early := NewAsk(server, 3, true, 2*time.Second)
	if got := l.Decide(at(1000), early, Owner).PerSecond(); got != 0 {
		t.Fatalf("%g a second, by an answer that may be older", got)
	}
	late := NewAsk(server, 3, true, 500*time.Millisecond)
	if got := l.Decide(at(5000), late, Owner).PerSecond(); got != 3 {
		t.Fatalf("%g a second, by an answer that is newer", got)
	}
}

func TestAnUnusedPermitIsGrantedAgain(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, ask(1), Owner)
	p := l.Decide(at(1100), ask(1), Owner).Permit()
	if !p.IsGranted() || l.Decide(at(1110), ask(1), Owner).Permit().IsGranted() {
		t.Fatal("not one permit after a second")
	}
	l.Hear(at(1120), NewReport(server, p, Unsent, 0))
	if !l.Decide(at(1130), ask(1), Owner).Permit().IsGranted() {
		t.Fatal("the one that was given back is lost")
	}
}

func TestIdleServersAreForgotten(t *testing.T) {
	l := NewLimiter(1)
	l.Decide(start, ask(1), Owner)
	l.Sweep(start.Add(idleLife + time.Second))
	if len(l.buckets) != 0 {
		t.Fatal("a server is kept that nobody asks of")
	}
}

// All gateways find the same owners, of the server's own failure domain first, and the end
// of one changes nothing among the others.
func TestOwnersAreFoundAlike(t *testing.T) {
	all := []Gateway{{"10.0.0.1:7", "hall-b"}, {"10.0.0.2:7", "hall-a"}, {"10.0.0.3:7", "hall-a"}, {"10.0.0.4:7", "hall-c"}}
	order := Owners(server, all)
	again := Owners(server, []Gateway{all[3], all[1], all[0], all[2]})
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
		owned[Owners(NewServer(id, 0, "hall-a"), all)[0]]++
	}
	if len(owned) != 2 {
		t.Fatalf("one gateway owns the limits of twelve servers: %v", owned)
	}
}
