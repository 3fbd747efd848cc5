// ================================================================
// The rate limits of backend servers, as this gateway knows them: those that they advertise, from
// their answers and from the gateways that own the limits, and those of servers that warm up, from
// their registrations.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serverlimit"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// limitLogRate bounds the log lines on limits per second, and limitLogBurst those written at
	// one moment: each limited server has one when its limit begins, changes and ends.
	limitLogRate  = 2
	limitLogBurst = 64
)

// limitState is the limit of one backend server as this gateway knows it. The lock of the backend
// guards it.
type limitState struct {
	active        bool
	perSecond     float64
	unreported    bool      // not yet reported to its owner
	requestSentAt time.Time // when the request was sent whose answer advertised it
	endedAt       time.Time // when its owner last said that it has ended
	nextPermitAt  time.Time // when the next permit is due, by the last answer of its owner
	heldUntil     time.Time // until then the owner is not asked
	warmupEnd     time.Time // when the warm-up of the server ends; zero if it has reported none
}

// updateWarmup applies what a registration says of the warm-up. The same registration again, through
// another control node, doesn't prolong it.
func (l *limitState) updateWarmup(r registry.Registration, now time.Time, isRepeated bool) {
	until := now.Add(r.WarmupLeft())
	if r.WarmupLeft() == 0 {
		until = time.Time{}
	}
	if !isRepeated || until.Before(l.warmupEnd) {
		l.warmupEnd = until
	}
}

// warmup returns the limit of the warm-up for a service.
func (l *limitState) warmup(s *serviceconfig.Service, now time.Time) serverlimit.Warmup {
	return serverlimit.NewWarmup(s.WarmupRate(), max(l.warmupEnd.Sub(now), 0))
}

// update applies the limit that an answer advertises, and reports whether the limit changed. sent is
// when the request was sent. An answer without a limit changes nothing: only the owner ends
// a limit, since answers may arrive out of order. An answer to a request sent before the owner
// ended the limit is outdated.
func (l *limitState) update(advertised serverlimit.AdvertisedLimit, sent time.Time) (changed bool) {
	if advertised.Kind() != serverlimit.Valid || !l.active && sent.Before(l.endedAt) {
		return false
	}
	if l.active && l.perSecond == advertised.PerSecond() {
		return false
	}
	l.active, l.perSecond, l.unreported, l.requestSentAt = true, advertised.PerSecond(), true, sent
	return true
}

// updateLimit applies what an answer says about the limit of its backend server, and reports the
// outcome of a permit to its owner where that is new to it.
func (x *exchange) updateLimit(answer ResponseHead) {
	if answer.Limit.Kind() == serverlimit.None && x.permit == nil {
		// Nearly all answers: no limit is advertised, and no permit was used.
		return
	}
	if answer.IsFromOther(x.backend.latestRegistration().Incarnation()) {
		return
	}
	x.backend.mu.Lock()
	changed := x.backend.limit.update(answer.Limit, x.started)
	x.backend.mu.Unlock()
	if changed {
		x.gateway.logLimit(x.backend, answer.Limit)
	}
	switch {
	case x.permit == nil:
	case answer.Limit.Kind() == serverlimit.None && x.permit.unlimited:
	case answer.Limit.Kind() == serverlimit.Valid && (x.permit.unlimited || answer.Limit.PerSecond() != x.permit.perSecond):
		x.gateway.reportPermit(x.permit, serverlimit.LimitAdvertised, answer.Limit.PerSecond())
	case answer.Limit.Kind() == serverlimit.None && answer.FromBackend:
		x.gateway.reportPermit(x.permit, serverlimit.NoLimitAdvertised, 0)
	}
}

func (g *Gateway) logLimit(b *backend, advertised serverlimit.AdvertisedLimit) {
	if !g.limitLogLimiter.Allow() {
		return
	}
	r := b.latestRegistration()
	message := "backend server names a limit"
	if advertised.Kind() != serverlimit.Valid {
		message = "backend server names no limit any more"
	}
	_ = level.Info(g.process.Logger).Log("msg", message, "backend", r.Incarnation(), "service", r.Service(),
		"address", r.Address(), "per_second", advertised.PerSecond())
}

// limitedBackends counts the backend servers that advertise a limit.
func (g *Gateway) limitedBackends() (count int) {
	g.backends.each(func(b *backend, _ string) {
		if b.hasAdvertisedLimit() {
			count++
		}
	})
	return count
}

// hasAdvertisedLimit reports whether the backend server advertises a limit.
func (b *backend) hasAdvertisedLimit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit.active
}

// isLimited reports whether requests for a service need a permit at the backend server.
func (b *backend) isLimited(s *serviceconfig.Service) bool {
	_, limited := b.permitRequest(s)
	return limited
}

// permitRequest returns the request for a permit to the backend server, for requests for its service;
// limited is false where none is needed.
func (b *backend) permitRequest(s *serviceconfig.Service) (request serverlimit.PermitRequest, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	warmup := b.limit.warmup(s, now)
	if !b.limit.active && warmup.IsOver() {
		return request, false
	}
	r := b.registration
	server := serverlimit.NewServer(r.Incarnation(), r.StartedAt(), r.Domain())
	return serverlimit.NewPermitRequest(server, b.limit.perSecond, b.limit.unreported, now.Sub(b.limit.requestSentAt), !b.limit.active, warmup), true
}

// endLimit removes the limit after its owner answered a permit request that the limit has ended,
// and reports whether it removed it. A limit advertised after that request was made is newer and
// stays.
func (b *backend) endLimit(request serverlimit.PermitRequest, now time.Time) (ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limit.active || b.limit.unreported && !request.Changed() {
		return false
	}
	b.limit = limitState{endedAt: now, warmupEnd: b.limit.warmupEnd}
	return true
}

// markLimitReported records that the owner knows the limit that a permit request carried.
func (b *backend) markLimitReported(request serverlimit.PermitRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.perSecond == request.PerSecond() {
		b.limit.unreported = false
	}
}

// maxHold bounds how long this gateway doesn't ask an owner again: a low limit may rise or end long
// before its next permit is due.
const maxHold = time.Second

// holdBack keeps requests of this gateway from the backend server until its next permit is due.
func (b *backend) holdBack(now time.Time, next time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit.nextPermitAt, b.limit.heldUntil = now.Add(next), now.Add(min(next, maxHold))
}
