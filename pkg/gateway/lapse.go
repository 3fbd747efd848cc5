// ================================================================
// When the version of the weights lapses that a backend server serves: at the end of the
// agreed time of the oldest version above it. No request may begin on it afterwards.
//
// Three things see to that, each where the others are blind:
//
//   - the choice leaves out where the request would not be over by then (versions.go);
//   - the request carries the time that is left as its deadline. The backend server drops
//     it for itself, whatever becomes of this gateway and of the link between: a break
//     lies behind the chunks on that link, up to 0.6 s where it is narrow;
//   - the attempt is taken back while it waits, by what is known now and not by what was
//     known when it was sent: versions, and earlier namings of them, are heard of late by
//     a gateway that has just started.
//
// Rejected: the deadline for those only that would be over in time, and the others sent
// without one. Those are the ones that begin late when the engine is slower than thought.
// ================================================================

package gateway

import (
	"time"
)

const (
	// lapseMargin is how long before a version lapses a request that has not begun on it
	// is taken back: the break takes that long to a backend server at the worst.
	lapseMargin = 600 * time.Millisecond
	// deadlineMargin is how long before a version lapses the request's own deadline ends:
	// the way to the backend server, and the word of the version to this gateway.
	deadlineMargin = 100 * time.Millisecond
)

// lapse is what is known of a version's end. The zero value is a version that does not
// lapse, or none.
type lapse struct {
	served uint64    // the version that the backend server serves
	at     time.Time // when its time ends; zero when no later version is named
}

// lapses tells whether the version's time ends.
func (l lapse) lapses() bool { return !l.at.IsZero() }

// lapseOf returns the lapse of the version that a backend server serves of a request's
// model, as known now. Where none is known now, for instance while an order is under way,
// it is the one known before, or the oldest that may still serve.
func (g *Gateway) lapseOf(q *request, b *backend, before uint64) lapse {
	engine := q.service.Engine()
	if engine.Slots() == 0 || q.call.Model == "" {
		return lapse{}
	}
	l := lapse{served: b.servedVersion(q.call.Model, max(engine.Layers(), 1))}
	if l.served == 0 {
		l.served = max(before, g.versions.Due(q.call.Model, g.settings.WeightsWithin(), time.Now()))
	}
	if next := g.versions.Next(q.call.Model, l.served); next.Version() > 0 {
		l.at = next.Since().Add(g.settings.WeightsWithin())
	}
	return l
}

// allowed is how long a backend server may work on a request: what is left to its caller,
// and no longer than the version there may serve.
func (q *request) allowed() time.Duration {
	left := q.remaining()
	if q.lapse.lapses() {
		left = min(left, time.Until(q.lapse.at)-deadlineMargin)
	}
	return left
}

// hasLapsed tells whether what the backend server was allowed ended with its version, and
// is over. It counts whole milliseconds and may end a little earlier.
func (q *request) hasLapsed() bool {
	return q.lapse.lapses() && q.remaining() > leastTime && q.allowed() < leastTime
}

// untilTakenBack is for how long yet an attempt may wait for its first event, by what is
// known now of the version where it waits; false while that does not lapse.
func (w *watchdog) untilTakenBack() (time.Duration, bool) {
	q := w.exchange.request
	l := w.exchange.gateway.lapseOf(q, w.exchange.backend, w.served)
	return time.Until(l.at) - lapseMargin, l.lapses()
}

// takeBackLapsed takes the attempt back when it waits for its first event and the version
// where it waits is about to lapse.
func (w *watchdog) takeBackLapsed() bool {
	left, lapses := w.untilTakenBack()
	if !lapses || left > 0 || w.flowing.Load() {
		return false
	}
	w.lapsed.Store(true)
	w.exchange.conn.Abort()
	return true
}
