// ================================================================
// The local state of one record, and how many of its crashes count.
// ================================================================

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// entry is the local state of one record.
type entry struct {
	crashes     []timedCrash
	completedOn []string // builds on which it ran to completion
	// trials and tester are those of the record; trialsUsed is how many of them began here.
	trials, trialsUsed int
	tester             string
	lastActivity       time.Time // when it last changed, or arrived while it was quarantined
	attemptsInFlight   int       // attempts in flight here
	counted            int       // independentCrashes after the last change
}

// record returns the record to share.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{fingerprint: f, completedOn: slices.Clone(e.completedOn), trials: e.trials, tester: e.tester, idle: now.Sub(e.lastActivity)}
	for _, crash := range e.crashes {
		crash.age = now.Sub(crash.at)
		r.crashes = append(r.crashes, crash.Crash)
		r.cleared = append(r.cleared, crash.isCleared)
	}
	return r
}

// ----------------------------------------------------------------
// Changes

// addCrash adds a crash. It reports whether that changes the entry, and whether the sender of the crash
// does not know that it is cleared.
func (e *entry) addCrash(crash timedCrash) (changed, outdated bool) {
	for i := range e.crashes {
		if recorded := &e.crashes[i]; recorded.isSameProcess(crash.Crash) {
			changed, outdated = recorded.merge(crash)
			e.sortCrashes()
			return changed, outdated
		}
	}
	e.crashes = append(e.crashes, crash)
	e.sortCrashes()
	if len(e.crashes) <= maxCrashes {
		return true, false
	}
	return !e.removeCrash().isSameProcess(crash.Crash), false
}

// merge merges what another process recorded of a crash.
func (c *timedCrash) merge(o timedCrash) (changed, outdated bool) {
	changed = o.knownCrashes > c.knownCrashes || o.isCleared && !c.isCleared
	outdated = c.isCleared && !o.isCleared
	c.knownCrashes = max(c.knownCrashes, o.knownCrashes)
	c.isCleared = c.isCleared || o.isCleared
	if o.at.Before(c.at) {
		c.at = o.at
	}
	return changed, outdated
}

// removeCrash removes a crash from a full record: the oldest one that is cleared, or else one between the
// oldest and the newest.
func (e *entry) removeCrash() timedCrash {
	i := slices.IndexFunc(e.crashes, func(c timedCrash) bool { return c.isCleared })
	if i < 0 {
		i = maxOldCrashes
	}
	removed := e.crashes[i]
	e.crashes = slices.Delete(e.crashes, i, i+1)
	return removed
}

// sortCrashes puts the oldest crash first. The order is the same in all tables.
func (e *entry) sortCrashes() {
	slices.SortFunc(e.crashes, func(a, b timedCrash) int { return cmp.Or(a.at.Compare(b.at), a.process().compare(b.process())) })
}

// addCompletion adds a completed run on a build here, which clears the crashes of that build before it. It
// reports whether the build is new or crashes were cleared.
func (e *entry) addCompletion(build string, at time.Time) (changed bool) {
	changed = e.addBuild(build)
	for i := range e.crashes {
		if c := &e.crashes[i]; c.build == build && !c.isCleared && !c.at.After(at) {
			c.isCleared, changed = true, true
		}
	}
	return changed
}

// addBuild adds a build of a completed run, and reports whether it is new. The builds with the latest weights
// are kept.
func (e *entry) addBuild(build string) (changed bool) {
	if slices.Contains(e.completedOn, build) {
		return false
	}
	e.completedOn = append(e.completedOn, build)
	slices.SortFunc(e.completedOn, compareBuilds)
	if len(e.completedOn) <= maxBuilds {
		return true
	}
	oldest := e.completedOn[0]
	e.completedOn = e.completedOn[1:]
	return oldest != build
}

// addTrial sets the gateway that may try the request again, and reports whether that is new.
func (e *entry) addTrial(trials int, tester string) (changed bool) {
	if trials <= e.trials {
		return false
	}
	e.trials, e.tester = trials, tester
	return true
}

// mergeActivity applies the time since others last saw activity of the request, and reports whether
// that must be shared, so that all processes keep the record.
func (e *entry) mergeActivity(idle time.Duration, now time.Time) (changed bool) {
	at := now.Add(-idle)
	if !at.After(e.lastActivity) {
		return false
	}
	changed = at.Sub(e.lastActivity) >= activityInterval
	e.lastActivity = at
	return changed
}

// ----------------------------------------------------------------
// Which crashes count

// hasCompletedOn reports whether it ever ran to completion on a build.
func (e *entry) hasCompletedOn(build string) bool { return slices.Contains(e.completedOn, build) }

// hasCompletedElsewhere reports whether it ran to completion on a build other than the given ones.
func (e *entry) hasCompletedElsewhere(builds []string) bool {
	return slices.ContainsFunc(e.completedOn, func(build string) bool { return !slices.Contains(builds, build) })
}

// crashedBuilds returns the builds whose servers crashed, without crashes that are cleared.
func (e *entry) crashedBuilds() (builds []string) {
	for _, crash := range e.crashes {
		if !crash.isCleared && !slices.Contains(builds, crash.build) {
			builds = append(builds, crash.build)
		}
	}
	return builds
}

// independentCrashes counts the crashes that are separate failures.
func (e *entry) independentCrashes() int { return e.unexplainedCrashes(nil) }

// unexplainedCrashes counts the crashes that are separate failures, without the processes that crashed for
// a known reason.
func (e *entry) unexplainedCrashes(explained map[process]bool) int {
	var first, repeated []timedCrash
	for _, crash := range e.crashes {
		switch {
		case crash.isCleared || explained[crash.process()]:
		case e.hasCompletedOn(crash.build):
			repeated = append(repeated, crash)
		default:
			first = append(first, crash)
		}
	}
	return countFailures(first) + max(countMoments(repeated)-crashesDiscounted, 0)
}

// countFailures counts the crashes that are separate failures.
func countFailures(crashes []timedCrash) int {
	var counted []timedCrash
	known := 0
	for _, crash := range crashes {
		known = max(known, crash.knownCrashes)
		if !slices.ContainsFunc(counted, crash.isSameFailureAs) {
			counted = append(counted, crash)
		}
	}
	return max(len(counted), min(known+1, len(crashes)))
}

// countMoments counts the moments at which servers crashed, one or several.
func countMoments(crashes []timedCrash) (count int) {
	var last time.Time
	for _, crash := range crashes {
		if count == 0 || crash.at.Sub(last) >= sameMomentWindow {
			last = crash.at
			count++
		}
	}
	return count
}

// isSuspicious reports whether its crashes may soon count against it. Where it ran to completion before,
// they do so only once some of them count.
func (e *entry) isSuspicious() bool {
	count := 0
	for _, crash := range e.crashes {
		switch {
		case crash.isCleared:
		case e.hasCompletedOn(crash.build):
			return e.independentCrashes() > 0
		default:
			count++
		}
	}
	return count > 1
}

// verdictAlone returns the verdict by this entry alone.
func (e *entry) verdictAlone() Verdict {
	switch crashes := e.independentCrashes(); {
	case crashes >= CrashesToQuarantine && e.hasCompletedElsewhere(e.crashedBuilds()):
		return Restricted
	case crashes >= CrashesToQuarantine:
		return Quarantined
	case crashes < crashesToSuspect:
		return Clear
	}
	return Suspect
}

// timedCrash is a crash with its time by the local clock.
type timedCrash struct {
	Crash
	at        time.Time
	isCleared bool // by a later run to completion on its build
}

// isSameFailureAs reports whether two crashes may have one cause in their failure domain, such as
// the failure of a rack.
func (c timedCrash) isSameFailureAs(o timedCrash) bool {
	return c.domain == o.domain && c.at.Sub(o.at).Abs() < sameFailureWindow
}
