// ================================================================
// What this gateway has heard of the limits that backend servers name.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/serverlimit"
)

const (
	// limitLines bounds the log lines on limits a second, and limitLinesAtOnce those of one
	// moment: each server in need has one when it begins, changes its number or ends.
	limitLines       = 2
	limitLinesAtOnce = 64
)

// heardLimit is the limit of one backend server as heard here. The backend's lock guards it.
type heardLimit struct {
	named     bool
	perSecond float64
	at        time.Time // when an answer named it last
}

// hearLimit takes what an answer says of its backend server's limit.
func (x *exchange) hearLimit(told Answer) {
	if told.Elsewhere(x.backend.word().Incarnation()) {
		return
	}
	if x.backend.hearLimit(told.Limit, x.started, time.Now()) {
		x.gateway.logLimit(x.backend, told.Limit)
	}
}

// hearLimit takes what the answer to a request sent at a moment says, and tells whether that
// is a change. Answers overtake one another: only one to a request that was sent after the
// limit was heard can say that it is over.
func (b *backend) hearLimit(s serverlimit.Saying, sent, now time.Time) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.limit
	switch {
	case s.Kind() == serverlimit.Named:
		changed = !l.named || l.perSecond != s.PerSecond()
		*l = heardLimit{named: true, perSecond: s.PerSecond(), at: now}
	case s.Kind() == serverlimit.None && l.named && sent.After(l.at):
		changed = true
		*l = heardLimit{}
	}
	return changed
}

func (g *Gateway) logLimit(b *backend, s serverlimit.Saying) {
	if !g.mayLogLimit.Allow() {
		return
	}
	word := b.word()
	message := "backend server names a limit"
	if s.Kind() != serverlimit.Named {
		message = "backend server names no limit any more"
	}
	_ = level.Info(g.process.Logger).Log("msg", message, "backend", word.Incarnation(), "service", word.Service(),
		"address", word.Address(), "per_second", s.PerSecond())
}

// limitedBackends counts the backend servers that name a limit.
func (g *Gateway) limitedBackends() (count int) {
	g.backends.each(func(b *backend, _ string) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.limit.named {
			count++
		}
	})
	return count
}
