// ================================================================
// The expiry of weights versions. The version that a backend server serves expires when the next
// version has been named for the rollout limit. No request may begin on it afterwards.
//
// Three mechanisms ensure this; each covers a gap of the others:
//
//   - The choice excludes servers where the request would not end in time, as long as another
//     server has a free slot (versions.go).
//   - A waiting attempt of an idempotent request is canceled in time, by the current knowledge
//     of versions and not by that at its start: a gateway that has just started receives
//     versions and their ages late. The closing of the connection queues behind chunks on its
//     link, so the cancellation comes earlier during transfers.
//   - A request that is not idempotent can't be canceled. If it should end in time, also by
//     recent run times, it carries the remaining time as its deadline, and the backend server
//     drops it after that.
//
// A request may run past the expiry once it has begun. A deadline would also end a request that
// already runs, so none is sent where the gateway can cancel the request.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

const (
	// defaultCancelMargin is how long before a version expires a waiting request is canceled: the
	// closing of the connection takes at most that long to reach a backend server.
	defaultCancelMargin = 600 * time.Millisecond
	// transferCancelMargin is the same during chunk transfers on the link, where the closing
	// queues behind several chunks.
	transferCancelMargin = time.Second
	// versionDeadlineMargin is how long before a version expires the deadline of a request ends.
	// It covers the latency to the backend server, where the deadline starts to count, and that
	// of version updates to this gateway. During chunk transfers defaultCancelMargin applies
	// instead.
	versionDeadlineMargin = 100 * time.Millisecond
)

// versionExpiry is what is known of the expiry of a version. The zero value is no version, or one
// that does not expire.
type versionExpiry struct {
	served         uint64        // the version that the backend server serves
	at             time.Time     // the expiry; zero if no later version is named
	deadlineMargin time.Duration // how long before the expiry the deadline of a request ends
	cancelMargin   time.Duration // how long before the expiry a waiting request is canceled
	boundsDeadline bool          // whether the expiry limits the deadline of this request
}

// needsVersionDeadline reports whether the request carries the expiry of its version as its
// deadline: it is not idempotent and should end in time, also by recent run times.
func (x *exchange) needsVersionDeadline(now time.Time) bool {
	q := x.request
	return !q.route.Idempotent() && q.versionExpiry.expires() && q.versionExpiry.deadlineLeft() > max(q.maxRunTime(&x.gateway.silenceDetector, now), minAttemptTime)
}

// mustCancel reports whether it is time to cancel a waiting request.
func (e versionExpiry) mustCancel() bool { return e.expires() && time.Until(e.at) <= e.cancelMargin }

// deadlineLeft is the longest deadline that a request may get now.
func (e versionExpiry) deadlineLeft() time.Duration { return time.Until(e.at) - e.deadlineMargin }

// expires reports whether the version has an expiry.
func (e versionExpiry) expires() bool { return !e.at.IsZero() }

// versionExpiryOf returns the expiry of the version that a backend server serves of a request's
// model, by current knowledge. If the version is unknown, for instance while an order is being
// executed, it uses the one known before, or else the oldest that may still serve.
func (g *Gateway) versionExpiryOf(q *request, b *backend, previous uint64) versionExpiry {
	engine := q.service.Engine()
	if engine.Slots() == 0 || q.model == "" {
		return versionExpiry{}
	}
	expiry := versionExpiry{served: b.servedVersion(q.model, max(engine.Layers(), 1)), deadlineMargin: versionDeadlineMargin, cancelMargin: b.versionCancelMargin()}
	if b.isTransferringChunks(time.Now()) {
		expiry.deadlineMargin = defaultCancelMargin
	}
	if expiry.served == 0 {
		expiry.served = previous
	}
	if expiry.served == 0 {
		expiry.served = g.versions.Due(q.model, g.settings.RolloutLimit(), time.Now())
	}
	if next := g.versions.Next(q.model, expiry.served); next.Version() > 0 {
		expiry.at = next.NamedAt().Add(g.settings.RolloutLimit())
	}
	return expiry
}

// recordRunTime records how long a request ran until its end, or until its deadline cut it.
func (q *request) recordRunTime(s *silenceDetector, now time.Time, took time.Duration) {
	if q.maxRun > 0 {
		took = took * time.Second / q.maxRun
	}
	s.record(timingKey{q.service.Name(), timingRun}, now, took)
}

// maxRunTime is the longest expected run time of a request, or 0 if unknown. At an engine it is
// the estimate for the request's size, scaled up by recent run times; elsewhere it is the recent
// run time. Engines on VMs that are short of CPU time take several times what the configuration
// says.
func (q *request) maxRunTime(s *silenceDetector, now time.Time) time.Duration {
	recent := s.recentLimit(timingKey{q.service.Name(), timingRun}, now)
	if q.maxRun == 0 {
		return recent
	}
	return max(q.maxRun, time.Duration(float64(q.maxRun)*recent.Seconds()))
}

// timeAllowed is how long a backend server may work on a request: the caller's remaining time,
// limited by the expiry of the version there if boundsDeadline is set.
func (q *request) timeAllowed() time.Duration {
	left := q.remaining()
	if q.versionExpiry.boundsDeadline {
		left = min(left, q.versionExpiry.deadlineLeft())
	}
	return left
}

// versionDeadlinePassed reports whether the deadline that came from the expiry of the version has
// passed. The backend server counts whole milliseconds and may end a little earlier.
func (q *request) versionDeadlinePassed() bool {
	return q.versionExpiry.boundsDeadline && q.remaining() > minAttemptTime && q.timeAllowed() < minAttemptTime
}

// untilCancel is how much longer an attempt may wait for its first event, by current knowledge of
// the version where it waits. It returns false if that does not expire.
func (w *watchdog) untilCancel() (time.Duration, bool) {
	q := w.exchange.request
	expiry := w.exchange.gateway.versionExpiryOf(q, w.exchange.backend, w.servedVersion)
	return time.Until(expiry.at) - expiry.cancelMargin, expiry.expires()
}

// cancelExpired cancels the attempt if it still waits for its first event and the version there
// is about to expire. It reports whether it did.
func (w *watchdog) cancelExpired() bool {
	left, expires := w.untilCancel()
	if !expires || left > 0 {
		return false
	}
	stage := w.exchange.stage(w.streaming.Load())
	if !w.exchange.mayInterrupt(interruptExpiry, stage, time.Now()) || !w.exchange.abandonWait() {
		return false
	}
	w.exchange.gateway.recordInterrupted(w.exchange.request, interruptExpiry, stage)
	w.versionExpired.Store(true)
	w.lateBy.Store(int64(-left))
	w.exchange.conn.Abort()
	return true
}

// ----------------------------------------------------------------
// Version updates while requests wait

// watchdogSet holds the watchdogs of the current attempts.
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

// checkNow triggers a check of all watchdogs after a version update.
func (s *watchdogSet) checkNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.all {
		w.timer.Reset(0)
	}
}
