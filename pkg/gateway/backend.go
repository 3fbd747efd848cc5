// ================================================================
// A backend server as this gateway sees it: its registration, the work that
// this gateway has under way there, and what its answers were like.
//
// Health is judged by outcomes. One failure rests it for a moment, more in a
// row for longer; then a single request is let through to see.
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
	// initialBackoff and longestRest bound how long a failing backend server rests.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// initialOverloadBackoff is how long one that said it is full gets nothing more; twice
	// as long each time it says so again, up to longestFullRest.
	initialOverloadBackoff = 50 * time.Millisecond
	maxOverloadBackoff     = 400 * time.Millisecond
	// reportTTL is how long the load that a stager told counts.
	reportTTL = 2500 * time.Millisecond
	// failureWeight is the share of a new outcome in the failure rate.
	failureWeight = 0.15
	// slowdownWeight is the share of a new measurement in the pace.
	slowdownWeight = 0.2
)

// backend is one start of a backend server.
type backend struct {
	pool       *upstream.Pool
	address    string
	lastByteAt atomicTime  // of the last bytes from it
	dialing    atomic.Bool // somebody finds out whether it can be reached
	reached    dialTimes   // by dials
	ends       endLooks    // dials after breaks

	mu                        sync.Mutex
	registration              registry.Registration
	inFlight                  int
	work                      time.Duration // of what this gateway has under way there
	consecutiveFailures       int           // in a row
	backoffUntil              time.Time
	overloadedUntil           time.Time
	consecutiveRefusals       int // in a row
	failureRate               float64
	slowdown                  float64 // measured over expected time of its answers; 0 unknown
	version                   uint64  // of the weights, as its answers say; 0 unknown
	reported                  reportedLoad
	waiting                   waitingRequests
	unreachable               bool      // it can't be reached
	stagerBackoffUntil        time.Time // the stager beside it is not asked for places
	consecutiveStagerTimeouts int       // questions in a row
	limit                     heardLimit
}

// load is what the choice looks at.
type load struct {
	inFlight           int
	work               time.Duration
	inBackoff          bool
	overloaded         bool
	reservable         bool // the stager beside it is asked for places
	stagerUnresponsive bool // it did not answer lately, and not for the chunks on its link
	unreachable        bool
	failureRate        float64
	slowdown           float64
	state              registry.State
	domain             string
	reported           reportedLoad
	fresh              bool          // told is no older than toldLife
	reportAge          time.Duration // since told
	oldestWait         time.Duration // the longest wait for a first event from here now
	heldUntil          time.Time     // its own limit keeps it from requests
	nextPermit         time.Time     // when it takes the next one by its limit
	limited            bool          // it names a limit
	perSecond          float64       // the limit
}

func newBackend(r registry.Registration) *backend {
	return &backend{registration: r, address: r.Address(), pool: upstream.NewPool(r.Address()), reported: reportedLoad{rounding: rand.Float64()}}
}

func (b *backend) latestRegistration() registry.Registration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registration
}

// updateRegistration takes a newer word of the backend server, other than that it is gone.
func (b *backend) updateRegistration(r registry.Registration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Supersedes(b.registration) {
		b.registration = r
	}
}

// recordLoadReport takes the load that the stager beside it told. The version that it
// serves is newer than that of its last heartbeat.
func (b *backend) recordLoadReport(l feed.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported = newReportedLoad(l, time.Now(), b.reported)
}

// recordCurrentLoad takes a load that was read this moment: it counts all that was sent.
func (b *backend) recordCurrentLoad(l feed.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported = newReportedLoad(l, time.Now(), reportedLoad{})
	b.consecutiveStagerTimeouts = 0
}

// ageLoadReport makes the told load older by how long the VM was suspended.
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
		heldUntil: b.limit.heldUntil, nextPermit: b.limit.nextAt, limited: b.limit.named, perSecond: b.limit.perSecond,
	}
}

// lastContact returns when there was last a sign of life: bytes to a request from here,
// or a load that the stager beside it read.
func (b *backend) lastContact() time.Time {
	b.mu.Lock()
	told := b.reported.at
	b.mu.Unlock()
	if bytes := b.lastByteAt.time(); bytes.After(told) {
		return bytes
	}
	return told
}

// hasRecentReport tells whether the stager beside it read its load just now.
func (b *backend) hasRecentReport(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.reported.at) < backendSilenceLimit
}

// startRequest notes work under way that waits for its first event; end takes it off.
// takeBack, if not nil, ends the attempt while it waits.
func (b *backend) startRequest(work time.Duration, takeBack func()) *waitingRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	began := b.waiting.add(time.Now(), takeBack)
	b.inFlight++
	b.reported.sent++
	b.work += work
	if b.consecutiveFailures > 0 {
		// The one that sees whether it works again: the others wait for it.
		b.backoffUntil = time.Now().Add(initialBackoff << min(b.consecutiveFailures, 4))
	}
	return began
}

// finishWaiting notes that a request does not wait any more: its first event came, or
// it ended without one.
func (b *backend) finishWaiting(w *waitingRequest, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting.remove(w, time.Now(), answered)
}

// firstEventLatency returns how long requests take to begin here, from the slowest of late
// and from those that wait now.
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

// reduceWork takes work off that is done while the request goes on.
func (b *backend) reduceWork(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work -= work
}

// hasOrderInProgress tells whether an engine said that an order is coming or under way:
// what it breaks off then is no failure of its own.
func (b *backend) hasOrderInProgress(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reported.isFresh(now) && b.reported.load.Busy()
}

// isTransferringChunks tells whether the stager beside it says that chunks are on its link.
func (b *backend) isTransferringChunks(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reported.isFresh(now) && b.reported.load.Transferring()
}

// versionCancelMargin is how long before its version lapses a request that waits here is taken
// back, by the last report of its stager, however old: a full link delays the next one.
func (b *backend) versionCancelMargin() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reported.load.Transferring() {
		return transferCancelMargin
	}
	return defaultCancelMargin
}

// recordFailure notes an attempt that the backend server did not answer as it should.
func (b *backend) recordFailure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate += failureWeight * (1 - b.failureRate)
	rest := min(initialBackoff<<min(b.consecutiveFailures, 8), maxBackoff)
	b.consecutiveFailures++
	b.backoffUntil = now.Add(rest)
}

// recordRequestError notes an answer that says that the request failed: the backend
// server works, but not well.
func (b *backend) recordRequestError() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate += failureWeight * (1 - b.failureRate)
	b.consecutiveFailures = 0
}

// recordSuccess notes an answer in good order.
func (b *backend) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate -= failureWeight * b.failureRate
	b.consecutiveFailures, b.consecutiveRefusals = 0, 0
	b.backoffUntil = time.Time{}
}

// recordOverload notes that the backend server said it is full.
func (b *backend) recordOverload(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consecutiveFailures = 0
	b.overloadedUntil = now.Add(min(initialOverloadBackoff<<min(b.consecutiveRefusals, 8), maxOverloadBackoff))
	b.consecutiveRefusals++
}

// markGone notes that it has left, or that another backend server or another start has its
// place.
func (b *backend) markGone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registration = b.registration.AsGone(0)
}

// recordSlowdown notes how an answer's time compares with the expected one.
func (b *backend) recordSlowdown(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slowdown == 0 {
		b.slowdown = ratio
		return
	}
	b.slowdown += slowdownWeight * (ratio - b.slowdown)
}

// recordVersion notes the version that an answer was made with.
func (b *backend) recordVersion(version uint64) {
	if version == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = max(b.version, version)
}

// servedVersion returns the version of a model that all layers are held of, as
// the registration or a later answer says; 0 when it serves none.
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
