package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// attemptsAt builds snapshots of attempts with times in milliseconds after an arbitrary start.
type attemptsAt struct{ start time.Time }

func (a attemptsAt) at(ms int) time.Time { return a.start.Add(time.Duration(ms) * time.Millisecond) }

// stream is a stream at an engine over an old connection, silent since a time.
func (a attemptsAt) stream(address string, since int) attemptSnapshot {
	return attemptSnapshot{address: address, connectedAt: a.at(-5000), silentSince: a.at(since), silenceLimit: 150 * time.Millisecond, received: true, streaming: true, engine: true}
}

// waiting is a request without an answer, sent at a time over an old connection.
func (a attemptsAt) waiting(address string, since int) attemptSnapshot {
	return attemptSnapshot{address: address, connectedAt: a.at(-5000), silentSince: a.at(since), silenceLimit: 300 * time.Millisecond, engine: true}
}

func (a attemptSnapshot) withConnectedAt(t time.Time) attemptSnapshot  { a.connectedAt = t; return a }
func (a attemptSnapshot) withDialAnswered(t time.Time) attemptSnapshot { a.dialAnswered = t; return a }
func (a attemptSnapshot) withEndedAt(t time.Time) attemptSnapshot      { a.endedAt = t; return a }

// TestDetectSilentConnections checks the findings at 1000 ms. A finding is written as the index of
// the snapshot, the evidence, and "dial" if a dial is needed.
func TestDetectSilentConnections(t *testing.T) {
	a := attemptsAt{time.Unix(1000, 0)}
	const recentQuiet = 60 * time.Millisecond
	dialAnswered := a.at(960)
	plain := a.waiting("a", 600)
	plain.engine = false
	tests := []struct {
		name string
		all  []attemptSnapshot
		want []string
	}{
		{"nothing is overdue", []attemptSnapshot{a.stream("a", 900), a.stream("b", 950), a.waiting("c", 800)}, nil},
		{"one server stalls", []attemptSnapshot{a.stream("a", 800), a.stream("b", 950), a.stream("c", 960), a.stream("d", 970)}, []string{"0 suspected"}},
		{"one of two streams at a server is silent", []attemptSnapshot{a.stream("a", 700), a.stream("a", 980)}, nil},
		{"three servers of several stall", []attemptSnapshot{a.stream("a", 800), a.stream("b", 800), a.stream("c", 800), a.stream("d", 980), a.stream("e", 980)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"all connections are silent, before the dials", []attemptSnapshot{a.stream("a", 800), a.stream("b", 810), a.stream("c", 790)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"two servers fail together while the others are quiet", []attemptSnapshot{a.stream("a", 800), a.stream("b", 800), a.stream("c", 810).withDialAnswered(dialAnswered), a.stream("d", 850).withDialAnswered(dialAnswered), a.stream("e", 860).withDialAnswered(dialAnswered)},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"all connections are silent", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered)},
			[]string{"0 many", "1 many", "2 many"}},
		{"all silent, and a request that is not overdue", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.waiting("d", 820).withDialAnswered(dialAnswered)},
			[]string{"0 many", "1 many", "2 many", "3 many"}},
		{"all silent, and a request at an address that was not dialed yet", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.waiting("d", 820)},
			[]string{"0 many", "1 many", "2 many", "3 suspected dial"}},
		{"all silent, except a request that was just sent", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.waiting("d", 950)},
			[]string{"0 many", "1 many", "2 many"}},
		{"all silent, except a request over a new connection", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.waiting("d", 830).withConnectedAt(a.at(825)).withDialAnswered(dialAnswered)},
			[]string{"0 many", "1 many", "2 many"}},
		{"all silent, while a new connection receives events", []attemptSnapshot{a.stream("a", 800).withDialAnswered(dialAnswered), a.stream("b", 810).withDialAnswered(dialAnswered), a.stream("c", 790).withDialAnswered(dialAnswered), a.stream("d", 990).withConnectedAt(a.at(850))},
			[]string{"0 many", "1 many", "2 many"}},
		{"an old connection received bytes since, and its attempt ended", []attemptSnapshot{a.stream("a", 500).withDialAnswered(dialAnswered), a.stream("b", 510).withDialAnswered(dialAnswered), a.stream("c", 490).withDialAnswered(dialAnswered), a.stream("d", 700).withEndedAt(a.at(710))},
			[]string{"0 suspected", "1 suspected", "2 suspected"}},
		{"requests one after the other, some ended", []attemptSnapshot{a.waiting("a", 650).withDialAnswered(dialAnswered), a.waiting("b", 0).withEndedAt(a.at(400)).withDialAnswered(dialAnswered), a.waiting("c", 400).withEndedAt(a.at(800)).withDialAnswered(dialAnswered)},
			[]string{"0 many"}},
		{"a newer connection receives events", []attemptSnapshot{a.stream("a", 700), a.stream("a", 980).withConnectedAt(a.at(800))}, []string{"0 newer"}},
		{"a newer connection received events for too short a time", []attemptSnapshot{a.stream("a", 800), a.stream("a", 940).withConnectedAt(a.at(900))}, []string{"0 suspected"}},
		{"plain requests are no evidence against a newer stream", []attemptSnapshot{plain, a.stream("a", 980).withConnectedAt(a.at(800))}, []string{"0 suspected"}},
	}
	for _, test := range tests {
		now := a.at(1000)
		globalSince := globalSilenceSince(now, recentQuiet, test.all)
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

// After a pause of this process, silence counts from the end of the pause.
func TestProcessPauseIsNotCountedAsSilence(t *testing.T) {
	f := newFixture(t, serviceconfig.Repeatable, false, newFakeBackend(t, "i-1", closeWithoutResponse))
	b := f.gateway.backends.forService("menu")[0]
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
		t.Fatalf("after a pause of the process silent since %s", all[0].silentSince.Sub(start))
	}
	if detector.scheduleNext(func() {}); !detector.scheduled {
		t.Fatal("no next check is scheduled although an attempt is active")
	}
	detector.remove(monitor)
	if detector.scheduleNext(func() {}); detector.scheduled {
		t.Fatal("a check is scheduled although no attempt is active")
	}
}

func TestRecentMax(t *testing.T) {
	var u recentMax
	now := time.Unix(1000, 0)
	for i := range minSamples {
		if _, known := u.longest(now); known {
			t.Fatalf("known after %d samples", i)
		}
		u.observe(now, time.Duration(i)*time.Millisecond)
	}
	if longest, known := u.longest(now.Add(sampleWindow + time.Second)); !known || longest != (minSamples-1)*time.Millisecond {
		t.Fatalf("%s, %t", longest, known)
	}
	if _, known := u.longest(now.Add(4 * sampleWindow)); known {
		t.Fatal("expired samples still count")
	}
}
