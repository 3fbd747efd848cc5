// ================================================================
// When the version of the weights lapses that a backend server serves: at the end of the
// agreed time of the oldest version above it. No request may begin on it afterwards.
//
// Three things see to that, each where the others are blind:
//
//   - the choice leaves out where the request would not be over by then, as long as
//     another backend server has a place (versions.go);
//   - an attempt of a request that may be repeated is taken back while it waits, by what is
//     known now and not by what was known when it was sent: versions, and earlier namings of
//     them, are heard of late by a gateway that has just started. The break lies behind the
//     chunks on its link, so it comes earlier where there are any;
//   - a request that may run once cannot be taken back. One that should be over by then, also
//     if it runs as slowly as those of late, carries the time that is left as its deadline, and
//     the backend server drops it for itself.
//
// A request may run on past the end once it has begun, so a deadline is not sent where a break
// can do: the backend server can't tell the two apart.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

const (
	// lapseMargin is how long before a version lapses a request that has not begun on it
	// is taken back: the break takes that long to a backend server at the worst.
	lapseMargin = 600 * time.Millisecond
	// chunksMargin is the same where chunks are on the link: the break lies behind several.
	chunksMargin = time.Second
	// deadlineMargin is how long before a version lapses the request's own deadline ends:
	// the way to the backend server, from where it counts, and the word of the version to
	// this gateway. While chunks are on that way it is lapseMargin.
	deadlineMargin = 100 * time.Millisecond
)

// lapse is what is known of a version's end. The zero value is a version that does not
// lapse, or none.
type lapse struct {
	served uint64        // the version that the backend server serves
	at     time.Time     // when its time ends; zero when no later version is named
	margin time.Duration // how long before that a request's own deadline ends
	back   time.Duration // how long before that a request that waits is taken back
	bounds bool          // the request's own deadline ends there
}

// needsVersionDeadline tells whether the request carries the end of its version as its deadline: it
// may run once and should be over by then, also if it runs as slowly as those of late.
func (x *exchange) needsVersionDeadline(now time.Time) bool {
	q := x.request
	return !q.route.Idempotent() && q.versionExpiry.lapses() && q.versionExpiry.left() > max(q.longestRun(&x.gateway.silenceDetector, now), minAttemptTime)
}

// isOver tells whether a request that waits is taken back by now.
func (l lapse) isOver() bool { return l.lapses() && time.Until(l.at) <= l.back }

// left is for how long a request's own deadline may still be.
func (l lapse) left() time.Duration { return time.Until(l.at) - l.margin }

// lapses tells whether the version's time ends.
func (l lapse) lapses() bool { return !l.at.IsZero() }

// lapseOf returns the lapse of the version that a backend server serves of a request's
// model, as known now. Where none is known now, for instance while an order is under way,
// it is the one known before, or the oldest that may still serve.
func (g *Gateway) lapseOf(q *request, b *backend, before uint64) lapse {
	engine := q.service.Engine()
	if engine.Slots() == 0 || q.model == "" {
		return lapse{}
	}
	l := lapse{served: b.servedVersion(q.model, max(engine.Layers(), 1)), margin: deadlineMargin, back: b.takeBackMargin()}
	if b.isExchanging(time.Now()) {
		l.margin = lapseMargin
	}
	if l.served == 0 {
		l.served = before
	}
	if l.served == 0 {
		l.served = g.versions.Due(q.model, g.settings.WeightsWithin(), time.Now())
	}
	if next := g.versions.Next(q.model, l.served); next.Version() > 0 {
		l.at = next.Since().Add(g.settings.WeightsWithin())
	}
	return l
}

// sawRun learns from a request that ran for a time: until its end, or until its deadline
// cut it.
func (q *request) sawRun(s *silenceDetector, now time.Time, took time.Duration) {
	if q.maxRun > 0 {
		took = took * time.Second / q.maxRun
	}
	s.record(timingKey{q.service.Name(), timingRun}, now, took)
}

// longestRun is how long a request runs at the most: at an engine by its size and by how
// long those of late ran for theirs, elsewhere as long as those of late; 0 where that is not
// known. Engines on VMs that are short of processor time take several times what the
// configuration says of them.
func (q *request) longestRun(s *silenceDetector, now time.Time) time.Duration {
	ofLate := s.recentLimit(timingKey{q.service.Name(), timingRun}, now)
	if q.maxRun == 0 {
		return ofLate
	}
	return max(q.maxRun, time.Duration(float64(q.maxRun)*ofLate.Seconds()))
}

// allowed is how long a backend server may work on a request: what is left to its caller,
// and no longer than the version there may serve, where it should be over by then.
func (q *request) allowed() time.Duration {
	left := q.remaining()
	if q.versionExpiry.bounds {
		left = min(left, q.versionExpiry.left())
	}
	return left
}

// hasLapsed tells whether what the backend server was allowed ended with its version, and
// is over. It counts whole milliseconds and may end a little earlier.
func (q *request) hasLapsed() bool {
	return q.versionExpiry.bounds && q.remaining() > minAttemptTime && q.allowed() < minAttemptTime
}

// untilTakenBack is for how long yet an attempt may wait for its first event, by what is
// known now of the version where it waits; false while that does not lapse.
func (w *watchdog) untilTakenBack() (time.Duration, bool) {
	q := w.exchange.request
	l := w.exchange.gateway.lapseOf(q, w.exchange.backend, w.servedVersion)
	return time.Until(l.at) - l.back, l.lapses()
}

// takeBackLapsed takes the attempt back when it waits for its first event and the version
// where it waits is about to lapse.
func (w *watchdog) takeBackLapsed() bool {
	left, lapses := w.untilTakenBack()
	if !lapses || left > 0 {
		return false
	}
	stage := w.exchange.stage(w.streaming.Load())
	if !w.exchange.mayInterrupt(interruptExpiry, stage, time.Now()) {
		return false
	}
	w.exchange.gateway.recordInterrupted(w.exchange.request, interruptExpiry, stage)
	w.lapsed.Store(true)
	w.lateBy.Store(int64(-left))
	w.exchange.conn.Abort()
	return true
}

// ----------------------------------------------------------------
// What is heard of versions while requests wait

// waitingSet holds the watchdogs of the attempts under way.
type waitingSet struct {
	mu  sync.Mutex
	all map[*watchdog]bool
}

func newWaitingSet() *waitingSet { return &waitingSet{all: map[*watchdog]bool{}} }

func (s *waitingSet) add(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[w] = true
}

func (s *waitingSet) remove(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, w)
}

// lookNow has all watchdogs look: a version, or an earlier naming of one, was heard of.
func (s *waitingSet) lookNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.all {
		w.timer.Reset(0)
	}
}
