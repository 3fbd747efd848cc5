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
	// waitingPlaces is how many requests may wait at an engine whose places are
	// all taken, so that none stays empty until the next word.
	waitingPlaces = 1
	// readingAhead bounds the prompts that wait to be read at an engine, as the
	// time that it reads: tokens of others pause meanwhile.
	readingAhead = 150 * time.Millisecond
)

// toldLoad is the load that a stager told, and what was sent from here since.
type toldLoad struct {
	load feed.Load
	at   time.Time
	sent int     // since this word
	late int     // between the word before and this one: it may not count them yet
	lot  float64 // rounds the share up or down
}

func newToldLoad(l feed.Load, now time.Time, before toldLoad) toldLoad {
	return toldLoad{load: l, at: now, late: before.sent, lot: rand.Float64()}
}

// isFresh tells whether the load counts still.
func (t toldLoad) isFresh(now time.Time) bool { return !t.at.IsZero() && now.Sub(t.at) < toldLife }

// taken is how many requests the engine has, with those from here that the word
// may not count.
func (t toldLoad) taken() int { return t.load.Running() + t.load.Queued() + t.sent + t.late/2 }

// hasPlace tells whether a gateway with a share of the places may send one more
// request.
func (t toldLoad) hasPlace(e serviceconfig.Engine, share float64, now time.Time) bool {
	return float64(t.sent+1) <= share*t.freePlaces(e, now)+t.lot
}

// freePlaces is how many requests an engine may be sent by all gateways
// together, from the word on until now.
func (t toldLoad) freePlaces(e serviceconfig.Engine, now time.Time) float64 {
	free := e.Slots() + waitingPlaces - t.load.Running() - t.load.Queued()
	unread := min(t.load.Queued(), e.Slots()-t.load.Running())
	if reads := e.UsualReading(); reads > 0 {
		// An engine that reads longer for a single prompt gets one at a time.
		free = min(free, max(int(readingAhead/reads), 1)-unread)
	}
	return max(float64(free)+t.endedSince(e, now), 0)
}

// endedSince is how many requests a full engine has ended since the word; 0 when
// it is not known how long they take.
func (t toldLoad) endedSince(e serviceconfig.Engine, now time.Time) float64 {
	turn := float64(e.Turn()) * max(t.load.StepTimeRatio(), 1)
	if turn <= 0 {
		return 0
	}
	return float64(now.Sub(t.at)) / turn
}
