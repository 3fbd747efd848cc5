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

// rememberedGrants bounds the grants that are kept: more requests than engines have
// places for.
const rememberedGrants = 256

// Book decides who may send a request to one engine. It is safe for concurrent
// use; the zero value has granted nothing.
type Book struct {
	mu     sync.Mutex
	grants []grant // those that have not begun, the latest last
}

// grant is a place that was promised to a request that has not begun.
type grant struct {
	begins time.Time // as forecast
	prompt int       // tokens to read
}

// Decide decides about a request, for an engine that reported its work. It returns
// what the engine has to do with what was granted and has not begun, without this
// request.
func (b *Book) Decide(now time.Time, e serviceconfig.Engine, reported Work, a Ask) (granted bool, begins time.Duration, w Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	prompt := a.prompt
	if prompt == 0 {
		prompt = e.UsualPrompt()
	}
	b.forgetBegun(now)
	w = b.withGrants(e, reported)
	f := forecastOf(e, w, prompt)
	if !f.isInTime(e, w, a) {
		return false, f.begins, w
	}
	b.grants = append(b.grants, grant{now.Add(f.begins), prompt})
	return true, f.begins, w
}

// isInTime tells whether a request with a forecast is worth taking. One that
// nobody is before is, also where the engine cannot begin it in time: it is late
// everywhere, and better late than refused.
func (f forecast) isInTime(e serviceconfig.Engine, w Work, a Ask) bool {
	if w.Queued == 0 && w.Running < e.Slots() {
		return true
	}
	if a.pause > 0 && f.pass > a.pause {
		return false
	}
	return f.begins <= a.within
}

// forgetBegun forgets the requests that have begun by now.
func (b *Book) forgetBegun(now time.Time) {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool { return !g.begins.After(now) })
	if surplus := len(b.grants) - rememberedGrants; surplus > 0 {
		b.grants = slices.Delete(b.grants, 0, surplus)
	}
}

// withGrants adds to the reported work what was granted and has not begun. Engines
// count a request as queued until its prompt is being read and as running from its
// first token, so their report does not show what they are reading, nor what is on
// its way to them: an engine back from an order got eleven prompts within 0.1 s,
// since it reported none, and began the last of them after 1.1 s.
func (b *Book) withGrants(e serviceconfig.Engine, w Work) Work {
	unlisted := max(w.Queued-len(b.grants), 0)
	w.Queued = max(w.Queued, len(b.grants))
	w.Unread = 0
	free := max(e.Slots()-w.Running, 0)
	for i, g := range b.grants {
		if i < free {
			w.Unread += g.prompt
		}
	}
	w.Unread += min(unlisted, max(free-len(b.grants), 0)) * e.UsualPrompt()
	return w
}
