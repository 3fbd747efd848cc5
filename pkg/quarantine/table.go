// ================================================================
// The table of the requests that servers ended under, in shards by fingerprint, each
// under its own lock: every request of a gateway looks here before it is admitted, before
// each decision on an attempt and its sending, and after it ran whole.
//
// It is bounded whatever callers send. Requests whose servers never ended have no record;
// of the others the ones with the fewest ends are forgotten first. What ran whole is
// remembered for the newest few thousand requests, which is enough for what comes often.
// ================================================================

package quarantine

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 16
	// maxRecords of a shard bound the table: 1,024 in all. Full, with what ran whole, it takes
	// 1.6 MiB (BenchmarkFullTable).
	maxRecords = 64
	// maxCompletions of a shard bounds what ran whole, twice: 2,048 to 4,096 requests in all.
	maxCompletions = 128
	// suspectTTL is how long a request with too few ends to bar it is remembered, and
	// barredLife the same for one that is barred, from when it last came.
	suspectTTL     = time.Hour
	quarantinedTTL = 24 * time.Hour
	// activityInterval is how often the coming of a barred request counts as a change, so that
	// all remember it as long as it comes anywhere.
	activityInterval = time.Hour
)

// Verdict says whether a request may be sent to a backend server.
type Verdict string

// The verdicts.
const (
	// Clear is a request that little or nothing is held against.
	Clear Verdict = "clear"
	// Suspect is one that may end servers: one try of it at a time.
	Suspect Verdict = "suspect"
	// Busy is a suspect with a try under way here.
	Busy Verdict = "busy"
	// Quarantined is one that is kept away from servers.
	Quarantined Verdict = "barred"
	// Restricted is one that is kept away from servers of some builds, and runs on others.
	Restricted Verdict = "limited"
)

// completion is a request that ran whole on a build.
type completion struct {
	fingerprint Fingerprint
	build       string
}

type shard struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// completions and wholeBefore are what ran whole: when the first is full it takes the place
	// of the second.
	completions, olderCompletions map[completion]bool
}

// Table holds what is known of requests. It is safe for concurrent use.
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

// Begin asks whether a request may be tried, and which builds are to be avoided. After
// Suspect, Done must follow.
func (t *Table) Begin(f Fingerprint) (v Verdict, avoid []string) {
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
		e.triesInFlight++
	case Quarantined, Restricted:
		avoid = e.crashedBuilds()
	}
	return v, avoid
}

// TryDone notes that a try of a suspect is over.
func (t *Table) TryDone(f Fingerprint) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[f]; e != nil {
		e.tryDone()
	}
}

// tryDone takes a try off. Its entry may be another one than it began with, where that was
// forgotten meanwhile.
func (e *entry) tryDone() { e.triesInFlight = max(e.triesInFlight-1, 0) }

func (e *entry) verdict() Verdict {
	switch ends := e.independentCrashes(); {
	case ends >= CrashesToQuarantine && len(e.completedOn) > 0:
		return Restricted
	case ends >= CrashesToQuarantine:
		return Quarantined
	case ends < crashesToSuspect:
		return Clear
	case e.triesInFlight > 0:
		return Busy
	}
	return Suspect
}

// Crashes returns how many separate ends are held against a request.
func (t *Table) Crashes(f Fingerprint) int {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[f]; e != nil {
		return e.independentCrashes()
	}
	return 0
}

// RecordArrival notes that a barred request came, and tells whether others are to hear of it, so
// that they go on remembering.
func (t *Table) RecordArrival(f Fingerprint) (r Record, tell bool) {
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
// What is learnt

// RecordCrash notes that a server ended while it ran a request, and returns what others are to
// hear of it: nothing where the request has run whole on such a server.
func (t *Table) RecordCrash(f Fingerprint, one Crash) (r Record, tell bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasCompleted(completion{f, one.build}) {
		return Record{}, false
	}
	now := t.now()
	e := s.entry(f, now)
	if !e.addCrash(one, now) {
		return Record{}, false
	}
	e.lastActivity = now
	return e.record(f, now), true
}

// RecordCompletion notes that a request ran whole on a build, and returns what others are to hear where
// an end is held against it.
func (t *Table) RecordCompletion(f Fingerprint, build string) (r Record, tell bool) {
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

// Merge takes what others tell. It returns the records that say more than was known here,
// and those of them that the others are to hear of because their requests ran whole here.
func (t *Table) Merge(records []Record) (changed, cleared []Record) {
	for _, r := range records {
		now, isChanged, isCleared := t.merge(r)
		if isChanged {
			changed = append(changed, now)
		}
		if isCleared {
			cleared = append(cleared, now)
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
	for _, one := range r.crashes {
		changed = e.addCrash(one, now) || changed
		if s.hasCompleted(completion{r.fingerprint, one.build}) {
			cleared = e.addCompletion(one.build) || cleared
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

// CountQuarantined counts the requests that are kept away from servers.
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

// Sweep forgets what is old.
func (t *Table) Sweep() {
	now := t.now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for f, e := range s.entries {
			if e.triesInFlight == 0 && now.Sub(e.lastActivity) > e.ttl() {
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
// A shard, for whoever holds its lock

// entry returns the entry of a request, a new one of a time where there is none.
func (s *shard) entry(f Fingerprint, heard time.Time) *entry {
	if e := s.entries[f]; e != nil {
		return e
	}
	if len(s.entries) >= maxRecords {
		s.evict()
	}
	e := &entry{lastActivity: heard}
	s.entries[f] = e
	return e
}

// evict forgets the record with the fewest ends, the oldest of those.
func (s *shard) evict() {
	var least Fingerprint
	var held *entry
	for f, e := range s.entries {
		if held == nil || e.isEvictedBefore(held) {
			least, held = f, e
		}
	}
	delete(s.entries, least)
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
