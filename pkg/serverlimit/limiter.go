// ================================================================
// The limiter grants permits for the servers whose limits this process owns, from one token bucket
// per server. It reads no clock and sends nothing: callers pass in the time and the messages of
// other processes.
//
// A bucket starts empty, so an owner that takes over from another grants nothing that the other may
// have granted already. The bucket of a backup is emptied after a pause in requests, so that two
// owners that alternate don't both accumulate tokens. A backup for an owner that doesn't answer
// grants only a part: the owner may be partitioned and grant the whole limit.
//
// A limit has ended when an answer without a limit arrives whose permit was granted after the limit
// was last reported here: answers may arrive out of order, and such an answer can't be older than
// the report. An answer that a gateway received before it had a permit proves nothing.
//
// A server that warms up has a limit of its own for that time, which all gateways know. Where it
// advertises one too, the lower of the two holds.
// ================================================================

package serverlimit

import (
	"math"
	"sync"
	"time"
)

const (
	// grantedShare of a limit is granted. The full limit would be exceeded wherever varying
	// network delays bunch requests up, and where ownership changes.
	grantedShare = 0.95
	// partialBackupShare of a limit is granted by a backup for an owner that doesn't answer. Two
	// such backups may exist besides the owner, for instance where three failure domains are
	// partitioned from each other, and the sum must stay near the limit.
	partialBackupShare = 0.2
	// minRate and minPartialBackupRate, in requests per second, are granted however low the limit
	// is: a server that gets no requests can't advertise that its limit has risen or ended.
	minRate              = 0.25
	minPartialBackupRate = 0.1
	// burstWindow is for how long a bucket accumulates tokens, besides one permit: requests arrive
	// unevenly, and permits that are not requested at one moment may be used a moment later.
	burstWindow = 250 * time.Millisecond
	// backupIdleGap is how long a backup may get no request, beyond the interval between two
	// permits, and keep its tokens.
	backupIdleGap = time.Second
	// idleTTL is how long a bucket is kept for which no permit is requested.
	idleTTL = time.Minute
	// minRetryAfter is the shortest time after which another permit may be requested.
	minRetryAfter = 10 * time.Millisecond
)

// Limiter grants permits. It is safe for concurrent use.
type Limiter struct {
	id uint64

	mu      sync.Mutex
	buckets map[Server]*bucket
}

// Role is the role of the process that grants permits for a limit.
type Role uint8

// The roles.
const (
	// Owner owns the limit.
	Owner Role = iota
	// Backup grants for an owner that has exited, and PartialBackup for one that doesn't answer.
	Backup
	PartialBackup
)

// bucket is the token bucket of one server and what is known of its limits.
type bucket struct {
	perSecond       float64 // the advertised limit
	unlimited       bool    // the server has advertised no limit yet
	role            Role
	limitEnded      bool // the server advertises no limit any more
	warmupPerSecond float64
	warmupUntil     time.Time // zero if no warm-up was reported
	tokens          float64
	refilledAt      time.Time // when tokens were last added
	requestedAt     time.Time // when a permit was last requested
	granted         uint64    // the number of permits granted
	grantedAtUpdate uint64    // granted when the limit was last reported
	updatedAt       time.Time // when the limit was last reported
}

// NewLimiter returns a limiter without limits; no other process may have the same id.
func NewLimiter(id uint64) *Limiter { return &Limiter{id: id, buckets: map[Server]*bucket{}} }

// Decide answers a permit request, in the role that the process has at the moment.
func (l *Limiter) Decide(now time.Time, request PermitRequest, role Role) PermitResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[request.server]
	if b == nil {
		b = &bucket{perSecond: request.perSecond, unlimited: request.unlimited, refilledAt: now, updatedAt: now}
		l.buckets[request.server] = b
	}
	b.refill(now)
	b.learn(now, request)
	if role != Owner && now.Sub(b.requestedAt) > backupIdleGap+b.interval(now) {
		b.empty(now)
	}
	b.requestedAt, b.role = now, role
	response := PermitResponse{perSecond: b.perSecond, unlimited: b.unlimited, limitEnded: b.limitEnded}
	switch {
	case !b.isAdvertised() && !b.isWarmingUp(now):
		response.limitEnded = true
	case b.tokens < 1:
		response.retryAfter = b.untilNext(now)
	default:
		b.tokens--
		b.granted++
		response.permit = Permit{l.id, b.granted}
	}
	return response
}

// learn applies what a gateway reports of the limits with its request.
func (b *bucket) learn(now time.Time, request PermitRequest) {
	switch {
	case request.unlimited || !request.changed && !b.unlimited:
		// Nothing is known here that the request adds to.
	case !b.isAdvertised():
		b.beginLimit(now, request.perSecond)
	default:
		b.update(now, request.perSecond, now.Add(-request.age).After(b.updatedAt))
	}
	if request.warmup.IsOver() {
		return
	}
	if !b.isWarmingUp(now) {
		b.empty(now)
	}
	b.warmupPerSecond = request.warmup.perSecond
	if until := now.Add(request.warmup.left); until.After(b.warmupUntil) {
		b.warmupUntil = until
	}
}

// beginLimit applies the limit of a server that has advertised none so far, or none any more.
func (b *bucket) beginLimit(now time.Time, perSecond float64) {
	b.perSecond, b.unlimited, b.limitEnded = perSecond, false, false
	b.grantedAtUpdate, b.updatedAt = b.granted, now
	b.empty(now)
}

// isAdvertised reports whether the server advertises a limit.
func (b *bucket) isAdvertised() bool { return !b.unlimited && !b.limitEnded }

// isWarmingUp reports whether the limit of a warm-up holds.
func (b *bucket) isWarmingUp(now time.Time) bool { return now.Before(b.warmupUntil) }

// empty removes the tokens: a limit that has just begun allows nothing that accumulated before.
func (b *bucket) empty(now time.Time) { b.tokens, b.refilledAt = 0, now }

// ApplyReport applies the outcome of a permit. The outcome of one that another process granted is
// ignored.
func (l *Limiter) ApplyReport(now time.Time, report PermitReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[report.server]
	if b == nil || b.limitEnded || report.permit.limiterID != l.id {
		return
	}
	switch report.outcome {
	case Unused:
		b.refill(now)
		b.tokens = min(b.tokens+1, b.capacity(now))
	case LimitAdvertised:
		b.refill(now)
		if b.unlimited {
			b.beginLimit(now, report.perSecond)
			return
		}
		b.update(now, report.perSecond, report.permit.number > b.grantedAtUpdate)
	case NoLimitAdvertised:
		b.limitEnded = report.permit.number > b.grantedAtUpdate
	}
}

// Sweep removes the servers for which no permit has been requested for a minute.
func (l *Limiter) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, b := range l.buckets {
		if now.Sub(b.requestedAt) > idleTTL {
			delete(l.buckets, s)
		}
	}
}

// update applies a limit that a server advertised. Unless it is known to be newer than the present
// one, the lower of the two holds.
func (b *bucket) update(now time.Time, perSecond float64, newer bool) {
	if newer || perSecond < b.perSecond {
		b.perSecond = perSecond
	}
	b.grantedAtUpdate, b.updatedAt = b.granted, now
}

// limit returns the lower of the limits that hold, in requests per second.
func (b *bucket) limit(now time.Time) float64 {
	limit := math.Inf(1)
	if b.isAdvertised() {
		limit = b.perSecond
	}
	if b.isWarmingUp(now) {
		limit = min(limit, b.warmupPerSecond)
	}
	return min(limit, maxPerSecond)
}

// rate returns the permits granted per second.
func (b *bucket) rate(now time.Time) float64 {
	if b.role == PartialBackup {
		return max(partialBackupShare*b.limit(now), minPartialBackupRate)
	}
	return max(grantedShare*b.limit(now), minRate)
}

// interval returns the time between two permits.
func (b *bucket) interval(now time.Time) time.Duration {
	return time.Duration(float64(time.Second) / b.rate(now))
}

// capacity returns the most tokens that the bucket holds.
func (b *bucket) capacity(now time.Time) float64 { return 1 + burstWindow.Seconds()*b.rate(now) }

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.rate(now), b.capacity(now))
		b.refilledAt = now
	}
}

func (b *bucket) untilNext(now time.Time) time.Duration {
	return max(time.Duration((1-b.tokens)*float64(b.interval(now))), minRetryAfter)
}
