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
	// defaultCancelMargin is how long before a version lapses a request that has not begun on it
	// is taken back: the break takes that long to a backend server at the worst.
	defaultCancelMargin = 600 * time.Millisecond
	// transferCancelMargin is the same where chunks are on the link: the break lies behind several.
	transferCancelMargin = time.Second
	// versionDeadlineMargin is how long before a version lapses the request's own deadline ends:
	// the way to the backend server, from where it counts, and the word of the version to
	// this gateway. While chunks are on that way it is lapseMargin.
	versionDeadlineMargin = 100 * time.Millisecond
)

// versionExpiry is what is known of a version's end. The zero value is a version that does not
// lapse, or none.
type versionExpiry struct {
	served         uint64        // the version that the backend server serves
	at             time.Time     // when its time ends; zero when no later version is named
	deadlineMargin time.Duration // how long before that a request's own deadline ends
	cancelMargin   time.Duration // how long before that a request that waits is taken back
	boundsDeadline bool          // the request's own deadline ends there
}

// needsVersionDeadline tells whether the request carries the end of its version as its deadline: it
// may run once and should be over by then, also if it runs as slowly as those of late.
func (x *exchange) needsVersionDeadline(now time.Time) bool {
	q := x.request
	return !q.route.Idempotent() && q.versionExpiry.expires() && q.versionExpiry.deadlineLeft() > max(q.maxRunTime(&x.gateway.silenceDetector, now), minAttemptTime)
}

// mustCancel tells whether a request that waits is taken back by now.
func (l versionExpiry) mustCancel() bool { return l.expires() && time.Until(l.at) <= l.cancelMargin }

// deadlineLeft is for how long a request's own deadline may still be.
func (l versionExpiry) deadlineLeft() time.Duration { return time.Until(l.at) - l.deadlineMargin }

// expires tells whether the version's time ends.
func (l versionExpiry) expires() bool { return !l.at.IsZero() }

// versionExpiryOf returns the lapse of the version that a backend server serves of a request's
// model, as known now. Where none is known now, for instance while an order is under way,
// it is the one known before, or the oldest that may still serve.
func (g *Gateway) versionExpiryOf(q *request, b *backend, before uint64) versionExpiry {
	engine := q.service.Engine()
	if engine.Slots() == 0 || q.model == "" {
		return versionExpiry{}
	}
	l := versionExpiry{served: b.servedVersion(q.model, max(engine.Layers(), 1)), deadlineMargin: versionDeadlineMargin, cancelMargin: b.versionCancelMargin()}
	if b.isTransferringChunks(time.Now()) {
		l.deadlineMargin = defaultCancelMargin
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

// recordRunTime learns from a request that ran for a time: until its end, or until its deadline
// cut it.
func (q *request) recordRunTime(s *silenceDetector, now time.Time, took time.Duration) {
	if q.maxRun > 0 {
		took = took * time.Second / q.maxRun
	}
	s.record(timingKey{q.service.Name(), timingRun}, now, took)
}

// maxRunTime is how long a request runs at the most: at an engine by its size and by how
// long those of late ran for theirs, elsewhere as long as those of late; 0 where that is not
// known. Engines on VMs that are short of processor time take several times what the
// configuration says of them.
func (q *request) maxRunTime(s *silenceDetector, now time.Time) time.Duration {
	ofLate := s.recentLimit(timingKey{q.service.Name(), timingRun}, now)
	if q.maxRun == 0 {
		return ofLate
	}
	return max(q.maxRun, time.Duration(float64(q.maxRun)*ofLate.Seconds()))
}

// timeAllowed is how long a backend server may work on a request: what is left to its caller,
// and no longer than the version there may serve, where it should be over by then.
func (q *request) timeAllowed() time.Duration {
	left := q.remaining()
	if q.versionExpiry.boundsDeadline {
		left = min(left, q.versionExpiry.deadlineLeft())
	}
	return left
}

// versionDeadlinePassed tells whether what the backend server was allowed ended with its version, and
// is over. It counts whole milliseconds and may end a little earlier.
func (q *request) versionDeadlinePassed() bool {
	return q.versionExpiry.boundsDeadline && q.remaining() > minAttemptTime && q.timeAllowed() < minAttemptTime
}

// untilCancel is for how long yet an attempt may wait for its first event, by what is
// known now of the version where it waits; false while that does not lapse.
func (w *watchdog) untilCancel() (time.Duration, bool) {
	q := w.exchange.request
	l := w.exchange.gateway.versionExpiryOf(q, w.exchange.backend, w.servedVersion)
	return time.Until(l.at) - l.cancelMargin, l.expires()
}

// cancelExpired takes the attempt back when it waits for its first event and the version
// where it waits is about to lapse.
func (w *watchdog) cancelExpired() bool {
	left, lapses := w.untilCancel()
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

// watchdogSet holds the watchdogs of the attempts under way.
type watchdogSet struct {
	mu  sync.Mutex
	all map[*watchdog]bool
}

func newWatchdogSet() *watchdogSet { return &watchdogSet{all: map[*watchdog]bool{}} }

func (s *watchdogSet) add(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[w] = true
}

func (s *watchdogSet) remove(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, w)
}

// checkNow has all watchdogs look: a version, or an earlier naming of one, was heard of.
func (s *watchdogSet) checkNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.all {
		w.timer.Reset(0)
	}
}
