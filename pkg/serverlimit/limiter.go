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
	// share of a limit is granted. At its full the limit would be passed wherever the ways
	// to the server bunch requests up, and where ownership changes hands.
	share = 0.95
	// cutShare is granted by a stand-in for an owner that is silent. Two of those may be
	// beside the owner, as where three failure domains are cut off from each other, and the
	// sum is to stay near the limit.
	cutShare = 0.2
	// leastRate and leastCutRate, in requests a second, are granted whatever is named: a
	// server that gets nothing says nothing, and would never be heard to be well again.
	leastRate    = 0.25
	leastCutRate = 0.1
	// burst is for how long a bucket saves up, besides one permit: requests do not come
	// evenly, and what nobody asks for at a moment is not lost at once.
	burst = 250 * time.Millisecond
	// standInGap is how long a stand-in for an owner may go without a question, beyond the
	// time between two permits, and keep what it saved up.
	standInGap = time.Second
	// idleLife is how long a bucket is kept that nobody asks of.
	idleLife = time.Minute
	// leastWait is after which time at least another permit may be asked for.
	leastWait = 10 * time.Millisecond
)

// Limiter grants permits. It is safe for concurrent use.
type Limiter struct {
	id uint64

	mu      sync.Mutex
	buckets map[Server]*bucket
}

// Standing is what the process is that grants.
type Standing uint8

// The standings.
const (
	// Owner owns the limit.
	Owner Standing = iota
	// StandIn grants for an owner that has ended, and CutStandIn for one that is silent.
	StandIn
	CutStandIn
)

// bucket is what is known of one server's limit.
type bucket struct {
	perSecond float64
	standing  Standing
	over      bool // the server names none any more
	tokens    float64
	filled    time.Time // when tokens were counted
	asked     time.Time
	granted   uint64    // how many permits
	told      uint64    // granted when the limit was told last
	toldAt    time.Time // when it was told last
}

// NewLimiter returns a limiter without limits, under an id that no other process has.
func NewLimiter(id uint64) *Limiter { return &Limiter{id: id, buckets: map[Server]*bucket{}} }

// Decide answers a question for a permit, as what the process is at the moment.
func (l *Limiter) Decide(now time.Time, a Ask, s Standing) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[a.server]
	switch {
	case b == nil:
		b = &bucket{perSecond: a.perSecond, filled: now, toldAt: now}
		l.buckets[a.server] = b
	case b.over && a.news:
		*b = bucket{perSecond: a.perSecond, filled: now, granted: b.granted, told: b.granted, toldAt: now}
	case a.news:
		b.fill(now)
		b.hear(now, a.perSecond, now.Add(-a.ago).After(b.toldAt))
	}
	if s != Owner && now.Sub(b.asked) > standInGap+b.between() {
		b.tokens, b.filled = 0, now
	}
	b.asked = now
	if b.over {
		return Answer{over: true}
	}
	b.fill(now)
	b.standing = s
	if b.tokens < 1 {
		return Answer{perSecond: b.perSecond, next: b.untilNext()}
	}
	b.tokens--
	b.granted++
	return Answer{permit: Permit{l.id, b.granted}, perSecond: b.perSecond}
}

// Hear takes what became of a permit. One that another process granted says nothing here.
func (l *Limiter) Hear(now time.Time, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[r.server]
	if b == nil || b.over || r.permit.limiter != l.id {
		return
	}
	switch r.outcome {
	case Unsent:
		b.fill(now)
		b.tokens = min(b.tokens+1, b.capacity())
	case StillNamed:
		b.fill(now)
		b.hear(now, r.perSecond, r.permit.number > b.told)
	case NotNamed:
		b.over = r.permit.number > b.told
	}
}

// Sweep forgets the servers that nobody asks of.
func (l *Limiter) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, b := range l.buckets {
		if now.Sub(b.asked) > idleLife {
			delete(l.buckets, s)
		}
	}
}

// hear takes a number that a server named. Where it may be older than the one that is kept
// the lower one goes.
func (b *bucket) hear(now time.Time, perSecond float64, newer bool) {
	if newer || perSecond < b.perSecond {
		b.perSecond = perSecond
	}
	b.told, b.toldAt = b.granted, now
}

// rate is what is granted, in requests a second.
func (b *bucket) rate() float64 {
	if b.standing == CutStandIn {
		return max(cutShare*b.perSecond, leastCutRate)
	}
	return max(share*b.perSecond, leastRate)
}

// between is the time between two permits.
func (b *bucket) between() time.Duration {
	return time.Duration(float64(time.Second) / b.rate())
}

// capacity is how many permits the bucket saves up at the most.
func (b *bucket) capacity() float64 { return 1 + burst.Seconds()*b.rate() }

func (b *bucket) fill(now time.Time) {
	if past := now.Sub(b.filled); past > 0 {
		b.tokens = min(b.tokens+past.Seconds()*b.rate(), b.capacity())
		b.filled = now
	}
}

func (b *bucket) untilNext() time.Duration {
	return max(time.Duration((1-b.tokens)*float64(b.between())), leastWait)
}
