// ================================================================
// The table of registrations, in shards by incarnation, each under its own
// lock: heartbeats of many backend servers arrive at the same time.
//
// A word is taken when its sequence is not below the one held. Leaving is
// final for an incarnation: a late heartbeat never brings it back.
// ================================================================

package registry

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 16

// entry is a registration and when it was last heard.
type entry struct {
	registration Registration
	heard        time.Time
}

type shard struct {
	mu      sync.Mutex
	entries map[string]entry
}

// Table holds the newest word of each incarnation. It is safe for concurrent
// use.
type Table struct {
	now    func() time.Time
	shards [shardCount]shard
}

// NewTable returns an empty table; now is the clock, time.Now when nil.
func NewTable(now func() time.Time) *Table {
	if now == nil {
		now = time.Now
	}
	t := &Table{now: now}
	for i := range t.shards {
		t.shards[i].entries = map[string]entry{}
	}
	return t
}

func (t *Table) shard(incarnation string) *shard {
	return &t.shards[xxhash.Sum64String(incarnation)%shardCount]
}

// Hear takes a word and tells whether followers have to hear of it: it is new,
// it differs, or the words between went to another node.
func (t *Table) Hear(r Registration) (changed bool) {
	s := t.shard(r.incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.entries[r.incarnation]
	old := held.registration
	if known && !supersedes(r, old) {
		return false
	}
	if known && old.state.leaving() && !r.state.leaving() {
		return false
	}
	if known && old.state == Gone {
		return false
	}
	s.entries[r.incarnation] = entry{r, t.now()}
	return !known || !r.sameWord(old) || r.sequence > old.sequence+1
}

// supersedes tells whether r may take the place of old. Words without a
// sequence (a leave) always may.
func supersedes(r, old Registration) bool {
	return r.sequence >= old.sequence || r.state == Gone
}

// Leave marks an incarnation as gone and returns its last word.
func (t *Table) Leave(incarnation string) (Registration, bool) {
	s := t.shard(incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.entries[incarnation]
	r := held.registration
	r.incarnation = incarnation
	changed := !known || r.state != Gone
	r.state = Gone
	s.entries[incarnation] = entry{r, t.now()}
	return r, changed
}

// Get returns the word of an incarnation.
func (t *Table) Get(incarnation string) (Registration, bool) {
	s := t.shard(incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.entries[incarnation]
	return held.registration, known
}

// All returns every word, sorted by incarnation.
func (t *Table) All() []Registration {
	var all []Registration
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			all = append(all, e.registration)
		}
		s.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].incarnation < all[j].incarnation })
	return all
}

// Sweep marks what was not heard for silentAfter as silent, forgets what was
// not heard for forgetAfter, and returns the words that changed.
func (t *Table) Sweep(silentAfter, forgetAfter time.Duration) []Registration {
	var changed []Registration
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			age := now.Sub(e.heard)
			if age > forgetAfter {
				delete(s.entries, id)
				continue
			}
			if age > silentAfter && e.registration.state == Ready {
				e.registration.state = Silent
				s.entries[id] = e
				changed = append(changed, e.registration)
			}
		}
		s.mu.Unlock()
	}
	return changed
}
