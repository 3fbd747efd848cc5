// ================================================================
// The gateway's view of one backend server: its registration, its reported load, the requests
// that this gateway has in flight there, and their results.
//
// Results of requests decide the health. Each consecutive failure doubles the backoff; after a
// backoff one request is let through as a probe.
// ================================================================

package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// initialBackoff and maxBackoff bound how long a failing backend server gets no requests.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// initialOverloadBackoff is how long a backend server that reports overload gets no requests.
	// It doubles with each consecutive report, up to maxOverloadBackoff.
	initialOverloadBackoff = 50 * time.Millisecond
	maxOverloadBackoff     = 400 * time.Millisecond
	// reportTTL is how long a load report of a stager is used.
	reportTTL = 2500 * time.Millisecond
	// failureWeight is the weight of a new outcome in the moving average failureRate.
	failureWeight = 0.15
	// slowdownWeight is the weight of a new measurement in the moving average slowdown.
	slowdownWeight = 0.2
)

// backend is one start of a backend server: a restart makes a new backend.
type backend struct {
	pool        *upstream.Pool
	address     string
	lastByteAt  atomicTime  // when the last bytes arrived from it
	dialing     atomic.Bool // whether dials that test its reachability are in progress
	dialTimes   dialTimes   // results of these dials
	crashProbes crashProbes // probes after ended connections, which show whether the server crashed

	mu                        sync.Mutex
	registration              registry.Registration
	inFlight                  int
	work                      time.Duration // estimated, of the requests of this gateway in flight there
	consecutiveFailures       int
	backoffUntil              time.Time
	overloadedUntil           time.Time
	consecutiveRejections     int
	failureRate               float64
	slowdown                  float64 // measured over expected time of its answers; 0 if unknown
	version                   uint64  // of the weights, from its answers; 0 if unknown
	reported                  reportedLoad
	waiting                   waitingRequests
	unreachable               bool      // dials to it fail
	stagerBackoffUntil        time.Time // until then its stager gets no reservation requests
	consecutiveStagerTimeouts int       // unanswered reservation requests in a row
	limit                     limitState
}

// load is a snapshot of a backend for the choice of a backend server.
type load struct {
	inFlight           int
	work               time.Duration
	inBackoff          bool
	overloaded         bool
	reservable         bool // its stager gets reservation requests
	stagerUnresponsive bool // its stager did not answer recently, and chunk transfers are not the cause
	unreachable        bool
	failureRate        float64
	slowdown           float64
	state              registry.State
	domain             string
	reported           reportedLoad
	fresh              bool          // reported is no older than reportTTL
	reportAge          time.Duration // age of reported
	oldestWait         time.Duration // the longest current wait of a request of this gateway for its first event
	heldUntil          time.Time     // until then its own rate limit allows no request
	nextPermit         time.Time     // when its own rate limit allows the next request
	limited            bool          // whether requests need a permit
	perSecond          float64       // its rate limit
	warmupEnd          time.Time     // when its warm-up ends
}

func newBackend(r registry.Registration) *backend {
	b := &backend{registration: r, address: r.Address(), pool: upstream.NewPool(r.Address()), reported: reportedLoad{rounding: rand.Float64()}}
	b.limit.updateWarmup(r, time.Now(), false)
	return b
}

func (b *backend) latestRegistration() registry.Registration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registration
}

// updateRegistration stores a newer registration, and reports whether the backend server drains from now on.
// A departure is handled by markGone instead.
func (b *backend) updateRegistration(r registry.Registration) (leaves bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.Supersedes(b.registration) {
		return false
	}
	leaves = r.State().Leaves() && !b.registration.State().Leaves()
	b.limit.updateWarmup(r, time.Now(), r.Sequence() == b.registration.Sequence())
	b.registration = r
	return leaves
}

// recordLoadReport stores a load report of the engine's stager. The weights version in it is
// newer than that of the last heartbeat.
func (b *backend) recordLoadReport(l feed.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported = newReportedLoad(l, time.Now(), b.reported)
}

// recordCurrentLoad stores a load that came with a reservation answer. It already counts all
// requests that were sent before.
func (b *backend) recordCurrentLoad(l feed.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported = newReportedLoad(l, time.Now(), reportedLoad{})
	b.consecutiveStagerTimeouts = 0
}

// ageLoadReport adds to the age of the load report the time for which the VM was suspended.
func (b *backend) ageLoadReport(by time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported.at = b.reported.at.Add(-by)
}

func (b *backend) load(now time.Time) load {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.registration
	return load{
		reported: b.reported, fresh: b.reported.isFresh(now), reportAge: now.Sub(b.reported.at),
		inFlight: b.inFlight, work: b.work, failureRate: b.failureRate, slowdown: b.slowdown,
		inBackoff:  now.Before(b.backoffUntil),
		oldestWait: b.waiting.oldestWait(now), unreachable: b.unreachable,
		reservable: b.canReserveLocked(now), stagerUnresponsive: now.Before(b.stagerBackoffUntil) && !(b.reported.isFresh(now) && b.reported.load.Transferring()),
		overloaded: now.Before(b.overloadedUntil), state: r.State(), domain: r.Domain(),
		heldUntil: b.limit.heldUntil, nextPermit: b.limit.nextPermitAt, limited: b.limit.active, perSecond: b.limit.perSecond, warmupEnd: b.limit.warmupEnd,
	}
}

// lastContact returns when the gateway last received bytes from the backend server or a load
// report of its stager.
func (b *backend) lastContact() time.Time {
	b.mu.Lock()
	reportedAt := b.reported.at
	b.mu.Unlock()
	if lastByte := b.lastByteAt.time(); lastByte.After(reportedAt) {
		return lastByte
	}
	return reportedAt
}

// hasRecentReport reports whether the last load report is newer than backendSilenceLimit.
func (b *backend) hasRecentReport(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.reported.at) < backendSilenceLimit
}

// startRequest counts a request that is in flight and waits for its first event; finishRequest
// removes it. cancel ends the attempt while it waits; it is nil if the request must not run again.
func (b *backend) startRequest(work time.Duration, cancel func()) *waitingRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := b.waiting.add(time.Now(), cancel)
	b.inFlight++
	b.reported.sent++
	b.work += work
	if b.consecutiveFailures > 0 {
		// After failures this request is the probe; other requests wait for its result.
		b.backoffUntil = time.Now().Add(initialBackoff << min(b.consecutiveFailures, 4))
	}
	return waiting
}

// finishWaiting removes a request from those that wait for their first event. answered
// reports whether the event arrived.
func (b *backend) finishWaiting(w *waitingRequest, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting.remove(w, time.Now(), answered)
}

// firstEventLatency returns how long requests take to their first event here: the longest of the
// recent waits and of the current ones.
func (b *backend) firstEventLatency(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.waiting.slowestWait(now), b.waiting.oldestWait(now))
}

func (b *backend) finishRequest(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.work -= work
}

// reduceWork subtracts work that is done before the request ends.
func (b *backend) reduceWork(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work -= work
}

// hasOrderInProgress reports whether the engine reports an order that is announced or being
// executed. A connection that it closes then is not counted as a failure.
func (b *backend) hasOrderInProgress(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reported.isFresh(now) && b.reported.load.Busy()
}

// isTransferringChunks reports whether the stager reports chunk transfers on its link.
func (b *backend) isTransferringChunks(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reported.isFresh(now) && b.reported.load.Transferring()
}

// versionCancelMargin is how long before the expiry of its version a request that waits here is
// canceled. It uses the last load report of any age, because a saturated link delays the next
// report.
func (b *backend) versionCancelMargin() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reported.load.Transferring() {
		return transferCancelMargin
	}
	return defaultCancelMargin
}

// recordFailure records an attempt without a valid answer and starts a backoff.
func (b *backend) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate += failureWeight * (1 - b.failureRate)
	backoff := min(initialBackoff<<min(b.consecutiveFailures, 8), maxBackoff)
	b.consecutiveFailures++
	b.backoffUntil = now.Add(backoff)
}

// recordRequestError records an answer that says that the request failed. The server is
// reachable, so this resets the count of consecutive failures, but the failure rate rises.
func (b *backend) recordRequestError() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate += failureWeight * (1 - b.failureRate)
	b.consecutiveFailures = 0
}

// recordSuccess records a valid answer and ends a backoff.
func (b *backend) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate -= failureWeight * b.failureRate
	b.consecutiveFailures, b.consecutiveRejections = 0, 0
	b.backoffUntil = time.Time{}
}

// recordOverload records that the backend server rejected a request because it is full.
func (b *backend) recordOverload(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consecutiveFailures = 0
	b.overloadedUntil = now.Add(min(initialOverloadBackoff<<min(b.consecutiveRejections, 8), maxOverloadBackoff))
	b.consecutiveRejections++
}

// markGone records that the backend server left, or that another server or a later start replaced
// it.
func (b *backend) markGone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registration = b.registration.AsGone(0)
}

// recordSlowdown adds the ratio of an answer's measured time to its expected time.
func (b *backend) recordSlowdown(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slowdown == 0 {
		b.slowdown = ratio
		return
	}
	b.slowdown += slowdownWeight * (ratio - b.slowdown)
}

// recordVersion records the weights version that an answer was made with.
func (b *backend) recordVersion(version uint64) {
	if version == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = max(b.version, version)
}

// servedVersion returns the version of a model of which the backend server holds all layers, from
// a recent load report, the registration or a later answer. It returns 0 if there is none.
func (b *backend) servedVersion(model string, layers int) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reported.load.Model() == model && b.reported.isFresh(time.Now()) {
		return b.reported.load.Version()
	}
	registered := b.registration.Version(model, layers)
	if registered == 0 {
		return 0
	}
	return max(registered, b.version)
}
