// ================================================================
// Admission at one entry: a bound on what is in flight, fair shares between
// organisations when it is nearly reached, and nothing ever held back. Who
// cannot be served is told so at once, and when to come back.
//
// Below the soft limit anybody is admitted: there is nothing to share out.
// Above it an organisation is admitted only while it is under its share of
// the limit, by weight among those that have requests in flight. So a large
// one fills the entry when it is alone, and a small one always finds room.
// ================================================================

// Package admission bounds and shares out what is in flight at an entry.
package admission

import (
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// softLimitFraction is the part of the limit below which shares do not count.
	softLimitFraction = 0.8
	// minRetryAfter and mostRetryAfter bound the time to come back.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// durationSampleWeight is the part of a new sample in the usual duration.
	durationSampleWeight = 0.05
)

// Organisation is an organisation's contract.
type Organisation struct {
	Name   string
	Weight uint32
	// MaxInFlight bounds it whatever is free; 0 is no bound.
	MaxInFlight int
}

// usage is what one organisation has in flight.
type usage struct {
	weight   uint32
	inFlight int
}

// Controller admits requests; safe for use by several goroutines.
type Controller struct {
	limit int

	mu            sync.Mutex
	total         int
	organisations map[string]*usage
	meanDuration  time.Duration
}

// NewController returns a controller with a limit of requests in flight.
func NewController(limit int) *Controller {
	return &Controller{limit: limit, organisations: map[string]*usage{}}
}

// SetLimit changes the limit, as agents come and go. What is in flight above a
// lower limit goes on to its end.
func (c *Controller) SetLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = max(limit, 1)
}

// Ticket is an admitted request; call Release when it has ended.
type Ticket struct {
	controller *Controller
	name       string
	admitted   time.Time
	once       sync.Once
}

// Admit takes a request in, or refuses it with the time to come back.
func (c *Controller) Admit(o Organisation, deadline, now time.Time) (*Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(deadline) {
		return nil, failure.New(failure.DeadlineExceeded, "the deadline has passed")
	}
	u := c.organisations[o.Name]
	inFlight := 0
	if u != nil {
		inFlight = u.inFlight
	}
	if err := c.refusal(o, inFlight); err != nil {
		return nil, err
	}
	if u == nil {
		u = &usage{}
		c.organisations[o.Name] = u
	}
	u.weight = o.Weight
	u.inFlight++
	c.total++
	return &Ticket{controller: c, name: o.Name, admitted: now}, nil
}

func (c *Controller) refusal(o Organisation, inFlight int) error {
	switch {
	case o.MaxInFlight > 0 && inFlight >= o.MaxInFlight:
		return failure.New(failure.ShareExceeded, "organisation %q has %d requests in flight, its bound at this entry",
			o.Name, inFlight).WithRetryAfter(c.retryAfter())
	case c.total >= c.limit:
		return failure.New(failure.Overloaded, "%d requests in flight at this entry", c.total).WithRetryAfter(c.retryAfter())
	case float64(c.total) >= softLimitFraction*float64(c.limit) && float64(inFlight) >= c.share(o):
		return failure.New(failure.ShareExceeded, "organisation %q has %d requests in flight, its share while others wait",
			o.Name, inFlight).WithRetryAfter(c.retryAfter())
	default:
		return nil
	}
}

// share is the organisation's part of the limit among those with requests in
// flight, itself included.
func (c *Controller) share(o Organisation) float64 {
	sum := float64(o.Weight)
	for name, u := range c.organisations {
		if name != o.Name {
			sum += float64(u.weight)
		}
	}
	return float64(c.limit) * float64(o.Weight) / sum
}

// retryAfter is about when a place will be free: the usual duration of a
// request, in bounds.
func (c *Controller) retryAfter() time.Duration {
	return min(max(c.meanDuration.Round(time.Second), minRetryAfter), maxRetryAfter)
}

// Release gives the place back. More than one call does nothing.
func (t *Ticket) Release(now time.Time) {
	t.once.Do(func() { t.controller.release(t, now) })
}

func (c *Controller) release(t *Ticket, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total--
	u := c.organisations[t.name]
	u.inFlight--
	if u.inFlight == 0 {
		delete(c.organisations, t.name)
	}
	c.meanDuration += time.Duration(durationSampleWeight * float64(now.Sub(t.admitted)-c.meanDuration))
}

// InFlight returns the requests in flight.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
