// ================================================================
// A forecast of when an engine begins a request, from what it has to do and from
// what the configuration says of it.
//
// An engine works in passes. A pass reads the prompts that have a place and writes
// a few tokens for each request that runs; all of them get their next event when
// it ends. A request that comes waits for the pass under way, then for a place if
// none is free, and is read in the pass after. Example, with 12 places, passes of
// 48 ms and prompts of 50 ms: at a half empty engine the first event comes after
// half a pass and a pass with its own prompt, 120 ms; behind two other prompts
// after 220 ms; when all places are taken and one more request waits, after the
// ends of two others, 250 ms more.
// ================================================================

package reservation

import (
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Work is what an engine has to do.
type Work struct {
	// Running and Queued count its requests; those whose prompt is not read yet are
	// among the queued.
	Running, Queued int
	// PrefillTokens is the number of prompt tokens of the queued ones.
	PrefillTokens int
	// StepTimeRatio is its time for a step over the usual one; 0 when not known.
	StepTimeRatio float64
}

// forecast is when a request begins.
type forecast struct {
	// unqueued is how long its first event takes if nobody is before it.
	unqueued time.Duration
	// firstEvent is how long it takes behind what is there.
	firstEvent time.Duration
	// pass is how long the pass takes that reads it, which is the pause of all who
	// write then.
	pass time.Duration
}

// newForecast forecasts a request with a prompt of some tokens.
func newForecast(e serviceconfig.Engine, w Work, prompt int) forecast {
	pace := max(w.StepTimeRatio, 1)
	steps := time.Duration(float64(decodePassTime(e, w.Running)) * pace)
	own := time.Duration(float64(e.PrefillTime(prompt)) * pace)
	before := time.Duration(float64(e.PrefillTime(w.PrefillTokens)) * pace)
	f := forecast{unqueued: steps + steps/2 + own, pass: steps + before + own}
	f.firstEvent = f.unqueued + before
	if waiting := w.Running + w.Queued + 1 - e.Slots(); waiting > 0 {
		f.firstEvent += time.Duration(float64(waiting) * float64(e.SlotInterval()) * pace)
	}
	return f
}

// decodePassTime is how long a pass takes that reads nothing.
func decodePassTime(e serviceconfig.Engine, running int) time.Duration {
	return time.Duration(max(e.Stride(), 1)) * (e.Step() + time.Duration(running)*e.PerSequence())
}
