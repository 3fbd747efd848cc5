// ================================================================
// The evacuated failure domains. Each domain has a revision that increases with each change, so that
// states which arrive late or in any order replace no newer one.
//
// A change names the revision that it is based on and applies to no other. A call that was delayed
// until after a later one has been acknowledged therefore changes nothing.
// ================================================================

package placement

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// DomainState is whether a failure domain is evacuated.
//
//wire:generate
type DomainState struct {
	// domain is the failure domain.
	domain string
	// evacuated is whether its backend servers receive no new requests.
	evacuated bool
	// revision is the number of changes of the domain; 0 if there was none.
	revision uint64
}

// Change evacuates a failure domain, or ends its evacuation.
//
//wire:generate
type Change struct {
	// domain is the failure domain.
	domain string
	// evacuate is whether it is to be evacuated.
	evacuate bool
	// basis is the revision of the domain that the change applies to.
	basis uint64
}

// Outcome is what has become of a change.
//
//wire:generate
type Outcome struct {
	// result is the result of the change.
	result Result
	// revision is the revision of the domain after it.
	revision uint64
}

// Result is the result of a change.
type Result uint8

// The results.
const (
	// Applied means that the change is in force.
	Applied Result = iota + 1
	// Held means that the domain was in the requested state already.
	Held
	// Outdated means that the domain has changed since the basis of the change.
	Outdated
)

// Evacuations holds the state of all failure domains that have ever changed. The zero value is empty.
// It is safe for concurrent use; readers take no lock.
type Evacuations struct {
	mu     sync.Mutex // held by writers
	states atomic.Pointer[map[string]DomainState]
}

// Get returns the state of a failure domain.
func (e *Evacuations) Get(domain string) DomainState {
	if s, known := e.byDomain()[domain]; known {
		return s
	}
	return DomainState{domain: domain}
}

// byDomain returns the states, which are never changed.
func (e *Evacuations) byDomain() map[string]DomainState {
	if states := e.states.Load(); states != nil {
		return *states
	}
	return nil
}

// store replaces the states of some domains. The caller holds the lock.
func (e *Evacuations) store(states ...DomainState) {
	next := maps.Clone(e.byDomain())
	if next == nil {
		next = map[string]DomainState{}
	}
	for _, s := range states {
		next[s.domain] = s
	}
	e.states.Store(&next)
}

// Apply applies a change.
func (e *Evacuations) Apply(c Change) Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.Get(c.domain)
	switch {
	case current.evacuated == c.evacuate:
		return Outcome{Held, current.revision}
	case current.revision != c.basis:
		return Outcome{Outdated, current.revision}
	}
	e.store(DomainState{c.domain, c.evacuate, current.revision + 1})
	return Outcome{Applied, current.revision + 1}
}

// Merge takes the states that are newer than the known ones, and returns those for which the domain
// is now evacuated and was not before, or the other way round.
func (e *Evacuations) Merge(states []DomainState) (changed []DomainState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range states {
		current := e.Get(s.domain)
		if s.revision <= current.revision {
			continue
		}
		e.store(s)
		if s.evacuated != current.evacuated {
			changed = append(changed, s)
		}
	}
	return changed
}

// Evacuated returns the evacuated failure domains in order.
func (e *Evacuations) Evacuated() []string {
	domains := []string{}
	for _, s := range e.All() {
		if s.evacuated {
			domains = append(domains, s.domain)
		}
	}
	return domains
}

// All returns the states of all failure domains that have ever changed, by domain.
func (e *Evacuations) All() []DomainState {
	all := slices.Collect(maps.Values(e.byDomain()))
	slices.SortFunc(all, func(a, b DomainState) int { return cmp.Compare(a.domain, b.domain) })
	return all
}
