package reservation

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// testEngine has 12 places, passes of about 50 ms, and reads a usual prompt in 50 ms.
func testEngine() serviceconfig.Engine {
	return serviceconfig.NewEngine(12, []string{"menu"}, 1, 96, 24576, 9*time.Millisecond, 40*time.Microsecond, 20000, 1000, 100, 0, 5)
}

// slowEngine cannot begin any request within the objective.
func slowEngine() serviceconfig.Engine {
	return serviceconfig.NewEngine(4, []string{"menu"}, 1, 96, 24576, 9*time.Millisecond, 0, 1000, 4000, 100, 0, 5)
}

const objective = 400 * time.Millisecond

func usualRequest() Request { return NewRequest(1000, objective, objective) }

// An engine does not report the prompts that it is reading: one that came back
// empty was granted eleven in 0.1 s and began the last of them after 1.1 s.
func TestGrantsCountUntilRequestsStart(t *testing.T) {
	var b Controller
	now := time.Now()
	granted := 0
	for range 11 {
		if ok, _, _ := b.Decide(now, testEngine(), Work{}, usualRequest()); ok {
			granted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if most := int(objective / (50 * time.Millisecond)); granted < 3 || granted > most {
		t.Fatalf("%d of 11 requests granted to an engine that reads %d prompts within the objective", granted, most)
	}
	now = now.Add(time.Second)
	if ok, begins, _ := b.Decide(now, testEngine(), Work{Running: granted}, usualRequest()); !ok || begins > objective/2 {
		t.Fatalf("after all have begun: granted %t, begins after %s", ok, begins)
	}
}

func TestDecisions(t *testing.T) {
	tests := []struct {
		name    string
		engine  serviceconfig.Engine
		work    Work
		ask     Request
		granted bool
	}{
		{"idle", testEngine(), Work{}, usualRequest(), true},
		{"idle, only without a wait", testEngine(), Work{Running: 11}, NewRequest(1000, 0, objective), true},
		{"a prompt before it, only without a wait", testEngine(), Work{Running: 5, Queued: 1}, NewRequest(1000, 0, objective), false},
		{"a prompt before it", testEngine(), Work{Running: 5, Queued: 1}, usualRequest(), true},
		{"all places taken", testEngine(), Work{Running: 12}, usualRequest(), true},
		{"all places taken and two wait", testEngine(), Work{Running: 12, Queued: 2}, usualRequest(), false},
		{"slow for a step", testEngine(), Work{Running: 12, StepTimeRatio: 4}, usualRequest(), false},
		{"idle, late even alone", slowEngine(), Work{}, usualRequest(), true},
		{"late even alone, and one waits", slowEngine(), Work{Queued: 1}, usualRequest(), false},
		{"those who write would pause too long", testEngine(), Work{Running: 6, Queued: 2}, NewRequest(1000, time.Hour, 150*time.Millisecond), false},
		{"the length of the prompt is not known", testEngine(), Work{Running: 5}, NewRequest(0, objective, objective), true},
	}
	for _, test := range tests {
		var b Controller
		if granted, begins, _ := b.Decide(time.Now(), test.engine, test.work, test.ask); granted != test.granted {
			t.Errorf("%s: granted %t, begins after %s", test.name, granted, begins)
		}
	}
}

// A configuration may not say what an engine needs for a request.
func TestEngineWithoutRatesFillsItsSlots(t *testing.T) {
	var b Controller
	e := serviceconfig.NewEngine(4, []string{"menu"}, 1, 96, 24576, 0, 0, 0, 0, 0, 0, 0)
	if granted, _, _ := b.Decide(time.Now(), e, Work{Running: 3}, usualRequest()); !granted {
		t.Fatal("a free place is not granted")
	}
}
