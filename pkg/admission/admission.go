// ================================================================
// Admission control at one entry: a limit on the requests in flight and weighted fair
// shares between organisations. Requests are never queued: one that cannot be served is
// refused at once, with a time to retry after.
//
// Below the soft limit every request is admitted. Above it an organisation is admitted
// only while it is under its share of the limit, by weight among the organisations with
// requests in flight. So a large organisation can use the whole entry when it is alone,
// and a small one is still admitted beside it.
// ================================================================

// Package admission limits the requests in flight at an entry and shares the limit between
// organisations.
package admission

import (
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// softLimitFraction is the fraction of the limit below which shares do not apply.
	softLimitFraction = 0.8
	// minRetryAfter and maxRetryAfter bound the retry time of refusals.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// durationSampleWeight is the weight of a new sample in the moving average of request
	// durations.
	durationSampleWeight = 0.05
)

// Organisation holds the limits of one organisation.
type Organisation struct {
	Name   string
	Weight uint32
	// MaxInFlight bounds its requests in flight at any load; 0 means no bound.
	MaxInFlight int
}

// usage counts the requests in flight of one organisation.
type usage struct {
	weight   uint32
	inFlight int
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	limit int

	mu            sync.Mutex
	total         int
	organisations map[string]*usage
	meanDuration  time.Duration
}

// NewController returns a controller that admits at most limit requests in flight.
func NewController(limit int) *Controller {
	return &Controller{limit: limit, organisations: map[string]*usage{}}
}

// SetLimit changes the limit when agents join or leave. Requests already in flight above
// a lowered limit are not cancelled.
func (c *Controller) SetLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = max(limit, 1)
}

// Ticket is an admitted request. Call Release when the request has ended.
type Ticket struct {
	controller *Controller
	name       string
	admitted   time.Time
	once       sync.Once
}

// Admit admits a request. A refusal carries the time to retry after, except when the
// deadline has passed.
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

// refusal returns why a request is refused, or nil.
func (c *Controller) refusal(o Organisation, inFlight int) error {
	switch {
	case o.MaxInFlight > 0 && inFlight >= o.MaxInFlight:
		return failure.New(failure.ShareExceeded, "organisation %q has %d requests in flight, its limit at this entry",
			o.Name, inFlight).WithRetryAfter(c.retryAfter())
	case c.total >= c.limit:
		return failure.New(failure.Overloaded, "%d requests in flight at this entry, its limit", c.total).WithRetryAfter(c.retryAfter())
	case float64(c.total) >= softLimitFraction*float64(c.limit) && float64(inFlight) >= c.share(o):
		return failure.New(failure.ShareExceeded, "organisation %q has %d requests in flight, its share of this entry under load",
			o.Name, inFlight).WithRetryAfter(c.retryAfter())
	default:
		return nil
	}
}

// share returns the organisation's weighted part of the limit among the organisations
// with requests in flight, itself included.
func (c *Controller) share(o Organisation) float64 {
	sum := float64(o.Weight)
	for name, u := range c.organisations {
		if name != o.Name {
			sum += float64(u.weight)
		}
	}
	return float64(c.limit) * float64(o.Weight) / sum
}

// retryAfter estimates when a slot is free: the mean duration of a request, in bounds.
func (c *Controller) retryAfter() time.Duration {
	return min(max(c.meanDuration.Round(time.Second), minRetryAfter), maxRetryAfter)
}

// Release frees the slot of the request. Later calls do nothing.
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

// InFlight returns the number of requests in flight.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
