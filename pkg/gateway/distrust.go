// ================================================================
// The looks that act on what silence.go finds: attempts whose connections fell silent are
// broken off, resting connections of their time closed, and addresses dialed.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"
)

// checkSilence looks for silent connections and gives them up.
func (g *Gateway) checkSilence(now time.Time) {
	defer g.silences.scheduleNext(func() { g.checkSilence(time.Now()) })
	under, all := g.silences.snapshots(now)
	everywhere, isNew, suspected := g.silences.globalSilence(now, all)
	if !suspected.IsZero() {
		g.dialSilent(now, suspected, all)
	}
	if isNew {
		_ = level.Warn(g.process.Logger).Log("msg", "connections everywhere are silent", "silent_ms", now.Sub(everywhere).Milliseconds(),
			"usual_quiet_ms", g.silences.recentQuiet(now).Milliseconds(), "attempts", len(under))
		g.backends.each(func(b *backend, _ string) { g.closeSilentIdle(b, everywhere, now, evidenceManyAddresses) })
	}
	found := detectSilent(now, everywhere, all)
	var waits, flows []func()
	for _, f := range found {
		l, h := under[f.index], all[f.index]
		b := l.exchange.backend
		if !h.connSilentSince(everywhere) {
			g.closeSilentIdle(b, h.silentSince.Add(minSilence), now, f.evidence)
		}
		if f.dial && b.reached.needsDial(now, everywhere) {
			g.doubt(b)
		}
		if f.evidence == evidenceSuspected || l.abort == nil || l.detected.Load() != nil {
			continue
		}
		why, stage := silenceReason(now, f.evidence, h, all), l.exchange.stage(h.streaming)
		if !l.exchange.mayInterrupt(why, stage, now) {
			continue
		}
		g.recordInterrupted(l.exchange.request, why, stage)
		l.detected.Store(&detectedSilence{f.evidence, h.silentFor(now), h.silenceLimit})
		g.metrics.distrusted.WithLabelValues(string(f.evidence)).Inc()
		if h.streaming {
			flows = append(flows, l.abort)
		} else {
			waits = append(waits, l.abort)
		}
	}
	// Repeats have a budget: those that can still be in time come first.
	for _, breakOff := range append(waits, flows...) {
		breakOff()
	}
}

// silenceReason is why an attempt with a silent connection is interrupted, by what newer ones show.
func silenceReason(now time.Time, e evidence, h attemptSnapshot, all []attemptSnapshot) interruption {
	switch {
	case e == evidenceNewerConn || newerConnStreams(h, all):
		return interruptSilence
	case newerConnsWait(now, h, all):
		return interruptNewerSilent
	}
	return interruptAllSilent
}

// dialSilent dials the backend servers whose connections may be silent since a moment.
func (g *Gateway) dialSilent(now, since time.Time, all []attemptSnapshot) {
	for _, h := range all {
		if h.isEvidenceOf(now, since) && h.backend.reached.needsDial(now, since) {
			g.doubt(h.backend)
		}
	}
}

// closeSilentIdle closes the resting connections to a backend server that nothing has come on
// since some moment.
func (g *Gateway) closeSilentIdle(b *backend, since, now time.Time, e evidence) {
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

// dialTimes is when dials of a backend server were answered. The zero value is never.
type dialTimes struct {
	lastAnswered moment // of the last one's beginning
	lastQuick    moment // the same of one that was answered at once
}

func (b *backend) recordDial(dialed time.Time, took time.Duration) {
	b.reached.lastAnswered.set(dialed)
	if took <= maxQuickDial {
		b.reached.lastQuick.set(dialed)
	}
}

// lastQuickDial returns when a dial began that was answered at once.
func (r *dialTimes) lastQuickDial() time.Time { return r.lastQuick.time() }

// needsDial tells whether no dial was answered since some moment, or none lately.
func (r *dialTimes) needsDial(now, since time.Time) bool {
	at := r.lastAnswered.time()
	return at.Before(since) || now.Sub(at) > dialAgain
}
