// ================================================================
// The table of the requests that servers ran when they crashed, in shards by fingerprint with a lock
// each: a gateway looks up every request before it admits it, before it decides on each attempt and
// sends it, and after the request has run to completion.
//
// The size of the table is bounded whatever callers send. Requests whose servers never crashed have
// no record; of the others those with the fewest crashes are evicted first. Completed runs are kept
// for the last few thousand requests, which include those that arrive often.
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
	// takes 1.6 MiB (BenchmarkFullTable).
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

// completion is a request that ran to completion on a build.
type completion struct {
	fingerprint Fingerprint
	build       string
}

// shard is a part of the table. Its lock guards its fields.
type shard struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// completions and olderCompletions are two generations: when the first is full, it replaces
	// the second.
	completions, olderCompletions map[completion]bool
}

// Table holds the records of requests. It is safe for concurrent use.
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
		t.shards[i].entries, t.shards[i].completions = map[Fingerprint]*entry{}, map[completion]bool{}
	}
	return t
}

func (t *Table) shard(f Fingerprint) *shard {
	return &t.shards[xxhash.Sum64String(string(f))%shardCount]
}

// ----------------------------------------------------------------
// Before and while a request runs

// BeginAttempt returns the verdict on a request before an attempt, and the builds to avoid.
// After Suspect the caller must call AttemptDone when the attempt has ended.
func (t *Table) BeginAttempt(f Fingerprint) (v Verdict, avoid []string) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	if e == nil {
		return Clear, nil
	}
	v = e.verdict()
	switch v {
	case Suspect:
		e.attemptsInFlight++
	case Quarantined, Restricted:
		avoid = e.crashedBuilds()
	}
	return v, avoid
}

// AttemptDone records that an attempt of a suspect has ended.
func (t *Table) AttemptDone(f Fingerprint) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[f]; e != nil {
		e.attemptDone()
	}
}

// attemptDone removes an attempt in flight. It may have begun with an earlier entry that has been
// evicted since, so the count stays at 0 or more.
func (e *entry) attemptDone() { e.attemptsInFlight = max(e.attemptsInFlight-1, 0) }

func (e *entry) verdict() Verdict {
	switch crashes := e.independentCrashes(); {
	case crashes >= CrashesToQuarantine && len(e.completedOn) > 0:
		return Restricted
	case crashes >= CrashesToQuarantine:
		return Quarantined
	case crashes < crashesToSuspect:
		return Clear
	case e.attemptsInFlight > 0:
		return Busy
	}
	return Suspect
}

// Crashes returns the number of independent crashes recorded for a request.
func (t *Table) Crashes(f Fingerprint) int {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[f]; e != nil {
		return e.independentCrashes()
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

// RecordCrash records that a server crashed while it ran a request, and returns the record to
// share: none where the request has run to completion on that build.
func (t *Table) RecordCrash(f Fingerprint, crash Crash) (r Record, share bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasCompleted(completion{f, crash.build}) {
		return Record{}, false
	}
	now := t.now()
	e := s.entry(f, now)
	if !e.addCrash(crash, now) {
		return Record{}, false
	}
	e.lastActivity = now
	return e.record(f, now), true
}

// RecordCompletion records that a request ran to completion on a build, and returns the record to
// share where crashes are recorded for it.
func (t *Table) RecordCompletion(f Fingerprint, build string) (r Record, share bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rememberCompletion(completion{f, build})
	e, now := s.entries[f], t.now()
	if e == nil || !e.addCompletion(build) {
		return Record{}, false
	}
	e.lastActivity = now
	return e.record(f, now), true
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
	e := s.entry(r.fingerprint, now.Add(-r.idle))
	changed = e.mergeActivity(r.idle, now)
	changed = e.addTrial(r.trials, r.tester) || changed
	for _, build := range r.completedOn {
		changed = e.addCompletion(build) || changed
	}
	for _, crash := range r.crashes {
		changed = e.addCrash(crash, now) || changed
		if s.hasCompleted(completion{r.fingerprint, crash.build}) {
			cleared = e.addCompletion(crash.build) || cleared
		}
	}
	if cleared {
		e.lastActivity = now
	}
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

// CountQuarantined counts the quarantined requests.
func (t *Table) CountQuarantined() (count int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if e.verdict() == Quarantined {
				count++
			}
		}
		s.mu.Unlock()
	}
	return count
}

// Sweep removes the records that have expired.
func (t *Table) Sweep() {
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, e := range s.entries {
			if e.attemptsInFlight == 0 && now.Sub(e.lastActivity) > e.ttl() {
				delete(s.entries, f)
			}
		}
		s.mu.Unlock()
	}
}

func (e *entry) ttl() time.Duration {
	if e.independentCrashes() >= CrashesToQuarantine {
		return quarantinedTTL
	}
	return suspectTTL
}

// ----------------------------------------------------------------
// Shards; callers hold the lock

// entry returns the entry of a request; a new one starts with the given time of last activity.
func (s *shard) entry(f Fingerprint, lastActivity time.Time) *entry {
	if e := s.entries[f]; e != nil {
		return e
	}
	if len(s.entries) >= maxRecords {
		s.evict()
	}
	e := &entry{lastActivity: lastActivity}
	s.entries[f] = e
	return e
}

// evict removes the record with the fewest independent crashes, the oldest of those.
func (s *shard) evict() {
	var victim Fingerprint
	var candidate *entry
	for f, e := range s.entries {
		if candidate == nil || e.isEvictedBefore(candidate) {
			victim, candidate = f, e
		}
	}
	delete(s.entries, victim)
}

func (e *entry) isEvictedBefore(o *entry) bool {
	if a, b := e.independentCrashes(), o.independentCrashes(); a != b {
		return a < b
	}
	return e.lastActivity.Before(o.lastActivity)
}

func (s *shard) hasCompleted(r completion) bool { return s.completions[r] || s.olderCompletions[r] }

func (s *shard) rememberCompletion(r completion) {
	if len(s.completions) >= maxCompletions {
		s.olderCompletions, s.completions = s.completions, make(map[completion]bool, maxCompletions)
	}
	s.completions[r] = true
}
