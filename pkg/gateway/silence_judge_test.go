package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// attemptsAt builds attempts around a moment, t ms after an arbitrary start.
type attemptsAt struct{ start time.Time }

func (a attemptsAt) at(ms int) time.Time { return a.start.Add(time.Duration(ms) * time.Millisecond) }

// stream is a stream at an engine over an old connection, silent since some time.
func (a attemptsAt) stream(address string, since int) attemptSnapshot {
	return attemptSnapshot{address: address, connectedAt: a.at(-5000), silentSince: a.at(since), silenceLimit: 150 * time.Millisecond, received: true, streaming: true, engine: true}
}

// waiting is a request that was sent some time ago over an old connection.
func (a attemptsAt) waiting(address string, since int) attemptSnapshot {
	return attemptSnapshot{address: address, connectedAt: a.at(-5000), silentSince: a.at(since), silenceLimit: 300 * time.Millisecond, engine: true}
}

func (h attemptSnapshot) withConnectedAt(t time.Time) attemptSnapshot  { h.connectedAt = t; return h }
func (h attemptSnapshot) withDialAnswered(t time.Time) attemptSnapshot { h.dialAnswered = t; return h }
func (h attemptSnapshot) withEndedAt(t time.Time) attemptSnapshot      { h.endedAt = t; return h }

// What is found at 1000 ms; a finding is written as its hearing, its evidence and
// whether a dial is asked for.
func TestDetectSilentConnections(t *testing.T) {
	a := attemptsAt{time.Unix(1000, 0)}
	const usualQuiet = 60 * time.Millisecond
	dialAnswered := a.at(960)
	plain := a.waiting("a", 600)
	plain.engine = false
	tests := []struct {
		name string
		all  []attemptSnapshot
		want []string
	}{
		{"all is usual", []attemptSnapshot{a.stream("a", 900), a.stream("b", 950), a.waiting("c", 800)}, nil},
		{"one server stands still", []attemptSnapshot{a.stream("a", 800), a.stream("b", 950), a.stream("c", 960), a.stream("d", 970)}, []string{"0 suspected"}},
		{"one stream of several at a server", []attemptSnapshot{a.stream("a", 700), a.stream("a", 980)}, nil},
		{"three servers of many stand still", []attemptSnapshot{a.stream("a", 800), a.stream("b", 800), a.stream("c", 800), a.stream("d", 980), a.stream("e", 980)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"all connections, before the dials", []attemptSnapshot{a.stream("a", 800), a.stream("b", 810), a.stream("c", 790)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"several servers are lost together, and the others quiet", []attemptSnapshot{a.stream("a", 800), a.stream("b", 800), a.stream("c", 810).withDialAnswered(dialAnswered), a.stream("d", 850).withDialAnswered(dialAnswered), a.stream("e", 860).withDialAnswered(dialAnswered)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"all connections", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered)},
			[]string{"0 many", "1 many", "2 many"}},
		{"and a request whose time is not up", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.waiting("d", 820).withDialAnswered(dialAnswered)},
			[]string{"0 many", "1 many", "2 many", "3 many"}},
		{"and one at an address that was not dialed yet", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.waiting("d", 820)},
			[]string{"0 many", "1 many", "2 many", "3 suspected dial"}},
		{"but not one that was just sent", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.waiting("d", 950)},
			[]string{"0 many", "1 many", "2 many"}},
		{"nor one over a new connection", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.waiting("d", 830).withConnectedAt(a.at(825)).withDialAnswered(dialAnswered)},
			[]string{"0 many", "1 many", "2 many"}},
		{"also where new connections are answered on", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.stream("d", 990).withConnectedAt(a.at(850))},
			[]string{"0 many", "1 many", "2 many"}},
		{"an old one that ended was heard since", []attemptSnapshot{a.stream("a", 500).withDialAnswered(dialAnswered), a.stream("b", 510).withDialAnswered(dialAnswered), a.stream("c", 490).withDialAnswered(dialAnswered), a.stream("d", 700).withEndedAt(a.at(710))},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"one after the other, some given up", []attemptSnapshot{a.waiting("a", 650).withDialAnswered(dialAnswered), a.waiting("b", 0).withEndedAt(a.at(400)).withDialAnswered(dialAnswered), a.waiting("c", 400).withEndedAt(a.at(800)).withDialAnswered(dialAnswered)},
			[]string{"0 many"}},
		{"a newer connection is answered on", []attemptSnapshot{a.stream("a", 700), a.stream("a", 980).withConnectedAt(a.at(800))}, []string{"0 newer"}},
		{"it was not heard for long", []attemptSnapshot{a.stream("a", 800), a.stream("a", 940).withConnectedAt(a.at(900))}, []string{"0 suspected"}},
		{"plain requests take their own time", []attemptSnapshot{plain, a.stream("a", 980).withConnectedAt(a.at(800))}, []string{"0 suspected"}},
	}
	for _, test := range tests {
		now := a.at(1000)
		globalSince := globalSilenceSince(now, usualQuiet, test.all)
		if !mostAddressesReached(now, globalSince, test.all) {
			globalSince = time.Time{}
		}
		found := detectSilent(now, globalSince, test.all)
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
func TestProcessPauseIsNotCountedAsSilence(t *testing.T) {
	f := newFixture(t, serviceconfig.Repeatable, false, newStandIn(t, "i-1", breakOff))
	b := f.gateway.backends.of("menu")[0]
	index := f.gateway.index.Load()
	service, _ := index.Service("menu")
	route, _ := index.Route("menus.example", "/draft/x")
	start := time.Unix(1000, 0)
	var detector silenceDetector
	q := &request{service: service, route: route}
	monitor := &attemptMonitor{detector: &detector, exchange: &exchange{request: q, backend: b}, connectedAt: start, sentAt: start, lastReceived: start, silenceLimit: minSilence}
	detector.add(monitor, func() {})
	detector.lastCheck = start
	if _, all := detector.snapshots(start.Add(silenceCheckInterval)); !all[0].silentSince.Equal(start) {
		t.Fatalf("silent since %s", all[0].silentSince.Sub(start))
	}
	late := start.Add(time.Second)
	if _, all := detector.snapshots(late); !all[0].silentSince.Equal(late) {
		t.Fatalf("after a standstill silent since %s", all[0].silentSince.Sub(start))
	}
	if detector.scheduleNext(func() {}); !detector.scheduled {
		t.Fatal("it does not look on although an attempt is under way")
	}
	detector.remove(monitor)
	if detector.scheduleNext(func() {}); detector.scheduled {
		t.Fatal("it looks on although nothing is under way")
	}
}

func TestRecentMax(t *testing.T) {
	var u recentMax
	now := time.Unix(1000, 0)
	for i := range minSamples {
		if _, known := u.longest(now); known {
			t.Fatalf("known after %d values", i)
		}
		u.observe(now, time.Duration(i)*time.Millisecond)
	}
	if longest, known := u.longest(now.Add(sampleWindow + time.Second)); !known || longest != (minSamples-1)*time.Millisecond {
		t.Fatalf("%s, %t", longest, known)
	}
	if _, known := u.longest(now.Add(4 * sampleWindow)); known {
		t.Fatal("what is long over counts still")
	}
}
