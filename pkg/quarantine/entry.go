// ================================================================
// The local state of one record, and how many of its crashes count.
// ================================================================

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// completion is the latest completed run on a build.
type completion struct {
	build string
	at    time.Time
}

// entry is the local state of one record.
type entry struct {
	crashes     []timedCrash
	completions []completion
	// trials and tester are those of the record; trialsUsed is how many of them began here.
	trials, trialsUsed int
	tester             string
	lastActivity       time.Time // when it last changed, or arrived while it was quarantined
	attemptsInFlight   int       // attempts in flight here
}

// record returns the record to share.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{fingerprint: f, trials: e.trials, tester: e.tester, idle: now.Sub(e.lastActivity)}
	for _, c := range e.completions {
		r.completedOn = append(r.completedOn, c.build)
		r.completionAges = append(r.completionAges, now.Sub(c.at))
	}
	for _, crash := range e.crashes {
		crash.age = now.Sub(crash.at)
		r.crashes = append(r.crashes, crash.Crash)
	}
	return r
}

// ----------------------------------------------------------------
// Changes

// addCrash adds a crash and reports whether that changes the entry.
func (e *entry) addCrash(crash Crash, now time.Time) (changed bool) {
	at := now.Add(-crash.age)
	for i := range e.crashes {
		recorded := &e.crashes[i]
		if !recorded.isSameProcess(crash) {
			continue
		}
		changed = crash.knownCrashes > recorded.knownCrashes
		recorded.knownCrashes = max(recorded.knownCrashes, crash.knownCrashes)
		if at.Before(recorded.at) {
			recorded.at = at
			e.sortCrashes()
		}
		return e.removeCleared() || changed
	}
	if e.isCleared(crash.build, at) {
		return false
	}
	e.crashes = append(e.crashes, timedCrash{crash, at})
	e.sortCrashes()
	if len(e.crashes) <= maxCrashes {
		return true
	}
	removed := e.crashes[maxOldCrashes]
	e.crashes = slices.Delete(e.crashes, maxOldCrashes, maxOldCrashes+1)
	return !removed.isSameProcess(crash)
}

// sortCrashes puts the oldest crash first. The order is the same in all tables.
func (e *entry) sortCrashes() {
	slices.SortFunc(e.crashes, func(a, b timedCrash) int { return cmp.Or(a.at.Compare(b.at), a.process().compare(b.process())) })
}

// addCompletion adds a completed run on a build, which clears the crashes of that build before it. It
// reports whether the build is new or crashes were cleared.
func (e *entry) addCompletion(build string, at time.Time) (changed bool) {
	i := slices.IndexFunc(e.completions, func(c completion) bool { return c.build == build })
	switch {
	case i >= 0 && !at.After(e.completions[i].at):
		return false
	case i >= 0:
		e.completions[i].at = at
	case len(e.completions) < maxBuilds:
		e.completions = append(e.completions, completion{build, at})
		changed = true
	default:
		oldest := slices.MinFunc(e.completions, func(a, b completion) int { return a.at.Compare(b.at) })
		if !at.After(oldest.at) {
			return false
		}
		e.completions[slices.Index(e.completions, oldest)] = completion{build, at}
		changed = true
	}
	return e.removeCleared() || changed
}

// removeCleared removes the crashes that a completed run clears, and reports whether there were any.
func (e *entry) removeCleared() bool {
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c timedCrash) bool { return e.isCleared(c.build, c.at) })
	return len(e.crashes) < before
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

// isCleared reports whether a completed run on the build clears a crash at a time.
func (e *entry) isCleared(build string, at time.Time) bool {
	return slices.ContainsFunc(e.completions, func(c completion) bool { return c.build == build && !at.After(c.at) })
}

// hasCompletedOn reports whether it ever ran to completion on a build.
func (e *entry) hasCompletedOn(build string) bool {
	return slices.ContainsFunc(e.completions, func(c completion) bool { return c.build == build })
}

// hasCompletedElsewhere reports whether it ran to completion on a build other than the given ones.
func (e *entry) hasCompletedElsewhere(builds []string) bool {
	return slices.ContainsFunc(e.completions, func(c completion) bool { return !slices.Contains(builds, c.build) })
}

// crashedBuilds returns the builds whose servers crashed.
func (e *entry) crashedBuilds() (builds []string) {
	for _, crash := range e.crashes {
		if !slices.Contains(builds, crash.build) {
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
		case explained[crash.process()]:
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
	if slices.ContainsFunc(e.crashes, func(c timedCrash) bool { return e.hasCompletedOn(c.build) }) {
		return e.independentCrashes() > 0
	}
	return len(e.crashes) > 1
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
	at time.Time
}

// isSameFailureAs reports whether two crashes may have one cause in their failure domain, such as
// the failure of a rack.
func (c timedCrash) isSameFailureAs(o timedCrash) bool {
	return c.domain == o.domain && c.at.Sub(o.at).Abs() < sameFailureWindow
}
