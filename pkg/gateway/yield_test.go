package gateway

import (
	"testing"
	"time"
)

// Seen: after all connections had fallen silent, every engine was full for a second and
// more, and first tries were refused. The runs that were lost went on at the engines, and
// each of them was sent again at once. Proved by who gets the one place here.
func TestLostRequestYieldsToFirstTries(t *testing.T) {
	s := &stagerStandIn{idle: idleBegin, waits: map[string]time.Duration{"127.0.0.11:1": 300 * time.Millisecond, "127.0.0.12:1": 300 * time.Millisecond, "127.0.0.13:1": 300 * time.Millisecond}}
	g, q := newReserving(t, s)
	q.sent, q.mayHaveRun, q.begun, q.run = 1, true, true, time.Minute
	q.silentAt = time.Now()
	if b, _ := g.choosePlace(q, wanted{service: "menu", engine: testEngine(), tried: q.tried}); b != nil || len(s.asked) > yieldAsks {
		t.Fatalf("a stream that was lost took a place that others wait for at %v, asked %v", b, s.asked)
	}
	s.waits["127.0.0.11:1"], s.waits["127.0.0.12:1"], s.waits["127.0.0.13:1"] = idleBegin, idleBegin, idleBegin
	if b, _ := g.pick(q); b == nil {
		t.Fatal("a stream that was lost was given up while engines have places")
	}
	// One whose lost run is over does not yield.
	for i := range s.waits {
		s.waits[i] = 300 * time.Millisecond
	}
	q.run = 0
	if b, _ := g.pick(q); b == nil {
		t.Fatal("a stream whose lost run is over was given up")
	}
}
