// ================================================================
// The gateway's share of the free slots of an engine, which bounds the requests that it sends
// there until the next load report. All gateways get the same report at the same time; without
// shares an engine with two free slots got a request from each of them.
//
// A share is seldom a whole number. Each load report draws a random value that decides how its
// fraction is rounded, so the sum over the gateways is right on average, also with more gateways
// than slots.
//
// Reports are stale, so each gateway accounts for what the others will choose until the next one:
// M. Dahlin, "Interpreting stale load information" (1999).
// ================================================================

package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// queuedPerEngine is how many requests may queue at an engine whose slots are all taken, so
	// that no slot is idle until the next load report.
	queuedPerEngine = 1
	// maxQueuedPrefill bounds the prompts that wait for their prefill at an engine, as prefill
	// time: the tokens of other requests pause meanwhile.
	maxQueuedPrefill = 150 * time.Millisecond
)

// reportedLoad is the last load report of a stager, with the requests that this gateway sent
// since.
type reportedLoad struct {
	load       feed.Load
	at         time.Time
	sent       int     // since this report
	sentBefore int     // between the report before and this one, which may not count all of them
	rounding   float64 // random, rounds the share up or down
}

func newReportedLoad(l feed.Load, now time.Time, previous reportedLoad) reportedLoad {
	return reportedLoad{load: l, at: now, sentBefore: previous.sent, rounding: rand.Float64()}
}

// isFresh reports whether the report is newer than reportTTL.
func (r reportedLoad) isFresh(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < reportTTL }

// estimatedRequests is the number of requests at the engine, with those of this gateway that the
// report may not count.
func (r reportedLoad) estimatedRequests() int {
	return r.load.Running() + r.load.Queued() + r.sent + r.sentBefore/2
}

// hasSlot reports whether a gateway with a share of the slots may send one more request.
func (r reportedLoad) hasSlot(e serviceconfig.Engine, share float64, now time.Time) bool {
	return float64(r.sent+1) <= share*r.freeSlots(e, now)+r.rounding
}

// freeSlots is how many requests all gateways together may send to an engine between the report
// and now.
func (r reportedLoad) freeSlots(e serviceconfig.Engine, now time.Time) float64 {
	free := e.Slots() + queuedPerEngine - r.load.Running() - r.load.Queued()
	queuedPrompts := min(r.load.Queued(), e.Slots()-r.load.Running())
	if prefill := e.UsualPrefillTime(); prefill > 0 {
		// An engine whose prefill takes longer for a single prompt gets one prompt at a time.
		free = min(free, max(int(maxQueuedPrefill/prefill), 1)-queuedPrompts)
	}
	return max(float64(free)+r.finishedSince(e, now), 0)
}

// finishedSince is how many requests a full engine has finished since the report, or 0 if the
// time of a request is not known.
func (r reportedLoad) finishedSince(e serviceconfig.Engine, now time.Time) float64 {
	requestTime := float64(e.SlotInterval()) * max(r.load.StepTimeRatio(), 1)
	if requestTime <= 0 {
		return 0
	}
	return float64(now.Sub(r.at)) / requestTime
}
