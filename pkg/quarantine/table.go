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
	// maxWhole of a shard bounds what ran whole, twice: 2,048 to 4,096 requests in all.
	maxWhole = 128
	// suspectLife is how long a request with too few ends to bar it is remembered, and
	// barredLife the same for one that is barred, from when it last came.
	suspectLife = time.Hour
	barredLife  = 24 * time.Hour
	// askedEvery is how often the coming of a barred request counts as a change, so that
	// all remember it as long as it comes anywhere.
	askedEvery = time.Hour
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
	// Barred is one that is kept away from servers.
	Barred Verdict = "barred"
	// Limited is one that is kept away from servers of some builds, and runs on others.
	Limited Verdict = "limited"
)

// ran is a request that ran whole on a build.
type ran struct {
	fingerprint Fingerprint
	build       string
}

type shard struct {
	mu      sync.Mutex
	entries map[Fingerprint]*entry
	// whole and wholeBefore are what ran whole: when the first is full it takes the place
	// of the second.
	whole, wholeBefore map[ran]bool
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
		t.shards[i].entries, t.shards[i].whole = map[Fingerprint]*entry{}, map[ran]bool{}
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
		e.under++
	case Barred, Limited:
		avoid = e.endedOn()
	}
	return v, avoid
}

// Done notes that a try of a suspect is over.
func (t *Table) Done(f Fingerprint) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[f]; e != nil {
		e.done()
	}
}

// done takes a try off. Its entry may be another one than it began with, where that was
// forgotten meanwhile.
func (e *entry) done() { e.under = max(e.under-1, 0) }

func (e *entry) verdict() Verdict {
	switch ends := e.separateEnds(); {
	case ends >= EndsToBar && len(e.whole) > 0:
		return Limited
	case ends >= EndsToBar:
		return Barred
	case ends < endsToSuspect:
		return Clear
	case e.under > 0:
		return Busy
	}
	return Suspect
}

// Ends returns how many separate ends are held against a request.
func (t *Table) Ends(f Fingerprint) int {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[f]; e != nil {
		return e.separateEnds()
	}
	return 0
}

// Asked notes that a barred request came, and tells whether others are to hear of it, so
// that they go on remembering.
func (t *Table) Asked(f Fingerprint) (r Record, tell bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := s.entries[f], t.now()
	if e == nil || now.Sub(e.heard) < askedEvery {
		return Record{}, false
	}
	e.heard = now
	return e.record(f, now), true
}

// ----------------------------------------------------------------
// What is learnt

// Ended notes that a server ended while it ran a request, and returns what others are to
// hear of it: nothing where the request has run whole on such a server.
func (t *Table) Ended(f Fingerprint, one End) (r Record, tell bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasRun(ran{f, one.build}) {
		return Record{}, false
	}
	now := t.now()
	e := s.entry(f, now)
	if !e.addEnd(one, now) {
		return Record{}, false
	}
	e.heard = now
	return e.record(f, now), true
}

// Ran notes that a request ran whole on a build, and returns what others are to hear where
// an end is held against it.
func (t *Table) Ran(f Fingerprint, build string) (r Record, tell bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepWhole(ran{f, build})
	e, now := s.entries[f], t.now()
	if e == nil || !e.addWhole(build) {
		return Record{}, false
	}
	e.heard = now
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
	changed = e.addHeard(r.idle, now)
	changed = e.addTrial(r.trials, r.tester) || changed
	for _, build := range r.whole {
		changed = e.addWhole(build) || changed
	}
	for _, one := range r.ends {
		changed = e.addEnd(one, now) || changed
		if s.hasRun(ran{r.fingerprint, one.build}) {
			cleared = e.addWhole(one.build) || cleared
		}
	}
	if cleared {
		e.heard = now
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

// Barred counts the requests that are kept away from servers.
func (t *Table) Barred() (count int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if e.verdict() == Barred {
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
			if e.under == 0 && now.Sub(e.heard) > e.life() {
				delete(s.entries, f)
			}
		}
		s.mu.Unlock()
	}
}

func (e *entry) life() time.Duration {
	if e.separateEnds() >= EndsToBar {
		return barredLife
	}
	return suspectLife
}

// ----------------------------------------------------------------
// A shard, for whoever holds its lock

// entry returns the entry of a request, a new one of a time where there is none.
func (s *shard) entry(f Fingerprint, heard time.Time) *entry {
	if e := s.entries[f]; e != nil {
		return e
	}
	if len(s.entries) >= maxRecords {
		s.forgetLeast()
	}
	e := &entry{heard: heard}
	s.entries[f] = e
	return e
}

// forgetLeast forgets the record with the fewest ends, the oldest of those.
func (s *shard) forgetLeast() {
	var least Fingerprint
	var held *entry
	for f, e := range s.entries {
		if held == nil || e.isLess(held) {
			least, held = f, e
		}
	}
	delete(s.entries, least)
}

func (e *entry) isLess(o *entry) bool {
	if a, b := e.separateEnds(), o.separateEnds(); a != b {
		return a < b
	}
	return e.heard.Before(o.heard)
}

func (s *shard) hasRun(r ran) bool { return s.whole[r] || s.wholeBefore[r] }

func (s *shard) keepWhole(r ran) {
	if len(s.whole) >= maxWhole {
		s.wholeBefore, s.whole = s.whole, make(map[ran]bool, maxWhole)
	}
	s.whole[r] = true
}
