// ================================================================
// Finds what caused the crashes by comparing records. A server that crashes runs many requests, each with
// several parts, and all of them get a record of the crash. The cause was there at every crash; the others
// only where they happened to be in flight. So the causes are the fewest records that explain the crashes:
// the one that first had enough independent crashes, and of those with the same last one the one with the
// most, is a cause. The processes that crashed under it no longer count for the others, and so on until none
// has enough crashes left.
//
// What would have enough crashes without the causes may be a further one that came at the same time. It
// runs like a suspect, and its crash or its completed run decides.
//
// Records with the same crashes can't be told apart. They are a cause together: requests that all of them
// describe are kept away from servers, and a request with some of them runs like a suspect.
//
// The result depends on the records only, so all processes with the same records reach the same.
// ================================================================

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxCauses bounds the causes that are found; what else has enough crashes runs like a suspect.
	maxCauses = 64
	// Up to manySuspects records are compared at each change, more at most once in compareInterval: it
	// takes a few µs for each.
	manySuspects    = 64
	compareInterval = 20 * time.Millisecond
)

// cause is a record, or several with the same crashes, that may be the cause of crashes.
type cause struct {
	// members are the fingerprints that had the same crashes.
	members []Fingerprint
	// crashes is how many independent crashes it explains.
	crashes int
	// verdict is that on requests that all members describe: Suspect, Quarantined or Restricted.
	verdict Verdict
	// avoid are the builds that such a request must avoid: where it is tried again, builds on which it
	// once ran to completion are allowed.
	avoid []string
	// rivals are records that may be the cause instead. A trial of a request without them decides, on
	// any build.
	rivals []Fingerprint
}

// causes are the causes found in the records of a table. They are safe for concurrent use.
type causes struct {
	mu sync.Mutex
	// suspects are copies of the entries with crashesToSuspect or more.
	suspects   map[Fingerprint]*entry
	comparedAt time.Time
	// isOutdated says that suspects have changed since they were compared.
	isOutdated atomic.Bool
	// found is read for every request, without a lock.
	found atomic.Pointer[map[Fingerprint]*cause]
}

// of returns the cause to which a fingerprint belongs; nil if it belongs to none.
func (c *causes) of(f Fingerprint) *cause { return c.all()[f] }

// all returns the causes by the fingerprints of their members.
func (c *causes) all() map[Fingerprint]*cause {
	if c.isOutdated.Load() && c.mu.TryLock() {
		if time.Since(c.comparedAt) >= compareInterval {
			c.compare()
		}
		c.mu.Unlock()
	}
	if found := c.found.Load(); found != nil {
		return *found
	}
	return nil
}

// update takes the present state of an entry into account; nil if it was removed.
func (c *causes) update(f Fingerprint, e *entry) {
	isSuspect := e != nil && e.counted >= crashesToSuspect
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.suspects[f]; !known && !isSuspect {
		return
	}
	if c.suspects == nil {
		c.suspects = map[Fingerprint]*entry{}
	}
	delete(c.suspects, f)
	if isSuspect {
		c.suspects[f] = &entry{crashes: slices.Clone(e.crashes), completedOn: slices.Clone(e.completedOn)}
	}
	c.isOutdated.Store(true)
	if len(c.suspects) <= manySuspects {
		c.compare()
	}
}

// compare finds the causes anew. The caller holds the lock.
func (c *causes) compare() {
	found := findCauses(c.suspects)
	c.found.Store(&found)
	c.isOutdated.Store(false)
	c.comparedAt = time.Now()
}

// findCauses returns the causes by the fingerprints of their members.
func findCauses(suspects map[Fingerprint]*entry) map[Fingerprint]*cause {
	found, remaining := map[Fingerprint]*cause{}, maps.Clone(suspects)
	explained, times := map[process]bool{}, crashTimes(suspects)
	for range maxCauses {
		next := mostLikely(remaining, explained, times)
		if len(next) == 0 || next[0].crashes < CrashesToQuarantine {
			break
		}
		c := newCause(next)
		for _, member := range c.members {
			found[member] = c
			delete(remaining, member)
		}
		c.rivals = rivalsOf(next[0].entry, remaining)
		for _, crash := range next[0].entry.crashes {
			explained[crash.process()] = true
		}
	}
	for f, e := range remaining {
		crashes, alone := e.unexplainedCrashes(explained), e.independentCrashes()
		if alone >= CrashesToQuarantine {
			crashes = alone
		}
		if crashes >= crashesToSuspect {
			found[f] = &cause{members: []Fingerprint{f}, crashes: crashes, verdict: Suspect}
		}
	}
	return found
}

// crashTimes returns when each process crashed: records of one crash differ by milliseconds.
func crashTimes(suspects map[Fingerprint]*entry) map[process]time.Time {
	times := map[process]time.Time{}
	for _, e := range suspects {
		for _, crash := range e.crashes {
			if at, known := times[crash.process()]; !known || crash.at.Before(at) {
				times[crash.process()] = crash.at
			}
		}
	}
	return times
}

// rivalsOf returns the other records that have enough crashes, some of which are those of a cause.
func rivalsOf(e *entry, others map[Fingerprint]*entry) (rivals []Fingerprint) {
	explained := map[process]bool{}
	for _, crash := range e.crashes {
		explained[crash.process()] = true
	}
	for f, other := range others {
		alone := other.independentCrashes()
		if alone >= CrashesToQuarantine && other.unexplainedCrashes(explained) < alone {
			rivals = append(rivals, f)
		}
	}
	return rivals
}

// candidate is a record that is compared with others.
type candidate struct {
	fingerprint Fingerprint
	entry       *entry
	crashes     int       // independent ones that no cause explains yet
	processes   []process // that crashed and that no cause explains yet, sorted
	since       time.Time // when enough of them had crashed; zero if too few have
}

func newCandidate(f Fingerprint, e *entry, explained map[process]bool, times map[process]time.Time) candidate {
	c := candidate{fingerprint: f, entry: e, crashes: e.unexplainedCrashes(explained)}
	for _, crash := range e.crashes {
		if p := crash.process(); !explained[p] && !crash.isCleared {
			c.processes = append(c.processes, p)
		}
	}
	if c.crashes >= CrashesToQuarantine {
		c.since = e.enoughSince(explained, times)
	}
	slices.SortFunc(c.processes, process.compare)
	return c
}

// enoughSince returns when the last of the first crashes that are enough happened.
func (e *entry) enoughSince(explained map[process]bool, times map[process]time.Time) (since time.Time) {
	first := entry{completedOn: e.completedOn}
	for _, crash := range e.crashes {
		first.crashes = append(first.crashes, crash)
		if first.unexplainedCrashes(explained) >= CrashesToQuarantine {
			return times[crash.process()]
		}
	}
	return since
}

func (p process) compare(o process) int {
	return cmp.Or(cmp.Compare(p.server, o.server), cmp.Compare(p.startedAt, o.startedAt))
}

// compare orders the more likely cause first.
func (c candidate) compare(o candidate) int {
	isEnough, isOtherEnough := c.crashes >= CrashesToQuarantine, o.crashes >= CrashesToQuarantine
	if isEnough != isOtherEnough {
		return cmp.Compare(o.crashes, c.crashes)
	}
	return cmp.Or(c.since.Compare(o.since), cmp.Compare(o.crashes, c.crashes), cmp.Compare(len(o.processes), len(c.processes)), cmp.Compare(c.fingerprint, o.fingerprint))
}

// mostLikely returns the most likely cause of the unexplained crashes, and the records with the same ones.
func mostLikely(suspects map[Fingerprint]*entry, explained map[process]bool, times map[process]time.Time) (same []candidate) {
	var all []candidate
	for f, e := range suspects {
		all = append(all, newCandidate(f, e, explained, times))
	}
	if len(all) == 0 {
		return nil
	}
	best := slices.MinFunc(all, candidate.compare)
	same = slices.DeleteFunc(all, func(c candidate) bool { return !c.hasSameCrashes(best) })
	slices.SortFunc(same, candidate.compare)
	return same
}

func (c candidate) hasSameCrashes(o candidate) bool {
	return c.crashes == o.crashes && slices.Equal(c.processes, o.processes)
}

// newCause returns the cause that records with the same crashes are together. A request that ran to
// completion on another build, by each of them, may run there.
func newCause(same []candidate) *cause {
	c := &cause{crashes: same[0].crashes, verdict: Restricted}
	for _, one := range same {
		c.members = append(c.members, one.fingerprint)
		if one.entry.verdictAlone() != Restricted {
			c.verdict = Quarantined
		}
	}
	for _, one := range same {
		for _, build := range one.entry.crashedBuilds() {
			if c.verdict == Restricted || !one.entry.hasCompletedOn(build) {
				c.avoid = append(c.avoid, build)
			}
		}
	}
	return c
}

// mayBeAnother reports whether a trial of a request would tell the cause from its rivals.
func (c *cause) mayBeAnother(request []Fingerprint) bool {
	return len(c.rivals) > 0 && !slices.ContainsFunc(c.rivals, func(f Fingerprint) bool { return slices.Contains(request, f) })
}

// describes reports whether all members are among the fingerprints of a request.
func (c *cause) describes(request []Fingerprint) bool {
	for _, member := range c.members {
		if !slices.Contains(request, member) {
			return false
		}
	}
	return true
}
