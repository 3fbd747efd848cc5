// ================================================================
// The prompt length for which a request is tested before it may wait at an engine.
//
// If each request were tested with its own prompt, short prompts would pass at a backlog at which long
// ones fail. Under load they keep the backlog there, and long ones are refused at every engine and at
// each retry. So all requests that compete are tested with the same length, that of a long prompt: what
// is granted depends on the backlog and not on the size.
// ================================================================

package reservation

import (
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// TestedPrompt returns the prompt length, in tokens, for which a request is tested: that of long prompts, as far
// as an engine can start these in time behind one queued request, so that one can always queue. Where it can't, all
// are tested as usual prompts at least, and what is longer may start late by the difference.
func (q Request) TestedPrompt(e serviceconfig.Engine) int {
	if q.longPrompt == 0 {
		return q.prompt(e)
	}
	return min(max(q.prompt(e), q.longPrompt), max(q.longestInTime(e), e.UsualPrompt()))
}

// prompt returns the length of the prompt; the usual one if it is unknown.
func (q Request) prompt(e serviceconfig.Engine) int {
	if q.promptTokens == 0 {
		return e.UsualPrompt()
	}
	return q.promptTokens
}

// longestInTime returns the longest prompt that starts in time behind one queued request at an engine whose slots are
// all taken.
func (q Request) longestInTime(e serviceconfig.Engine) int {
	full := newForecast(e, Work{Running: e.Slots(), Queued: 1}, 0)
	left := q.maxTimeToFirstEvent - full.firstEvent
	if q.maxGap > 0 {
		left = min(left, q.maxGap-full.pass)
	}
	return e.PromptWithin(left)
}

// Surcharge returns how much longer an engine prefills the tested prompt than the request's own. It is negative for a
// prompt that is longer than the tested one.
func (q Request) Surcharge(e serviceconfig.Engine, stepTimeRatio float64) time.Duration {
	surcharge := e.PrefillTime(q.TestedPrompt(e)) - e.PrefillTime(q.prompt(e))
	return time.Duration(float64(surcharge) * max(stepTimeRatio, 1))
}
