// ================================================================
// How many requests this gateway may send to an engine until it hears of the
// engine's load again: its share of the places that are free there. All gateways
// hear the same load and choose at the same time, so an engine with two free
// places got a request from each of them. With shares they send it two together.
//
// A share is seldom a whole number. Each word of a load draws by lot how the
// fraction is rounded: so the sum over the gateways is right on average, also
// where there are more gateways than places.
//
// The engines' loads are told late. Rather than choose on them as they are,
// whoever chooses counts with what all others will choose until the next word:
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
	// queuedPerEngine is how many requests may wait at an engine whose places are
	// all taken, so that none stays empty until the next word.
	queuedPerEngine = 1
	// maxQueuedPrefill bounds the prompts that wait to be read at an engine, as the
	// time that it reads: tokens of others pause meanwhile.
	maxQueuedPrefill = 150 * time.Millisecond
)

// reportedLoad is the load that a stager told, and what was sent from here since.
type reportedLoad struct {
	load       feed.Load
	at         time.Time
	sent       int     // since this word
	sentBefore int     // between the word before and this one: it may not count them yet
	rounding   float64 // rounds the share up or down
}

func newReportedLoad(l feed.Load, now time.Time, before reportedLoad) reportedLoad {
	return reportedLoad{load: l, at: now, sentBefore: before.sent, rounding: rand.Float64()}
}

// isFresh tells whether the load counts still.
func (t reportedLoad) isFresh(now time.Time) bool { return !t.at.IsZero() && now.Sub(t.at) < reportTTL }

// estimatedRequests is how many requests the engine has, with those from here that the word
// may not count.
func (t reportedLoad) estimatedRequests() int {
	return t.load.Running() + t.load.Queued() + t.sent + t.sentBefore/2
}

// hasSlot tells whether a gateway with a share of the places may send one more
// request.
func (t reportedLoad) hasSlot(e serviceconfig.Engine, share float64, now time.Time) bool {
	return float64(t.sent+1) <= share*t.freeSlots(e, now)+t.rounding
}

// freeSlots is how many requests an engine may be sent by all gateways
// together, from the word on until now.
func (t reportedLoad) freeSlots(e serviceconfig.Engine, now time.Time) float64 {
	free := e.Slots() + queuedPerEngine - t.load.Running() - t.load.Queued()
	unread := min(t.load.Queued(), e.Slots()-t.load.Running())
	if reads := e.UsualReading(); reads > 0 {
		// An engine that reads longer for a single prompt gets one at a time.
		free = min(free, max(int(maxQueuedPrefill/reads), 1)-unread)
	}
	return max(float64(free)+t.finishedSince(e, now), 0)
}

// finishedSince is how many requests a full engine has ended since the word; 0 when
// it is not known how long they take.
func (t reportedLoad) finishedSince(e serviceconfig.Engine, now time.Time) float64 {
	turn := float64(e.Turn()) * max(t.load.StepTimeRatio(), 1)
	if turn <= 0 {
		return 0
	}
	return float64(now.Sub(t.at)) / turn
}
