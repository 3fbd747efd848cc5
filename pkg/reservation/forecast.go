// ================================================================
// Forecast of when an engine sends the first event of a request, from the engine's work
// and its configuration.
//
// An engine works in passes. A pass prefills the prompts that have a slot and decodes a
// few tokens for each running request; all of them get their next event when the pass
// ends. A new request waits for the current pass, then for a slot if none is free, and is
// prefilled in the next pass. Example, with 12 slots, passes of 48 ms and prompts of
// 50 ms: at a half empty engine the first event comes after half a pass and one pass with
// its own prompt, 120 ms; behind two other prompts after 220 ms; with no free slot and one
// more request queued, it waits 250 ms more for two requests to end.
// ================================================================

package reservation

import (
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Work is the outstanding work of an engine.
type Work struct {
	// Running and Queued count the engine's requests. A request counts as queued until
	// its prompt is prefilled.
	Running, Queued int
	// PrefillTokens is the number of prompt tokens to prefill before a new request.
	PrefillTokens int
	// StepTimeRatio is the measured step time over the usual step time; 0 if unknown.
	StepTimeRatio float64
}

// forecast holds the expected times of a request.
type forecast struct {
	// unqueued is the time until the first event if no request is ahead.
	unqueued time.Duration
	// firstEvent is the time until the first event behind the present work.
	firstEvent time.Duration
	// pass is the duration of the pass that prefills the request, which is also the gap
	// between events of all requests that run then.
	pass time.Duration
}

// newForecast returns the forecast of a request with a prompt of promptTokens.
func newForecast(e serviceconfig.Engine, w Work, promptTokens int) forecast {
	ratio := max(w.StepTimeRatio, 1)
	decode := time.Duration(float64(decodePassTime(e, w.Running)) * ratio)
	prefill := time.Duration(float64(e.PrefillTime(promptTokens)) * ratio)
	queuedPrefill := time.Duration(float64(e.PrefillTime(w.PrefillTokens)) * ratio)
	f := forecast{unqueued: decode + decode/2 + prefill, pass: decode + queuedPrefill + prefill}
	f.firstEvent = f.unqueued + queuedPrefill
	if excess := w.Running + w.Queued + 1 - e.Slots(); excess > 0 {
		f.firstEvent += time.Duration(float64(excess) * float64(e.SlotInterval()) * ratio)
	}
	return f
}

// decodePassTime returns the duration of a pass without prefill.
func decodePassTime(e serviceconfig.Engine, running int) time.Duration {
	return time.Duration(max(e.Stride(), 1)) * (e.Step() + time.Duration(running)*e.PerSequence())
}
