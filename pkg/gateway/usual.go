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
	// usualLife is for how long a time counts at least, and twice as long at most.
	usualLife = 10 * time.Second
	// fewestValues have to be known before there is a bound.
	fewestValues = 8
)

// usual learns what times are usual. The zero value has learned nothing.
type usual struct {
	now, before period
}

// period is what was seen in one usualLife.
type period struct {
	began   time.Time
	longest time.Duration
	values  int
}

// saw learns from a time.
func (u *usual) saw(now time.Time, took time.Duration) {
	u.turn(now)
	u.now.longest = max(u.now.longest, took)
	u.now.values++
}

// turn begins a new period when it is time.
func (u *usual) turn(now time.Time) {
	switch since := now.Sub(u.now.began); {
	case since > 2*usualLife:
		u.now, u.before = period{began: now}, period{}
	case since > usualLife:
		u.now, u.before = period{began: now}, u.now
	}
}

// longest returns the longest time of late; false where too few are known.
func (u *usual) longest(now time.Time) (time.Duration, bool) {
	u.turn(now)
	return max(u.now.longest, u.before.longest), u.now.values+u.before.values >= fewestValues
}
