// ================================================================
// A hybrid logical clock: wall time that never runs back and that orders
// what one process caused in another, even when their clocks differ.
//
// A stamp is (wall milliseconds, counter). Each message between processes
// carries the sender's stamp; the receiver moves its own clock past it.
// ================================================================

// Package event records what a process does as events on a time line, ordered
// over all processes by a hybrid logical clock.
package event

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"sync"
	"time"
)

// Stamp is a point in hybrid logical time.
//
//wire:generate
type Stamp struct {
	// wall is in milliseconds since 1970.
	wall int64
	// counter orders stamps within a millisecond.
	counter uint32
}

// Before tells whether s comes before o.
func (s Stamp) Before(o Stamp) bool {
	return s.wall < o.wall || (s.wall == o.wall && s.counter < o.counter)
}

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.wall) }

// Clock is a hybrid logical clock, safe for use by several goroutines.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock over the wall clock now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Next returns a stamp after every stamp returned or observed before.
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

// Observe moves the clock past a stamp of another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
