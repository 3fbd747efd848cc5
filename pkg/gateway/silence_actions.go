// ================================================================
// The actions on silence that silence.go detects: attempts on silent connections are interrupted or get
// a standby, idle connections of the same age closed, and addresses dialed.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"
)

// checkSilence runs one check for silent connections and acts on its findings.
func (g *Gateway) checkSilence(now time.Time) {
	defer g.silenceDetector.scheduleNext(func() { g.checkSilence(time.Now()) })
	active, all := g.silenceDetector.snapshots(now)
	globalSince, isNew, suspected := g.silenceDetector.globalSilence(now, all)
	if !suspected.IsZero() {
		g.dialSilent(now, suspected, all)
	}
	if isNew {
		_ = level.Warn(g.process.Logger).Log("msg", "connections everywhere are silent", "silent_ms", now.Sub(globalSince).Milliseconds(),
			"usual_quiet_ms", g.silenceDetector.recentQuiet(now).Milliseconds(), "attempts", len(active))
		g.backends.each(func(b *backend, _ string) { g.closeSilentIdle(b, globalSince, now, evidenceManyAddresses) })
	}
	found := detectSilent(now, globalSince, all)
	var waits []func()
	for _, f := range found {
		m, a := active[f.index], all[f.index]
		b := m.exchange.backend
		if !a.connSilentSince(globalSince) {
			g.closeSilentIdle(b, a.silentSince.Add(minSilence), now, f.evidence)
		}
		if f.dial && b.dialTimes.needsDial(now, globalSince) {
			g.startDials(b)
		}
		if f.evidence == evidenceSuspected || m.abort == nil || m.detected.Load() != nil {
			continue
		}
		reason, stage := silenceReason(now, f.evidence, a, all), m.exchange.stage(a.streaming)
		silence := &detectedSilence{f.evidence, a.silentFor(now), a.silenceLimit}
		m.exchange.interrupt(reason, stage, silence, now, func() {
			m.detected.Store(silence)
			g.metrics.silentConnections.WithLabelValues(string(f.evidence)).Inc()
			waits = append(waits, m.abort)
		})
	}
	for _, abort := range waits {
		abort()
	}
}

// silenceReason returns the reason to interrupt an attempt with a silent connection, by what
// newer connections show.
func silenceReason(now time.Time, e evidence, a attemptSnapshot, all []attemptSnapshot) interruptReason {
	switch {
	case e == evidenceNewerConn || newerConnStreams(a, all):
		return interruptSilence
	case newerConnsWait(now, a, all):
		return interruptNewerSilent
	}
	return interruptAllSilent
}

// dialSilent dials the backend servers whose connections may be silent since a moment.
func (g *Gateway) dialSilent(now, since time.Time, all []attemptSnapshot) {
	for _, a := range all {
		if a.isEvidenceOf(now, since) && a.backend.dialTimes.needsDial(now, since) {
			g.startDials(a.backend)
		}
	}
}

// closeSilentIdle closes the idle connections to a backend server that received nothing since a
// moment.
func (g *Gateway) closeSilentIdle(b *backend, since, now time.Time, e evidence) {
	closed := b.pool.CloseUnusedSince(since)
	if closed == 0 {
		return
	}
	g.metrics.silentConnections.WithLabelValues(string(e)).Add(float64(closed))
	_ = level.Info(g.process.Logger).Log("msg", "idle connections closed as silent", "backend", b.latestRegistration().Incarnation(),
		"address", b.address, "closed", closed, "silent_ms", now.Sub(since).Milliseconds(), "evidence", string(e))
}

// ----------------------------------------------------------------
// Dials that were answered

// dialTimes records when answered dials of a backend server began. The zero value has none.
type dialTimes struct {
	lastAnswered atomicTime // any answered dial
	lastQuick    atomicTime // one answered within maxQuickDial
}

// recordDial records an answered dial.
func (b *backend) recordDial(dialed time.Time, took time.Duration) {
	b.dialTimes.lastAnswered.set(dialed)
	if took <= maxQuickDial {
		b.dialTimes.lastQuick.set(dialed)
	}
}

// lastQuickDial returns when the last dial that was answered at once began.
func (r *dialTimes) lastQuickDial() time.Time { return r.lastQuick.time() }

// needsDial reports whether no dial that began after a moment, or none recently, was answered.
func (r *dialTimes) needsDial(now, since time.Time) bool {
	at := r.lastAnswered.time()
	return at.Before(since) || now.Sub(at) > redialInterval
}
