// ================================================================
// The recent maximum of a duration, from which limits for unusual durations are derived.
//
// The mean plus four mean deviations, as TCP computes its retransmission timeout, would not fit. The
// gaps between an engine's events are the durations of its passes: nearly equal for a long time, and
// several times as long in a pass that reads prompts. Every engine exceeded that bound every few
// seconds.
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
func (m *recentMax) observe(now time.Time, took time.Duration) {
	m.rotate(now)
	m.current.longest = max(m.current.longest, took)
	m.current.samples++
}

// rotate starts a new period when the current one is over.
func (m *recentMax) rotate(now time.Time) {
	switch since := now.Sub(m.current.start); {
	case since > 2*sampleWindow:
		m.current, m.previous = samplePeriod{start: now}, samplePeriod{}
	case since > sampleWindow:
		m.current, m.previous = samplePeriod{start: now}, m.current
	}
}

// longest returns the recent maximum; false where too few samples are known.
func (m *recentMax) longest(now time.Time) (time.Duration, bool) {
	m.rotate(now)
	return max(m.current.longest, m.previous.longest), m.current.samples+m.previous.samples >= minSamples
}
