// ================================================================
// Admission control of one engine: which requests were granted and have not started,
// and whether the next one is granted. It does no I/O and reads no clock: the engine's
// report and the time are arguments.
// ================================================================

package reservation

import (
	"slices"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// maxPendingGrants bounds the pending grants of one engine. It is above the number of
// slots of any engine.
const maxPendingGrants = 256

// Controller decides which requests may be sent to one engine. It is safe for
// concurrent use; the zero value has no pending grants.
type Controller struct {
	mu      sync.Mutex
	pending []grant // requests that have not started, latest last
}

// grant is a slot that was reserved for a request that has not started.
type grant struct {
	firstEventAt time.Time // as forecast
	promptTokens int       // tokens to prefill
}

// Decide grants or refuses a request, given the work that the engine reported. It also
// returns the expected time until the request's first event, and the engine's work with
// the pending grants but without this request.
func (c *Controller) Decide(now time.Time, e serviceconfig.Engine, reported Work, q Request) (granted bool, firstEventIn time.Duration, w Work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeStarted(now)
	w = c.addPending(e, reported)
	f := newForecast(e, w, q.prompt(e))
	if !isAcceptable(e, w, q) {
		return false, f.firstEvent, w
	}
	c.pending = append(c.pending, grant{now.Add(f.firstEvent), q.prompt(e)})
	return true, f.firstEvent, w
}

// isAcceptable reports whether a request is granted. A request that gets a free slot at
// once is granted even if its first event is forecast to be late: it would be late at every
// engine, and a late answer is better than a refusal.
func isAcceptable(e serviceconfig.Engine, w Work, q Request) bool {
	if w.Queued == 0 && w.Running < e.Slots() {
		return true
	}
	tested := q.TestedPrompt(e)
	if longest := max(q.prompt(e), tested); q.maxGap > 0 && newForecast(e, w, longest).pass > q.maxGap {
		return false
	}
	return newForecast(e, w, tested).firstEvent <= q.maxTimeToFirstEvent
}

// removeStarted drops the grants whose first event was forecast for now or earlier, and the
// oldest ones above maxPendingGrants.
func (c *Controller) removeStarted(now time.Time) {
	c.pending = slices.DeleteFunc(c.pending, func(g grant) bool { return !g.firstEventAt.After(now) })
	if surplus := len(c.pending) - maxPendingGrants; surplus > 0 {
		c.pending = slices.Delete(c.pending, 0, surplus)
	}
}

// addPending adds the pending grants to the reported work. Engines count a request as
// queued until its prefill starts and as running from its first token, so a report omits
// the prompts in prefill and the requests still on the network. Without this correction,
// an engine that had just executed an order and reported no work was granted eleven
// prompts within 0.1 s, and the first event of the last one came after 1.1 s.
func (c *Controller) addPending(e serviceconfig.Engine, w Work) Work {
	otherQueued := max(w.Queued-len(c.pending), 0)
	w.Queued = max(w.Queued, len(c.pending))
	w.PrefillTokens = 0
	freeSlots := max(e.Slots()-w.Running, 0)
	for i, g := range c.pending {
		if i < freeSlots {
			w.PrefillTokens += g.promptTokens
		}
	}
	w.PrefillTokens += min(otherQueued, max(freeSlots-len(c.pending), 0)) * e.UsualPrompt()
	return w
}
