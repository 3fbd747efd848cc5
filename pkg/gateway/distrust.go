// ================================================================
// The looks that act on what silence.go finds: attempts whose connections fell silent are
// broken off, resting connections of their time closed, and addresses dialed.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"
)

// lookForSilence looks for silent connections and gives them up.
func (g *Gateway) lookForSilence(now time.Time) {
	defer g.silences.lookAgain(func() { g.lookForSilence(time.Now()) })
	under, all := g.silences.hearings(now)
	everywhere, isNew, suspected := g.silences.silentEverywhere(now, all)
	if !suspected.IsZero() {
		g.dialSilent(now, suspected, all)
	}
	if isNew {
		_ = level.Warn(g.process.Logger).Log("msg", "connections everywhere are silent", "silent_ms", now.Sub(everywhere).Milliseconds(),
			"usual_quiet_ms", g.silences.usualQuiet(now).Milliseconds(), "attempts", len(under))
		g.backends.each(func(b *backend, _ string) { g.distrust(b, everywhere, now, evidenceMany) })
	}
	found := judge(now, everywhere, all)
	var waits, flows []func()
	for _, f := range found {
		l, h := under[f.index], all[f.index]
		b := l.exchange.backend
		if !h.isOneOf(everywhere) {
			g.distrust(b, h.since.Add(leastSilence), now, f.evidence)
		}
		if f.dial && b.reached.mayDial(now, everywhere) {
			g.doubt(b)
		}
		if f.evidence == evidenceSuspected || l.breakOff == nil || l.found.Load() != nil {
			continue
		}
		why, stage := reasonOf(now, f.evidence, h, all), l.exchange.stage(h.flows)
		if !l.exchange.mayInterrupt(why, stage, now) {
			continue
		}
		g.noteInterrupted(l.exchange.request, why, stage)
		l.found.Store(&silence{f.evidence, h.silent(now), h.due})
		g.metrics.distrusted.WithLabelValues(string(f.evidence)).Inc()
		if h.flows {
			flows = append(flows, l.breakOff)
		} else {
			waits = append(waits, l.breakOff)
		}
	}
	// Repeats have a budget: those that can still be in time come first.
	for _, breakOff := range append(waits, flows...) {
		breakOff()
	}
}

// reasonOf is why an attempt with a silent connection is interrupted, by what newer ones show.
func reasonOf(now time.Time, e evidence, h hearing, all []hearing) interruption {
	switch {
	case e == evidenceNewer || newerSpeaks(h, all):
		return interruptSilence
	case newerWait(now, h, all):
		return interruptNobodyAnswers
	}
	return interruptAllSilent
}

// dialSilent dials the backend servers whose connections may be silent since a moment.
func (g *Gateway) dialSilent(now, since time.Time, all []hearing) {
	for _, h := range all {
		if h.tellsOf(now, since) && h.backend.reached.mayDial(now, since) {
			g.doubt(h.backend)
		}
	}
}

// distrust closes the resting connections to a backend server that nothing has come on
// since some moment.
func (g *Gateway) distrust(b *backend, since, now time.Time, e evidence) {
	closed := b.pool.Distrust(since)
	if closed == 0 {
		return
	}
	g.metrics.distrusted.WithLabelValues(string(e)).Add(float64(closed))
	_ = level.Info(g.process.Logger).Log("msg", "resting connections given up as silent", "backend", b.word().Incarnation(),
		"address", b.address, "closed", closed, "silent_ms", now.Sub(since).Milliseconds(), "evidence", string(e))
}

// ----------------------------------------------------------------
// Dials that were answered

// reached is when dials of a backend server were answered. The zero value is never.
type reached struct {
	at    moment // of the last one's beginning
	quick moment // the same of one that was answered at once
}

func (b *backend) sawReached(dialed time.Time, took time.Duration) {
	b.reached.at.set(dialed)
	if took <= quickDial {
		b.reached.quick.set(dialed)
	}
}

// quickly returns when a dial began that was answered at once.
func (r *reached) quickly() time.Time { return r.quick.time() }

// mayDial tells whether no dial was answered since some moment, or none lately.
func (r *reached) mayDial(now, since time.Time) bool {
	at := r.at.time()
	return at.Before(since) || now.Sub(at) > dialAgain
}
