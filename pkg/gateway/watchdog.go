// ================================================================
// The watchdog of an attempt: it breaks the connection when the backend server
// says nothing for too long, where the request may go on elsewhere.
//
// An engine under load is slow to begin, and a request taken from its queue
// has waited in vain. So before the first event the attempt is only given up
// early when the backend server is silent to all requests from here and the
// stager beside it tells nothing of it either, or when the version of the weights
// there is about to lapse. Without the stager's word a gateway that has one request
// at an engine, as most have where there are hundreds, took it away after a second.
// ================================================================

package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// lookAfter is the time between looks.
	lookAfter = 500 * time.Millisecond
	// silentAfter is for how long a backend server may be silent to everybody.
	silentAfter = time.Second
	// patience is for how long an attempt may be silent at the most.
	patience = 2 * time.Second
	// gapPatience is the same between two events.
	gapPatience = 1200 * time.Millisecond
)

type watchdog struct {
	exchange *exchange
	timer    *time.Timer
	last     atomic.Int64 // of this attempt, since its start
	flowing  atomic.Bool  // events come
	barked   atomic.Bool
	lapse    *time.Timer // nil where the version does not lapse
	lapsed   atomic.Bool
}

func newWatchdog(x *exchange) *watchdog {
	w := &watchdog{exchange: x}
	if x.request.route.Idempotent() {
		w.timer = time.AfterFunc(lookAfter, w.look)
		w.watchLapse()
	}
	return w
}

// watchLapse has the request taken back that has not begun when the version
// that its backend server serves lapses.
func (w *watchdog) watchLapse() {
	q, g := w.exchange.request, w.exchange.gateway
	engine := q.service.Engine()
	if engine.Slots() == 0 || q.call.Model == "" {
		return
	}
	served := w.exchange.backend.servedVersion(q.call.Model, max(engine.Layers(), 1))
	q.served, q.lapses = served, time.Time{}
	next := g.versions.Next(q.call.Model, served)
	if served == 0 || next.Version() == 0 {
		return
	}
	at := next.Since().Add(g.settings.WeightsWithin())
	q.lapses = at
	w.lapse = time.AfterFunc(time.Until(at)-lapseMargin, func() {
		if !w.flowing.Load() {
			w.lapsed.Store(true)
			w.exchange.conn.Abort()
		}
	})
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.lapse != nil {
		w.lapse.Stop()
	}
}

// progress notes that the backend server said something.
func (w *watchdog) progress() {
	w.last.Store(int64(time.Since(w.exchange.started)))
	w.exchange.backend.heardAt.Store(time.Now().UnixNano())
}

// flows notes that events come from now on.
func (w *watchdog) flows() {
	w.flowing.Store(true)
	w.progress()
}

func (w *watchdog) look() {
	if w.exchange.request.ctx.Err() != nil {
		return
	}
	if b := w.exchange.backend; time.Since(time.Unix(0, b.heardAt.Load())) > silentBeforeDial {
		w.exchange.gateway.doubt(b)
	}
	silent := time.Since(w.exchange.started) - time.Duration(w.last.Load())
	if silent > w.limit() {
		w.barked.Store(true)
		w.exchange.conn.Abort()
		return
	}
	w.timer.Reset(lookAfter)
}

// limit is how long the attempt may be silent now.
func (w *watchdog) limit() time.Duration {
	if w.flowing.Load() {
		return gapPatience
	}
	if time.Since(w.exchange.backend.heard()) > silentAfter {
		return silentAfter
	}
	return patience
}
