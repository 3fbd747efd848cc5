// ================================================================
// The table of registrations, in shards by incarnation, each under its own
// lock: heartbeats of many backend servers arrive at the same time.
//
// A word is taken where it is of a later start than the one held, or of the same and its
// sequence not below. Leaving is final for a start: a late heartbeat never brings it back.
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
	receivedAt   time.Time
	relayed      bool // another node told of it: its heartbeats do not come here
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

// Receive takes a word of a backend server itself and tells whether others have to
// hear of it: it is new, it differs, or the words between went to another node.
func (t *Table) Receive(r Registration) (changed bool) {
	old, known, taken := t.store(r, false)
	before := old.registration
	return taken && (!known || old.relayed || !r.hasSameContent(before) || r.sequence > before.sequence+1)
}

// ReceiveRelayed takes a word that another node told, and returns what others have to
// hear: r where it is new or differs, or the word held where r calls a backend
// server silent whose heartbeats come here. Unlike the backend server's own word it
// says nothing of when the next one is due.
func (t *Table) ReceiveRelayed(r Registration) (word Registration, tell bool) {
	old, known, taken := t.store(r, true)
	if !taken {
		held := old.registration
		return held, r.state == Silent && held.state == Ready && !old.relayed
	}
	return r, !known || !r.hasSameContent(old.registration)
}

// store takes a word unless the one held goes before it.
func (t *Table) store(r Registration, relayed bool) (old entry, known, taken bool) {
	s := t.shard(r.incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known = s.entries[r.incarnation]
	if known && !r.Supersedes(old.registration) {
		return old, known, false
	}
	if r.state == Gone {
		r = r.AsGone(old.registration.startedAt)
	}
	if known && relayed && r.sequence == old.registration.sequence && r.hasSameContent(old.registration) {
		// The same word again: who hears the heartbeats goes on doing so.
		relayed = old.relayed
	}
	s.entries[r.incarnation] = entry{r, t.now(), relayed}
	return old, known, true
}

// maxClockSkew is how far clocks may differ. A backend server that leaves does not say which
// start it is of, so the word is of all that began by the time here, less this. One that
// starts again does so seconds later, and is not kept out by a clock that is ahead.
const maxClockSkew = 10 * time.Second

// Leave marks an incarnation as gone and returns its last word. A start that is known is
// gone whenever it began.
func (t *Table) Leave(incarnation string) (Registration, bool) {
	s := t.shard(incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, known := s.entries[incarnation]
	r := held.registration
	r.incarnation = incarnation
	changed := !known || r.state != Gone
	r = r.AsGone(uint64(max(t.now().Add(-maxClockSkew).UnixMilli(), 0)))
	s.entries[incarnation] = entry{registration: r, receivedAt: t.now()}
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

// Direct returns the words of the backend servers whose heartbeats come here.
func (t *Table) Direct() []Registration {
	return t.filter(func(e entry) bool { return !e.relayed })
}

// All returns every word, sorted by incarnation.
func (t *Table) All() []Registration { return t.filter(func(entry) bool { return true }) }

func (t *Table) filter(want func(entry) bool) []Registration {
	var picked []Registration
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if want(e) {
				picked = append(picked, e.registration)
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(picked, func(i, j int) bool { return picked[i].incarnation < picked[j].incarnation })
	return picked
}

// Timeouts is how long a table waits for the next word.
type Timeouts struct {
	// Direct is how long a backend server may say nothing here, and Relayed how
	// long another node may say nothing of it, until it is silent.
	Direct, Relayed time.Duration
	// Forget is when a word is forgotten.
	Forget time.Duration
}

// Sweep marks what was not heard in time as silent, forgets what was not heard
// for long, and returns the words that changed.
func (t *Table) Sweep(p Timeouts) []Registration {
	var changed []Registration
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			age := now.Sub(e.receivedAt)
			if age > p.Forget {
				delete(s.entries, id)
				continue
			}
			if age > p.silenceTimeout(e) && e.registration.state == Ready {
				e.registration.state = Silent
				s.entries[id] = e
				changed = append(changed, e.registration)
			}
		}
		s.mu.Unlock()
	}
	return changed
}

func (p Timeouts) silenceTimeout(e entry) time.Duration {
	if e.relayed {
		return p.Relayed
	}
	return p.Direct
}
