// ================================================================
// A hybrid logical clock. Its timestamps follow the wall clock, never decrease, and order an event in
// one process after its cause in another even if their wall clocks differ: each message between
// processes contains the sender's timestamp, and the receiver advances its own clock past it.
// ================================================================

// Package event records the events of a process. Their timestamps, from a hybrid logical clock, order
// the events of all processes in one timeline.
package event

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock.
//
//wire:generate
type Stamp struct {
	// wall is the wall time in milliseconds since the Unix epoch.
	wall int64
	// counter orders timestamps with the same wall time.
	counter uint32
}

// Before reports whether s is earlier than o.
func (s Stamp) Before(o Stamp) bool {
	return s.wall < o.wall || (s.wall == o.wall && s.counter < o.counter)
}

// Time returns the wall time of the timestamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.wall) }

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that reads the wall time from now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Next returns a timestamp after all that were returned or observed before.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMilli()
	if wall > c.last.wall {
		c.last = Stamp{wall: wall}
	} else {
		c.last.counter++
	}
	return c.last
}

// Observe advances the clock to a timestamp of another process, so that Next returns a later one.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
