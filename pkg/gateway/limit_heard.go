// ================================================================
// What this gateway has heard of the limits that backend servers name, from their answers
// and from the gateways that own the limits.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/serverlimit"
)

const (
	// limitLogRate bounds the log lines on limits a second, and limitLinesAtOnce those of one
	// moment: each server in need has one when it begins, changes its number or ends.
	limitLogRate  = 2
	limitLogBurst = 64
)

// limitState is the limit of one backend server as heard here. The backend's lock guards it.
type limitState struct {
	active        bool
	perSecond     float64
	unreported    bool      // its owner was not told yet
	requestSentAt time.Time // the request whose answer named it
	endedAt       time.Time // when its owner said last that it was
	nextPermitAt  time.Time // when there is the next permit, as its owner said last
	heldUntil     time.Time // the owner is not asked before
}

// update takes what the answer to a request sent at a moment says, and tells whether that is
// news. That a limit is over is for its owner to say: answers overtake one another, and one
// to a request sent before the owner said so is older.
func (l *limitState) update(s serverlimit.AdvertisedLimit, sent time.Time) (news bool) {
	if s.Kind() != serverlimit.Valid || !l.active && sent.Before(l.endedAt) {
		return false
	}
	if l.active && l.perSecond == s.PerSecond() {
		return false
	}
	l.active, l.perSecond, l.unreported, l.requestSentAt = true, s.PerSecond(), true, sent
	return true
}

// updateLimit takes what an answer says of its backend server's limit. What became of a
// permit is told to its owner where it did not know.
func (x *exchange) updateLimit(told ResponseHead) {
	if told.Limit.Kind() == serverlimit.None && x.permit == nil {
		// Nearly all answers: nothing is said, and nothing was granted.
		return
	}
	if told.IsFromOther(x.backend.latestRegistration().Incarnation()) {
		return
	}
	x.backend.mu.Lock()
	news := x.backend.limit.update(told.Limit, x.started)
	x.backend.mu.Unlock()
	if news {
		x.gateway.logLimit(x.backend, told.Limit)
	}
	switch {
	case x.permit == nil:
	case told.Limit.Kind() == serverlimit.Valid && told.Limit.PerSecond() != x.permit.perSecond:
		x.gateway.reportPermit(x.permit, serverlimit.LimitAdvertised, told.Limit.PerSecond())
	case told.Limit.Kind() == serverlimit.None && told.FromBackend:
		x.gateway.reportPermit(x.permit, serverlimit.NoLimitAdvertised, 0)
	}
}

func (g *Gateway) logLimit(b *backend, s serverlimit.AdvertisedLimit) {
	if !g.limitLogLimiter.Allow() {
		return
	}
	word := b.latestRegistration()
	message := "backend server names a limit"
	if s.Kind() != serverlimit.Valid {
		message = "backend server names no limit any more"
	}
	_ = level.Info(g.process.Logger).Log("msg", message, "backend", word.Incarnation(), "service", word.Service(),
		"address", word.Address(), "per_second", s.PerSecond())
}

// limitedBackends counts the backend servers that name a limit.
func (g *Gateway) limitedBackends() (count int) {
	g.backends.each(func(b *backend, _ string) {
		if b.isLimited() {
			count++
		}
	})
	return count
}

// isLimited tells whether the backend server names a limit.
func (b *backend) isLimited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit.active
}

// permitRequest returns the question for a permit; false where none is needed.
func (b *backend) permitRequest() (a serverlimit.PermitRequest, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limit.active {
		return a, false
	}
	r := b.registration
	server := serverlimit.NewServer(r.Incarnation(), r.StartedAt(), r.Domain())
	return serverlimit.NewPermitRequest(server, b.limit.perSecond, b.limit.unreported, time.Since(b.limit.requestSentAt)), true
}

// endLimit notes that the owner of the limit says that it is over, and tells whether that
// is news. What was heard since the owner was asked is newer.
func (b *backend) endLimit(asked serverlimit.PermitRequest, now time.Time) (news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limit.active || b.limit.unreported && !asked.Changed() {
		return false
	}
	b.limit = limitState{endedAt: now}
	return true
}

// markLimitReported notes that the owner of the limit knows it as it was told.
func (b *backend) markLimitReported(asked serverlimit.PermitRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.perSecond == asked.PerSecond() {
		b.limit.unreported = false
	}
}

// maxHold bounds how long an owner is not asked again: the limit may rise or end long
// before the next permit of a low one.
const maxHold = time.Second

// holdBack has the backend server get nothing from here until its next permit.
func (b *backend) holdBack(now time.Time, next time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit.nextPermitAt, b.limit.heldUntil = now.Add(next), now.Add(min(next, maxHold))
}
