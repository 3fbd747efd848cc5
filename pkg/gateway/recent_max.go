// ================================================================
// The recent maximum of a duration, from which limits for unusual durations are derived.
//
// Rejected: the mean plus four mean deviations, as TCP computes its retransmission timeout. The
// gaps between an engine's events are its passes, equal for long and then several times as long
// in a pass that reads prompts: every engine exceeded that bound every few seconds.
// ================================================================

package gateway

import "time"

const (
	// sampleWindow is the length of a period. A sample counts for at least one and at most two
	// periods.
	sampleWindow = 10 * time.Second
	// minSamples is how many samples are needed before a maximum is reported.
	minSamples = 8
)

// recentMax tracks the recent maximum of a duration. The zero value has no samples.
type recentMax struct {
	current, previous samplePeriod
}

// samplePeriod holds the samples of one sampleWindow.
type samplePeriod struct {
	start   time.Time
	longest time.Duration
	samples int
}

// observe adds a sample.
func (u *recentMax) observe(now time.Time, took time.Duration) {
	u.rotate(now)
	u.current.longest = max(u.current.longest, took)
	u.current.samples++
}

// rotate starts a new period when the current one is over.
func (u *recentMax) rotate(now time.Time) {
	switch since := now.Sub(u.current.start); {
	case since > 2*sampleWindow:
		u.current, u.previous = samplePeriod{start: now}, samplePeriod{}
	case since > sampleWindow:
		u.current, u.previous = samplePeriod{start: now}, u.current
	}
}

// longest returns the recent maximum; false where too few samples are known.
func (u *recentMax) longest(now time.Time) (time.Duration, bool) {
	u.rotate(now)
	return max(u.current.longest, u.previous.longest), u.current.samples+u.previous.samples >= minSamples
}
