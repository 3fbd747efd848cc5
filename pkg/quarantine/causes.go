// ================================================================
// Finds what caused the crashes by comparing records. A server that crashes runs many requests, each with
// several parts, and all of them get a record of the crash. The cause was there at every crash; the others
// only where they happened to be in flight. So the causes are the fewest records that explain the crashes:
// the one with the most independent crashes is a cause, the processes that crashed under it no longer count
// for the others, and so on until none has enough crashes left.
//
// Records with the same crashes can't be told apart. They are a cause together: requests that all of them
// describe are kept away from servers, and a request with some of them runs like a suspect. Its crash or its
// completed run tells them apart.
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
}

// causes are the causes found in the records of a table. They are safe for concurrent use.
type causes struct {
	mu sync.Mutex
	// suspects are copies of the entries with crashesToSuspect or more.
	suspects map[Fingerprint]*entry
	// found is read for every request, without a lock.
	found atomic.Pointer[map[Fingerprint]*cause]
}

// of returns the cause to which a fingerprint belongs; nil if it belongs to none.
func (c *causes) of(f Fingerprint) *cause { return c.all()[f] }

// all returns the causes by the fingerprints of their members.
func (c *causes) all() map[Fingerprint]*cause {
	if found := c.found.Load(); found != nil {
		return *found
	}
	return nil
}

// update takes the present state of an entry into account; nil if it was removed.
func (c *causes) update(f Fingerprint, e *entry) {
	isSuspect := e != nil && e.independentCrashes() >= crashesToSuspect
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
		c.suspects[f] = &entry{crashes: slices.Clone(e.crashes), completions: slices.Clone(e.completions)}
	}
	found := findCauses(c.suspects)
	c.found.Store(&found)
}

// findCauses returns the causes by the fingerprints of their members.
func findCauses(suspects map[Fingerprint]*entry) map[Fingerprint]*cause {
	found, remaining, explained := map[Fingerprint]*cause{}, maps.Clone(suspects), map[process]bool{}
	for {
		next := mostLikely(remaining, explained)
		if len(next) == 0 || next[0].crashes < CrashesToQuarantine {
			break
		}
		c := newCause(next)
		for _, member := range c.members {
			found[member] = c
			delete(remaining, member)
		}
		for _, crash := range next[0].entry.crashes {
			explained[crash.process()] = true
		}
	}
	for f, e := range remaining {
		if crashes := e.unexplainedCrashes(explained); crashes >= crashesToSuspect {
			found[f] = &cause{members: []Fingerprint{f}, crashes: crashes, verdict: Suspect}
		}
	}
	return found
}

// candidate is a record that is compared with others.
type candidate struct {
	fingerprint Fingerprint
	entry       *entry
	crashes     int       // independent ones that no cause explains yet
	processes   []process // that crashed and that no cause explains yet, sorted
}

func newCandidate(f Fingerprint, e *entry, explained map[process]bool) candidate {
	c := candidate{fingerprint: f, entry: e, crashes: e.unexplainedCrashes(explained)}
	for _, crash := range e.crashes {
		if p := crash.process(); !explained[p] {
			c.processes = append(c.processes, p)
		}
	}
	slices.SortFunc(c.processes, process.compare)
	return c
}

func (p process) compare(o process) int {
	return cmp.Or(cmp.Compare(p.server, o.server), cmp.Compare(p.startedAt, o.startedAt))
}

// compare orders the more likely cause first.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.crashes, c.crashes), cmp.Compare(len(o.processes), len(c.processes)), cmp.Compare(c.fingerprint, o.fingerprint))
}

// mostLikely returns the record with the most unexplained crashes, and those with the same ones.
func mostLikely(suspects map[Fingerprint]*entry, explained map[process]bool) (same []candidate) {
	var all []candidate
	for f, e := range suspects {
		all = append(all, newCandidate(f, e, explained))
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

// describes reports whether all members are among the fingerprints of a request.
func (c *cause) describes(request []Fingerprint) bool {
	for _, member := range c.members {
		if !slices.Contains(request, member) {
			return false
		}
	}
	return true
}
