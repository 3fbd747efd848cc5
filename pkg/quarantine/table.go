// ================================================================
// The table of the requests and parts of prompts that servers ran when they crashed, in shards by
// fingerprint with a lock each. A gateway looks up every request, as a whole and by its parts, before it
// admits it, before it decides on each attempt and sends it, and after the request has run to completion.
//
// The size of the table is bounded whatever callers send. What was never there when a server crashed has
// no record; of the others those with the fewest crashes are evicted first. Completed runs are kept
// for the last few thousand requests and as many parts, which include those that arrive often.
// ================================================================

package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 16
	// maxRecords bounds a shard: 1,024 records in the table. A full table, completions included,
	// takes 8.2 MiB (BenchmarkFullTable).
	maxRecords = 64
	// maxCompletions bounds each of the two sets of completions of a shard: 2,048 to 4,096
	// requests in the table.
	maxCompletions = 128
	// suspectTTL is how long the record of a request with too few crashes for quarantine is kept
	// after its last activity, and quarantinedTTL that of a quarantined one.
	suspectTTL     = time.Hour
	quarantinedTTL = 24 * time.Hour
	// activityInterval is how often the arrival of a quarantined request counts as a change to be
	// shared, so that all processes keep its record as long as it arrives at any gateway.
	activityInterval = time.Hour
)

// Verdict is the decision on whether a request may be sent to a backend server.
type Verdict string

// The verdicts.
const (
	// Clear means that the request has too few recorded crashes to be a suspect.
	Clear Verdict = "clear"
	// Suspect means that the request may crash servers, and has one attempt at a time.
	Suspect Verdict = "suspect"
	// Busy means that the request is a suspect with an attempt in flight here.
	Busy Verdict = "busy"
	// Quarantined means that the request is kept away from servers.
	Quarantined Verdict = "barred"
	// Restricted means that the request is kept away from servers of some builds, and may run on
	// others.
	Restricted Verdict = "limited"
)

// shard is a part of the table. Its lock guards its fields.
type shard struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// requests and parts are remembered apart, since most requests never come again.
	requests, parts completionMemory
}

// Table holds the records of requests. It is safe for concurrent use.
type Table struct {
	now    func() time.Time
	shards [shardCount]shard
	causes causes
}

// NewTable returns an empty table; now is the clock, time.Now when nil.
func NewTable(now func() time.Time) *Table {
	if now == nil {
		now = time.Now
	}
	t := &Table{now: now}
	for i := range t.shards {
		t.shards[i].entries = map[Fingerprint]*entry{}
	}
	return t
}

func (t *Table) shard(f Fingerprint) *shard {
	return &t.shards[xxhash.Sum64String(string(f))%shardCount]
}

// ----------------------------------------------------------------
// Before and while a request runs

// Crashes returns the number of independent crashes recorded for a fingerprint.
func (t *Table) Crashes(f Fingerprint) int {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[f]; e != nil {
		return e.counted
	}
	return 0
}

// RecordArrival records that a quarantined request arrived, and returns its record with true if it
// must be shared, so that all processes keep the record.
func (t *Table) RecordArrival(f Fingerprint) (r Record, share bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := s.entries[f], t.now()
	if e == nil || now.Sub(e.lastActivity) < activityInterval {
		return Record{}, false
	}
	e.lastActivity = now
	return e.record(f, now), true
}

// ----------------------------------------------------------------
// Crashes and completions

// RecordCrash records that a server crashed while it ran a request, and returns the record. It need not be
// shared if nothing has changed.
func (t *Table) RecordCrash(f Fingerprint, crash Crash) (r Record, changed bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.now()
	e := t.entry(s, f, now)
	if _, ok := s.lastCompletion(f, crash.build); ok {
		e.addBuild(crash.build)
	}
	if changed, _ = e.addCrash(timedCrash{crash, now.Add(-crash.age), false}); !changed {
		return Record{}, false
	}
	e.lastActivity = now
	t.update(f, e)
	return e.record(f, now), true
}

// RecordCompletion records that a request ran to completion on a build, and returns the record to
// share where others count crashes against it that this clears.
func (t *Table) RecordCompletion(f Fingerprint, build string) (r Record, share bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.now()
	s.memory(f).remember(f, build, now)
	e := s.entries[f]
	if e == nil {
		return Record{}, false
	}
	share = e.isSuspicious() || !e.hasCompletedOn(build)
	if !e.addCompletion(build, now) {
		return Record{}, false
	}
	e.lastActivity = now
	t.update(f, e)
	return e.record(f, now), share
}

// Merge merges records of other processes. It returns the records that changed, and those of them
// that must be shared since their requests ran to completion here.
func (t *Table) Merge(records []Record) (changed, cleared []Record) {
	for _, r := range records {
		merged, isChanged, isCleared := t.merge(r)
		if isChanged {
			changed = append(changed, merged)
		}
		if isCleared {
			cleared = append(cleared, merged)
		}
	}
	return changed, cleared
}

func (t *Table) merge(r Record) (merged Record, changed, cleared bool) {
	s := t.shard(r.fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := t.now()
	e := t.entry(s, r.fingerprint, now.Add(-r.idle))
	changed = e.mergeActivity(r.idle, now)
	changed = e.addTrial(r.trials, r.tester) || changed
	for _, build := range r.completedOn {
		changed = e.addBuild(build) || changed
	}
	for i, crash := range r.crashes {
		isChanged, isOutdated := e.addCrash(timedCrash{crash, now.Add(-crash.age), r.isCleared(i)})
		changed = changed || isChanged || isOutdated
		if at, ok := s.lastCompletion(r.fingerprint, crash.build); ok {
			cleared = e.addCompletion(crash.build, at) || cleared
		}
	}
	if cleared {
		e.lastActivity = now
	}
	t.update(r.fingerprint, e)
	return e.record(r.fingerprint, now), changed || cleared, cleared
}

// Records returns all records.
func (t *Table) Records() (all []Record) {
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, e := range s.entries {
			all = append(all, e.record(f, now))
		}
		s.mu.Unlock()
	}
	return all
}

// CountQuarantined counts what is quarantined: requests, and parts of prompts.
func (t *Table) CountQuarantined() (requests, parts int) {
	counted := map[*cause]bool{}
	for f, c := range t.causes.all() {
		switch {
		case c.verdict != Quarantined || counted[c]:
		case f.Part() != "":
			parts++
		default:
			requests++
		}
		counted[c] = true
	}
	return requests, parts
}

// Sweep removes the records that have expired.
func (t *Table) Sweep() {
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, e := range s.entries {
			if e.attemptsInFlight == 0 && now.Sub(e.lastActivity) > e.ttl() {
				t.remove(s, f)
			}
		}
		s.mu.Unlock()
	}
}

func (e *entry) ttl() time.Duration {
	if e.counted >= CrashesToQuarantine {
		return quarantinedTTL
	}
	return suspectTTL
}

// ----------------------------------------------------------------
// Shards; callers hold the lock

// entry returns the entry of a fingerprint; a new one starts with the given time of last activity.
func (t *Table) entry(s *shard, f Fingerprint, lastActivity time.Time) *entry {
	if e := s.entries[f]; e != nil {
		return e
	}
	if len(s.entries) >= maxRecords {
		t.remove(s, s.leastUseful())
	}
	e := &entry{lastActivity: lastActivity}
	s.entries[f] = e
	return e
}

// update takes a change of an entry into account.
func (t *Table) update(f Fingerprint, e *entry) {
	e.counted = e.independentCrashes()
	t.causes.update(f, e)
}

func (t *Table) remove(s *shard, f Fingerprint) {
	delete(s.entries, f)
	t.causes.update(f, nil)
}

// leastUseful returns the record with the fewest independent crashes, the oldest of those.
func (s *shard) leastUseful() (victim Fingerprint) {
	var candidate *entry
	for f, e := range s.entries {
		if candidate == nil || e.isEvictedBefore(candidate) {
			victim, candidate = f, e
		}
	}
	return victim
}

func (e *entry) isEvictedBefore(o *entry) bool {
	if e.counted != o.counted {
		return e.counted < o.counted
	}
	return e.lastActivity.Before(o.lastActivity)
}

// memory returns the completed runs of requests or of parts.
func (s *shard) memory(f Fingerprint) *completionMemory {
	if f.Part() != "" {
		return &s.parts
	}
	return &s.requests
}

// lastCompletion returns when a request last ran to completion on a build; false if it is not known.
func (s *shard) lastCompletion(f Fingerprint, build string) (time.Time, bool) {
	return s.memory(f).last(f, build)
}
