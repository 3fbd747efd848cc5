package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// hearingsAt builds attempts around a moment, t ms after an arbitrary start.
type hearingsAt struct{ start time.Time }

func (a hearingsAt) at(ms int) time.Time { return a.start.Add(time.Duration(ms) * time.Millisecond) }

// flow is a stream at an engine over an old connection, silent since some time.
func (a hearingsAt) flow(address string, since int) hearing {
	return hearing{address: address, made: a.at(-5000), since: a.at(since), due: 150 * time.Millisecond, spoke: true, flows: true, engine: true}
}

// wait is a request that was sent some time ago over an old connection.
func (a hearingsAt) wait(address string, since int) hearing {
	return hearing{address: address, made: a.at(-5000), since: a.at(since), due: 300 * time.Millisecond, engine: true}
}

func (h hearing) madeAt(t time.Time) hearing    { h.made = t; return h }
func (h hearing) reachedAt(t time.Time) hearing { h.reached = t; return h }
func (h hearing) overAt(t time.Time) hearing    { h.over = t; return h }

// What is found at 1000 ms; a finding is written as its hearing, its evidence and
// whether a dial is asked for.
func TestJudgeTellsSilentConnectionsFromSilentServers(t *testing.T) {
	a := hearingsAt{time.Unix(1000, 0)}
	const usualQuiet = 60 * time.Millisecond
	dialed := a.at(960)
	plain := a.wait("a", 600)
	plain.engine = false
	tests := []struct {
		name string
		all  []hearing
		want []string
	}{
		{"all is usual", []hearing{a.flow("a", 900), a.flow("b", 950), a.wait("c", 800)}, nil},
		{"one server stands still", []hearing{a.flow("a", 800), a.flow("b", 950), a.flow("c", 960), a.flow("d", 970)}, []string{"0 suspected"}},
		{"one stream of several at a server", []hearing{a.flow("a", 700), a.flow("a", 980)}, nil},
		{"three servers of many stand still", []hearing{a.flow("a", 800), a.flow("b", 800), a.flow("c", 800), a.flow("d", 980), a.flow("e", 980)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"all connections, before the dials", []hearing{a.flow("a", 800), a.flow("b", 810), a.flow("c", 790)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"several servers are lost together, and the others quiet", []hearing{a.flow("a", 800), a.flow("b", 800), a.flow("c", 810).reachedAt(dialed), a.flow("d", 850).reachedAt(dialed), a.flow("e", 860).reachedAt(dialed)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"all connections", []hearing{a.flow("a", 800).reachedAt(dialed), a.flow("b", 810).reachedAt(dialed), a.flow("c", 790).reachedAt(dialed)},
			[]string{"0 many", "1 many", "2 many"}},
		{"and a request whose time is not up", []hearing{a.flow("a", 800).reachedAt(dialed), a.flow("b", 810).reachedAt(dialed), a.flow("c", 790).reachedAt(dialed), a.wait("d", 820).reachedAt(dialed)},
			[]string{"0 many", "1 many", "2 many", "3 many"}},
		{"and one at an address that was not dialed yet", []hearing{a.flow("a", 800).reachedAt(dialed), a.flow("b", 810).reachedAt(dialed), a.flow("c", 790).reachedAt(dialed), a.wait("d", 820)},
			[]string{"0 many", "1 many", "2 many", "3 suspected dial"}},
		{"but not one that was just sent", []hearing{a.flow("a", 800).reachedAt(dialed), a.flow("b", 810).reachedAt(dialed), a.flow("c", 790).reachedAt(dialed), a.wait("d", 950)},
			[]string{"0 many", "1 many", "2 many"}},
		{"nor one over a new connection", []hearing{a.flow("a", 800).reachedAt(dialed), a.flow("b", 810).reachedAt(dialed), a.flow("c", 790).reachedAt(dialed), a.wait("d", 830).madeAt(a.at(825)).reachedAt(dialed)},
			[]string{"0 many", "1 many", "2 many"}},
		{"also where new connections are answered on", []hearing{a.flow("a", 800).reachedAt(dialed), a.flow("b", 810).reachedAt(dialed), a.flow("c", 790).reachedAt(dialed), a.flow("d", 990).madeAt(a.at(850))},
			[]string{"0 many", "1 many", "2 many"}},
		{"an old one that ended was heard since", []hearing{a.flow("a", 500).reachedAt(dialed), a.flow("b", 510).reachedAt(dialed), a.flow("c", 490).reachedAt(dialed), a.flow("d", 700).overAt(a.at(710))},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"one after the other, some given up", []hearing{a.wait("a", 650).reachedAt(dialed), a.wait("b", 0).overAt(a.at(400)).reachedAt(dialed), a.wait("c", 400).overAt(a.at(800)).reachedAt(dialed)},
			[]string{"0 many"}},
		{"a newer connection is answered on", []hearing{a.flow("a", 700), a.flow("a", 980).madeAt(a.at(800))}, []string{"0 newer"}},
		{"it was not heard for long", []hearing{a.flow("a", 800), a.flow("a", 940).madeAt(a.at(900))}, []string{"0 suspected"}},
		{"plain requests take their own time", []hearing{plain, a.flow("a", 980).madeAt(a.at(800))}, []string{"0 suspected"}},
	}
	for _, test := range tests {
		now := a.at(1000)
		everywhere := silentEverywhere(now, usualQuiet, test.all)
		if !isReached(now, everywhere, test.all) {
			everywhere = time.Time{}
		}
		found := judge(now, everywhere, test.all)
		var got []string
		for _, f := range found {
			text := strconv.Itoa(f.index) + " " + string(f.evidence)
			if f.dial {
				text += " dial"
			}
			got = append(got, text)
		}
		if len(got) != len(test.want) {
			t.Errorf("%s: found %q, want %q", test.name, got, test.want)
			continue
		}
		for i := range got {
			if got[i] != test.want[i] {
				t.Errorf("%s: found %q, want %q", test.name, got, test.want)
			}
		}
	}
}

// What was silent while this process stood still is silent from when it went on.
func TestOwnStandstillIsNoSilence(t *testing.T) {
	f := newFixture(t, serviceconfig.Repeatable, false, newStandIn(t, "i-1", breakOff))
	b := f.gateway.backends.of("menu")[0]
	index := f.gateway.index.Load()
	service, _ := index.Service("menu")
	route, _ := index.Route("menus.example", "/draft/x")
	start := time.Unix(1000, 0)
	var s silences
	q := &request{service: service, route: route}
	l := &listening{silences: &s, exchange: &exchange{request: q, backend: b}, made: start, sent: start, heard: start, due: leastSilence}
	s.begin(l, func() {})
	s.looked = start
	if _, all := s.hearings(start.Add(lookEvery)); !all[0].since.Equal(start) {
		t.Fatalf("silent since %s", all[0].since.Sub(start))
	}
	late := start.Add(time.Second)
	if _, all := s.hearings(late); !all[0].since.Equal(late) {
		t.Fatalf("after a standstill silent since %s", all[0].since.Sub(start))
	}
	if s.lookAgain(func() {}); !s.looking {
		t.Fatal("it does not look on although an attempt is under way")
	}
	s.end(l)
	if s.lookAgain(func() {}); s.looking {
		t.Fatal("it looks on although nothing is under way")
	}
}

func TestUsualIsTheLongestOfLate(t *testing.T) {
	var u usual
	now := time.Unix(1000, 0)
	for i := range fewestValues {
		if _, known := u.longest(now); known {
			t.Fatalf("known after %d values", i)
		}
		u.saw(now, time.Duration(i)*time.Millisecond)
	}
	if longest, known := u.longest(now.Add(usualLife + time.Second)); !known || longest != (fewestValues-1)*time.Millisecond {
		t.Fatalf("%s, %t", longest, known)
	}
	if _, known := u.longest(now.Add(4 * usualLife)); known {
		t.Fatal("what is long over counts still")
	}
}
