// ================================================================
// The book of one engine: what was granted lately, and the decision about the next
// request. A plain object: the engine's report and a time go in.
// ================================================================

package reservation

import (
	"slices"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// maxPendingGrants bounds the grants that are kept: more requests than engines have
// places for.
const maxPendingGrants = 256

// Controller decides who may send a request to one engine. It is safe for concurrent
// use; the zero value has granted nothing.
type Controller struct {
	mu      sync.Mutex
	pending []grant // those that have not begun, the latest last
}

// grant is a place that was promised to a request that has not begun.
type grant struct {
	firstEventAt time.Time // as forecast
	promptTokens int       // tokens to read
}

// Decide decides about a request, for an engine that reported its work. It returns
// what the engine has to do with what was granted and has not begun, without this
// request.
func (b *Controller) Decide(now time.Time, e serviceconfig.Engine, reported Work, a Request) (granted bool, begins time.Duration, w Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	prompt := a.promptTokens
	if prompt == 0 {
		prompt = e.UsualPrompt()
	}
	b.removeStarted(now)
	w = b.addPending(e, reported)
	f := newForecast(e, w, prompt)
	if !f.isAcceptable(e, w, a) {
		return false, f.firstEvent, w
	}
	b.pending = append(b.pending, grant{now.Add(f.firstEvent), prompt})
	return true, f.firstEvent, w
}

// isAcceptable tells whether a request with a forecast is worth taking. One that
// nobody is before is, also where the engine cannot begin it in time: it is late
// everywhere, and better late than refused.
func (f forecast) isAcceptable(e serviceconfig.Engine, w Work, a Request) bool {
	if w.Queued == 0 && w.Running < e.Slots() {
		return true
	}
	if a.maxGap > 0 && f.pass > a.maxGap {
		return false
	}
	return f.firstEvent <= a.firstEventWithin
}

// removeStarted forgets the requests that have begun by now.
func (b *Controller) removeStarted(now time.Time) {
	b.pending = slices.DeleteFunc(b.pending, func(g grant) bool { return !g.firstEventAt.After(now) })
	if surplus := len(b.pending) - maxPendingGrants; surplus > 0 {
		b.pending = slices.Delete(b.pending, 0, surplus)
	}
}

// addPending adds to the reported work what was granted and has not begun. Engines
// count a request as queued until its prompt is being read and as running from its
// first token, so their report does not show what they are reading, nor what is on
// its way to them: an engine back from an order got eleven prompts within 0.1 s,
// since it reported none, and began the last of them after 1.1 s.
func (b *Controller) addPending(e serviceconfig.Engine, w Work) Work {
	unlisted := max(w.Queued-len(b.pending), 0)
	w.Queued = max(w.Queued, len(b.pending))
	w.PrefillTokens = 0
	free := max(e.Slots()-w.Running, 0)
	for i, g := range b.pending {
		if i < free {
			w.PrefillTokens += g.promptTokens
		}
	}
	w.PrefillTokens += min(unlisted, max(free-len(b.pending), 0)) * e.UsualPrompt()
	return w
}
