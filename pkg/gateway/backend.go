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
	// firstRest and longestRest bound how long a failing backend server rests.
	firstRest   = 300 * time.Millisecond
	longestRest = 5 * time.Second
	// fullRest is how long one that said it is full gets nothing more; twice
	// as long each time it says so again, up to longestFullRest.
	fullRest        = 50 * time.Millisecond
	longestFullRest = 400 * time.Millisecond
	// toldLife is how long the load that a stager told counts.
	toldLife = 2500 * time.Millisecond
	// failureWeight is the share of a new outcome in the failure rate.
	failureWeight = 0.15
	// paceWeight is the share of a new measurement in the pace.
	paceWeight = 0.2
)

// backend is one start of a backend server.
type backend struct {
	pool    *upstream.Pool
	address string
	heardAt atomicTime  // of the last bytes from it
	dialing atomic.Bool // somebody finds out whether it can be reached
	reached dialTimes   // by dials
	ends    endLooks    // dials after breaks

	mu           sync.Mutex
	registration registry.Registration
	inFlight     int
	work         time.Duration // of what this gateway has under way there
	failures     int           // in a row
	restUntil    time.Time
	fullUntil    time.Time
	refusals     int // in a row
	failureRate  float64
	pace         float64 // measured over expected time of its answers; 0 unknown
	version      uint64  // of the weights, as its answers say; 0 unknown
	told         toldLoad
	waits        waits
	lost         bool      // it can't be reached
	unaskedUntil time.Time // the stager beside it is not asked for places
	unanswered   int       // questions in a row
	limit        heardLimit
}

// load is what the choice looks at.
type load struct {
	inFlight    int
	work        time.Duration
	resting     bool
	full        bool
	asked       bool // the stager beside it is asked for places
	unanswered  bool // it did not answer lately, and not for the chunks on its link
	lost        bool
	failureRate float64
	pace        float64
	state       registry.State
	domain      string
	told        toldLoad
	fresh       bool          // told is no older than toldLife
	toldAge     time.Duration // since told
	oldest      time.Duration // the longest wait for a first event from here now
	heldUntil   time.Time     // its own limit keeps it from requests
	nextPermit  time.Time     // when it takes the next one by its limit
	limited     bool          // it names a limit
	perSecond   float64       // the limit
}

func newBackend(r registry.Registration) *backend {
	return &backend{registration: r, address: r.Address(), pool: upstream.NewPool(r.Address()), told: toldLoad{lot: rand.Float64()}}
}

func (b *backend) word() registry.Registration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.registration
}

// hear takes a newer word of the backend server, other than that it is gone.
func (b *backend) hear(r registry.Registration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Supersedes(b.registration) {
		b.registration = r
	}
}

// hearLoad takes the load that the stager beside it told. The version that it
// serves is newer than that of its last heartbeat.
func (b *backend) hearLoad(l feed.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = newToldLoad(l, time.Now(), b.told)
}

// hearLoadNow takes a load that was read this moment: it counts all that was sent.
func (b *backend) hearLoadNow(l feed.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = newToldLoad(l, time.Now(), toldLoad{})
	b.unanswered = 0
}

// suspended makes the told load older by how long the VM was suspended.
func (b *backend) suspended(by time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told.at = b.told.at.Add(-by)
}

func (b *backend) load(now time.Time) load {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.registration
	return load{
		told: b.told, fresh: b.told.isFresh(now), toldAge: now.Sub(b.told.at),
		inFlight: b.inFlight, work: b.work, failureRate: b.failureRate, pace: b.pace,
		resting: now.Before(b.restUntil),
		oldest:  b.waits.oldest(now), lost: b.lost,
		asked: b.isAsked(now), unanswered: now.Before(b.unaskedUntil) && !(b.told.isFresh(now) && b.told.load.Transferring()),
		full: now.Before(b.fullUntil), state: r.State(), domain: r.Domain(),
		heldUntil: b.limit.heldUntil, nextPermit: b.limit.nextAt, limited: b.limit.named, perSecond: b.limit.perSecond,
	}
}

// heard returns when there was last a sign of life: bytes to a request from here,
// or a load that the stager beside it read.
func (b *backend) heard() time.Time {
	b.mu.Lock()
	told := b.told.at
	b.mu.Unlock()
	if bytes := b.heardAt.time(); bytes.After(told) {
		return bytes
	}
	return told
}

// isHeardOf tells whether the stager beside it read its load just now.
func (b *backend) isHeardOf(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.told.at) < backendSilenceLimit
}

// begin notes work under way that waits for its first event; end takes it off.
// takeBack, if not nil, ends the attempt while it waits.
func (b *backend) begin(work time.Duration, takeBack func()) *waiting {
	b.mu.Lock()
	defer b.mu.Unlock()
	began := b.waits.add(time.Now(), takeBack)
	b.inFlight++
	b.told.sent++
	b.work += work
	if b.failures > 0 {
		// The one that sees whether it works again: the others wait for it.
		b.restUntil = time.Now().Add(firstRest << min(b.failures, 4))
	}
	return began
}

// begun notes that a request does not wait any more: its first event came, or
// it ended without one.
func (b *backend) begun(w *waiting, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waits.remove(w, time.Now(), answered)
}

// begins returns how long requests take to begin here, from the slowest of late
// and from those that wait now.
func (b *backend) begins(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.waits.slowest(now), b.waits.oldest(now))
}

func (b *backend) end(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.work -= work
}

// less takes work off that is done while the request goes on.
func (b *backend) less(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work -= work
}

// isWithdrawn tells whether an engine said that an order is coming or under way:
// what it breaks off then is no failure of its own.
func (b *backend) isWithdrawn(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told.isFresh(now) && b.told.load.Busy()
}

// isExchanging tells whether the stager beside it says that chunks are on its link.
func (b *backend) isExchanging(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told.isFresh(now) && b.told.load.Transferring()
}

// takeBackMargin is how long before its version lapses a request that waits here is taken
// back, by the last report of its stager, however old: a full link delays the next one.
func (b *backend) takeBackMargin() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.told.load.Transferring() {
		return chunksMargin
	}
	return lapseMargin
}

// failed notes an attempt that the backend server did not answer as it should.
func (b *backend) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate += failureWeight * (1 - b.failureRate)
	rest := min(firstRest<<min(b.failures, 8), longestRest)
	b.failures++
	b.restUntil = now.Add(rest)
}

// failedRequest notes an answer that says that the request failed: the backend
// server works, but not well.
func (b *backend) failedRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate += failureWeight * (1 - b.failureRate)
	b.failures = 0
}

// answered notes an answer in good order.
func (b *backend) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failureRate -= failureWeight * b.failureRate
	b.failures, b.refusals = 0, 0
	b.restUntil = time.Time{}
}

// refused notes that the backend server said it is full.
func (b *backend) refused(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.fullUntil = now.Add(min(fullRest<<min(b.refusals, 8), longestFullRest))
	b.refusals++
}

// isGone notes that it has left, or that another backend server or another start has its
// place.
func (b *backend) isGone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.registration = b.registration.AsGone(0)
}

// sawPace notes how an answer's time compares with the expected one.
func (b *backend) sawPace(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pace == 0 {
		b.pace = ratio
		return
	}
	b.pace += paceWeight * (ratio - b.pace)
}

// sawVersion notes the version that an answer was made with.
func (b *backend) sawVersion(version uint64) {
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
	if b.told.load.Model() == model && b.told.isFresh(time.Now()) {
		return b.told.load.Version()
	}
	registered := b.registration.Version(model, layers)
	if registered == 0 {
		return 0
	}
	return max(registered, b.version)
}
