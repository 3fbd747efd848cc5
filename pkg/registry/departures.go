// ================================================================
// The departures of backend servers that the control nodes have agreed on. A backend server does not repeat a
// departure that was acknowledged, so one that is forgotten afterwards is forgotten for good. Departures
// therefore pass through the control log before they are acknowledged. They are kept as long as a
// registration that they revoke may still be around.
// ================================================================

package registry

import (
	"sort"
	"sync"
	"time"
)

// Departure is the registration of a backend server that drains or has left.
//
//wire:generate
type Departure struct {
	// registration has the state Draining or Gone.
	registration Registration
	// at is when it was received, in Unix milliseconds.
	at uint64
}

// Departures holds the latest departure of each incarnation. It is safe for concurrent use.
type Departures struct {
	now func() time.Time
	ttl time.Duration

	mu            sync.Mutex
	byIncarnation map[string]Departure
}

// NewDepartures returns an empty table whose entries expire after ttl. The clock is time.Now if now is nil.
func NewDepartures(ttl time.Duration, now func() time.Time) *Departures {
	if now == nil {
		now = time.Now
	}
	return &Departures{now: now, ttl: ttl, byIncarnation: map[string]Departure{}}
}

// AsOfNow returns the departure that a registration reports, as received now.
func (d *Departures) AsOfNow(r Registration) Departure {
	return Departure{r, uint64(d.now().UnixMilli())}
}

// Merge adds departures and returns the registrations that changed. Expired ones are ignored: a node that
// replays its log sees old departures again, and a later start may have kept the incarnation.
func (d *Departures) Merge(departures ...Departure) (changed []Registration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	for _, next := range departures {
		r := next.registration
		last, known := d.byIncarnation[r.incarnation]
		if d.isExpired(next) || known && !r.Supersedes(last.registration) {
			continue
		}
		d.byIncarnation[r.incarnation] = next
		changed = append(changed, r)
	}
	return changed
}

// Covers reports whether it is known that the start of a registration drains, or has left if the registration
// says so.
func (d *Departures) Covers(r Registration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	last, known := d.byIncarnation[r.incarnation]
	switch {
	case !known || last.registration.startedAt < r.startedAt:
		return false
	case last.registration.startedAt > r.startedAt:
		return true
	}
	return r.state == Draining || last.registration.state == Gone
}

// All returns all departures, sorted by incarnation.
func (d *Departures) All() []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire()
	all := make([]Departure, 0, len(d.byIncarnation))
	for _, last := range d.byIncarnation {
		all = append(all, last)
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].registration.incarnation < all[j].registration.incarnation
	})
	return all
}

func (d *Departures) isExpired(departure Departure) bool {
	return d.now().Sub(time.UnixMilli(int64(departure.at))) > d.ttl
}

func (d *Departures) expire() {
	for incarnation, last := range d.byIncarnation {
		if d.isExpired(last) {
			delete(d.byIncarnation, incarnation)
		}
	}
}
