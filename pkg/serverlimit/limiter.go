// ================================================================
// The limiter: grants permits for the servers whose limits this process owns, from one
// token bucket a server. A plain object: a time and what others tell go in.
//
// A bucket begins empty, so an owner that takes over from another spends nothing that the
// other may have spent; and a stand-in's is emptied where nobody asked it for a while, so
// that two owners that take turns do not save up twice. A stand-in for an owner that is
// silent grants a part only: the owner may be cut off and grant all.
//
// A limit is over when the answer to a permit says so that was granted after the limit was
// told here last: answers overtake one another, and that one cannot be older. What a
// gateway heard before its permit proves nothing.
// ================================================================

package serverlimit

import (
	"sync"
	"time"
)

const (
	// grantedShare of a limit is granted. At its full the limit would be passed wherever the ways
	// to the server bunch requests up, and where ownership changes hands.
	grantedShare = 0.95
	// partialBackupShare is granted by a stand-in for an owner that is silent. Two of those may be
	// beside the owner, as where three failure domains are cut off from each other, and the
	// sum is to stay near the limit.
	partialBackupShare = 0.2
	// minRate and leastCutRate, in requests a second, are granted whatever is named: a
	// server that gets nothing says nothing, and would never be heard to be well again.
	minRate              = 0.25
	minPartialBackupRate = 0.1
	// burstWindow is for how long a bucket saves up, besides one permit: requests do not come
	// evenly, and what nobody asks for at a moment is not lost at once.
	burstWindow = 250 * time.Millisecond
	// backupIdleGap is how long a stand-in for an owner may go without a question, beyond the
	// time between two permits, and keep what it saved up.
	backupIdleGap = time.Second
	// idleTTL is how long a bucket is kept that nobody asks of.
	idleTTL = time.Minute
	// minRetryAfter is after which time at least another permit may be asked for.
	minRetryAfter = 10 * time.Millisecond
)

// Limiter grants permits. It is safe for concurrent use.
type Limiter struct {
	id uint64

	mu      sync.Mutex
	buckets map[Server]*bucket
}

// Role is what the process is that grants.
type Role uint8

// The standings.
const (
	// Owner owns the limit.
	Owner Role = iota
	// Backup grants for an owner that has ended, and CutStandIn for one that is silent.
	Backup
	PartialBackup
)

// bucket is what is known of one server's limit.
type bucket struct {
	perSecond       float64
	role            Role
	limitEnded      bool // the server names none any more
	tokens          float64
	refilledAt      time.Time // when tokens were counted
	requestedAt     time.Time
	granted         uint64    // how many permits
	grantedAtUpdate uint64    // granted when the limit was told last
	updatedAt       time.Time // when it was told last
}

// NewLimiter returns a limiter without limits, under an id that no other process has.
func NewLimiter(id uint64) *Limiter { return &Limiter{id: id, buckets: map[Server]*bucket{}} }

// Decide answers a question for a permit, as what the process is at the moment.
func (l *Limiter) Decide(now time.Time, a PermitRequest, s Role) PermitResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[a.server]
	switch {
	case b == nil:
		b = &bucket{perSecond: a.perSecond, refilledAt: now, updatedAt: now}
		l.buckets[a.server] = b
	case b.limitEnded && a.changed:
		*b = bucket{perSecond: a.perSecond, refilledAt: now, granted: b.granted, grantedAtUpdate: b.granted, updatedAt: now}
	case a.changed:
		b.refill(now)
		b.update(now, a.perSecond, now.Add(-a.age).After(b.updatedAt))
	}
	if s != Owner && now.Sub(b.requestedAt) > backupIdleGap+b.interval() {
		b.tokens, b.refilledAt = 0, now
	}
	b.requestedAt = now
	if b.limitEnded {
		return PermitResponse{limitEnded: true}
	}
	b.refill(now)
	b.role = s
	if b.tokens < 1 {
		return PermitResponse{perSecond: b.perSecond, retryAfter: b.untilNext()}
	}
	b.tokens--
	b.granted++
	return PermitResponse{permit: Permit{l.id, b.granted}, perSecond: b.perSecond}
}

// ApplyReport takes what became of a permit. One that another process granted says nothing here.
func (l *Limiter) ApplyReport(now time.Time, r PermitReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[r.server]
	if b == nil || b.limitEnded || r.permit.limiterID != l.id {
		return
	}
	switch r.outcome {
	case Unused:
		b.refill(now)
		b.tokens = min(b.tokens+1, b.capacity())
	case LimitAdvertised:
		b.refill(now)
		b.update(now, r.perSecond, r.permit.number > b.grantedAtUpdate)
	case NoLimitAdvertised:
		b.limitEnded = r.permit.number > b.grantedAtUpdate
	}
}

// Sweep forgets the servers that nobody asks of.
func (l *Limiter) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, b := range l.buckets {
		if now.Sub(b.requestedAt) > idleTTL {
			delete(l.buckets, s)
		}
	}
}

// update takes a number that a server named. Where it may be older than the one that is kept
// the lower one goes.
func (b *bucket) update(now time.Time, perSecond float64, newer bool) {
	if newer || perSecond < b.perSecond {
		b.perSecond = perSecond
	}
	b.grantedAtUpdate, b.updatedAt = b.granted, now
}

// rate is what is granted, in requests a second.
func (b *bucket) rate() float64 {
	if b.role == PartialBackup {
		return max(partialBackupShare*b.perSecond, minPartialBackupRate)
	}
	return max(grantedShare*b.perSecond, minRate)
}

// interval is the time between two permits.
func (b *bucket) interval() time.Duration {
	return time.Duration(float64(time.Second) / b.rate())
}

// capacity is how many permits the bucket saves up at the most.
func (b *bucket) capacity() float64 { return 1 + burstWindow.Seconds()*b.rate() }

func (b *bucket) refill(now time.Time) {
	if past := now.Sub(b.refilledAt); past > 0 {
		b.tokens = min(b.tokens+past.Seconds()*b.rate(), b.capacity())
		b.refilledAt = now
	}
}

func (b *bucket) untilNext() time.Duration {
	return max(time.Duration((1-b.tokens)*float64(b.interval())), minRetryAfter)
}
