// ================================================================
// The table of registrations, sharded by incarnation with a lock for each shard, because heartbeats
// of many backend servers arrive concurrently.
//
// A registration is accepted if it is of a later start than the stored one, or of the same start
// and its sequence is not lower. Gone is final for a start: a late heartbeat does not revert it.
// ================================================================

package registry

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 16

// entry is a registration as of the time at which it was last received.
type entry struct {
	registration Registration
	receivedAt   time.Time
	relayed      bool // received from another node, not from the backend server itself
}

// at returns the registration as of a later time.
func (e entry) at(now time.Time) Registration { return e.registration.agedBy(now.Sub(e.receivedAt)) }

type shard struct {
	mu      sync.Mutex
	entries map[string]entry
}

// Table holds the latest registration of each incarnation. It is safe for concurrent use.
type Table struct {
	now    func() time.Time
	shards [shardCount]shard
}

// NewTable returns an empty table. The clock is time.Now if now is nil.
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

// Receive stores a registration from the backend server itself, and reports whether it must be
// forwarded: it is new, it differs, or reports in between went to another node.
func (t *Table) Receive(r Registration) (changed bool) {
	old, known, stored := t.store(r, false)
	previous := old.registration
	return stored && (!known || old.relayed || !r.hasSameContent(previous) || r.sequence > previous.sequence+1)
}

// ReceiveRelayed stores a registration from another node, and returns what must be forwarded: r if
// it is new or differs, or the stored registration if r reports a backend server as silent whose
// heartbeats arrive here. A relayed registration does not show when the next one is due.
func (t *Table) ReceiveRelayed(r Registration) (forward Registration, ok bool) {
	old, known, stored := t.store(r, true)
	if !stored {
		current := old.registration
		return current, r.state == Silent && current.state == Ready && !old.relayed
	}
	return r, !known || !r.hasSameContent(old.registration)
}

// store stores a registration unless the existing one supersedes it. It returns the existing one as of
// now.
func (t *Table) store(r Registration, relayed bool) (old entry, known, stored bool) {
	s := t.shard(r.incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.now()
	old, known = s.entries[r.incarnation]
	old.registration = old.at(now)
	if known && !r.Supersedes(old.registration) {
		return old, known, false
	}
	if r.state == Gone {
		r = r.AsGone(old.registration.startedAt)
	}
	if known && relayed && r.sequence == old.registration.sequence && r.hasSameContent(old.registration) {
		// The same registration again does not change who receives the heartbeats.
		relayed = old.relayed
	}
	s.entries[r.incarnation] = entry{r, now, relayed}
	return old, known, true
}

// maxClockSkew is how far clocks may differ. A backend server that deregisters does not report its
// start time, so the deregistration applies to the start that the table knows, and to all starts
// before the local time less this. A server that restarts does so seconds later, so a skewed clock
// does not prevent its registration.
const maxClockSkew = 10 * time.Second

// MarkGone marks an incarnation as gone, and returns its last registration and whether it was
// not gone before. The start that the table knows is marked even if its start time is later than
// the local clock. If it knows none, all starts until now are marked: the server may have started
// just before, and registered at another node.
func (t *Table) MarkGone(incarnation string) (Registration, bool) {
	s := t.shard(incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.entries[incarnation]
	r := current.registration
	r.incarnation = incarnation
	changed := !known || r.state != Gone
	lastStart := t.now()
	if known {
		lastStart = lastStart.Add(-maxClockSkew)
	}
	r = r.AsGone(uint64(max(lastStart.UnixMilli(), 0)))
	s.entries[incarnation] = entry{registration: r, receivedAt: t.now()}
	return r, changed
}

// Get returns the registration of an incarnation.
func (t *Table) Get(incarnation string) (Registration, bool) {
	s := t.shard(incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.entries[incarnation]
	return current.at(t.now()), known
}

// Direct returns the registrations of the backend servers whose heartbeats arrive at this node.
func (t *Table) Direct() []Registration {
	return t.filter(func(e entry) bool { return !e.relayed })
}

// All returns every registration, sorted by incarnation.
func (t *Table) All() []Registration { return t.filter(func(entry) bool { return true }) }

func (t *Table) filter(match func(entry) bool) []Registration {
	var matches []Registration
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if match(e) {
				matches = append(matches, e.at(now))
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i].incarnation < matches[j].incarnation })
	return matches
}

// Timeouts are the times after which a registration that is not renewed changes its state or
// expires.
type Timeouts struct {
	// Direct is the time without a heartbeat, and Relayed the time without a registration from
	// another node, until a ready backend server is marked silent.
	Direct, Relayed time.Duration
	// Expiry is the time after which a registration is removed.
	Expiry time.Duration
}

// Sweep marks overdue registrations as silent, removes expired ones, and returns those that it
// marked.
func (t *Table) Sweep(p Timeouts) []Registration {
	var changed []Registration
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			age := now.Sub(e.receivedAt)
			if age > p.Expiry {
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
