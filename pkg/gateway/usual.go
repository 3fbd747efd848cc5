// ================================================================
// What is usual, learned from what was: the longest time of late, and a bound some
// way above it that is out of the usual.
//
// Rejected: a mean and four mean deviations, as TCP has it for acknowledgements. The
// pauses of an engine are its passes, alike for long and then several times as long
// for one that reads prompts: that bound was passed on every engine every few seconds.
// ================================================================

package gateway

import "time"

const (
	// sampleWindow is for how long a time counts at least, and twice as long at most.
	sampleWindow = 10 * time.Second
	// minSamples have to be known before there is a bound.
	minSamples = 8
)

// recentMax learns what times are usual. The zero value has learned nothing.
type recentMax struct {
	current, previous samplePeriod
}

// samplePeriod is what was seen in one usualLife.
type samplePeriod struct {
	start   time.Time
	longest time.Duration
	samples int
}

// observe learns from a time.
func (u *recentMax) observe(now time.Time, took time.Duration) {
	u.rotate(now)
	u.current.longest = max(u.current.longest, took)
	u.current.samples++
}

// rotate begins a new period when it is time.
func (u *recentMax) rotate(now time.Time) {
	switch since := now.Sub(u.current.start); {
	case since > 2*sampleWindow:
		u.current, u.previous = samplePeriod{start: now}, samplePeriod{}
	case since > sampleWindow:
		u.current, u.previous = samplePeriod{start: now}, u.current
	}
}

// longest returns the longest time of late; false where too few are known.
func (u *recentMax) longest(now time.Time) (time.Duration, bool) {
	u.rotate(now)
	return max(u.current.longest, u.previous.longest), u.current.samples+u.previous.samples >= minSamples
}
