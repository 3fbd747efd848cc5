// ================================================================
// The record of one request: the servers that crashed while they ran it, and the builds on which it
// ran to completion. Gateways share records through the control nodes. Merging is a union, so all
// reach the same state in any order of messages, also after a partition.
//
// A single crash proves nothing: a server that crashes fails all its requests, also those that did
// not cause the crash. So only independent crashes count, and one completed run clears a request:
//
//   - crashes in one failure domain within a second count as one, as when a rack fails, unless
//     the sender of the later request had a record of the earlier crash: then the later server
//     was still running after that crash, and did not crash with it;
//   - a request that ran to completion on a build doesn't crash servers of that build.
//
// The plain number of crashes would not do: a popular request is in flight on nearly every server,
// and had three recorded crashes within a second of the first.
// ================================================================

package quarantine

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"slices"
	"time"
)

const (
	// CrashesToQuarantine is how many independent crashes quarantine a request. After two, one
	// in about eight of the other requests in flight at each crash would be quarantined as well;
	// after three, one in fifty, with 20 servers.
	CrashesToQuarantine = 3
	// crashesToSuspect limits a request to one attempt at a time in each gateway. After a single
	// crash that would delay popular requests whenever a rack fails.
	crashesToSuspect = 2
	// maxCrashes and maxBuilds bound a record: about 40 bytes per crash.
	maxCrashes = 6
	maxBuilds  = 4
	// sameFailureWindow is the time within which crashes in one failure domain count as one:
	// gateways detect a crash within milliseconds, and share it within a few hundred.
	sameFailureWindow = time.Second
)

// Crash records that a backend server exited while it ran a request.
//
//wire:generate
type Crash struct {
	// server is the incarnation of the backend server.
	server string
	// startedAt is when that process started, in Unix milliseconds; 0 where it is not known.
	startedAt uint64
	// domain is the failure domain of the server.
	domain string
	// build is the software of the server and the weights that it served.
	build string
	// knownCrashes is how many independent crashes the sender knew of when it sent the request.
	knownCrashes int
	// age is the time since the crash, by the clock of the sender of this message.
	age time.Duration
}

// isSameProcess reports whether two crashes are of one process of a server.
func (c Crash) isSameProcess(o Crash) bool { return c.server == o.server && c.startedAt == o.startedAt }

// Record is what gateways and control nodes share about one request.
//
//wire:generate
type Record struct {
	// fingerprint identifies the request.
	fingerprint Fingerprint
	// crashes are the crashes of servers that ran the request, oldest first.
	crashes []Crash
	// completedOn are the builds on which it ran to completion.
	completedOn []string
	// trials is how often a gateway was allowed to try the request again after it was quarantined,
	// and tester the gateway that was allowed to do so last.
	trials int
	tester string
	// idle is the time since the record last changed, or since the request last arrived while it
	// was quarantined, by the records of the sender of this message.
	idle time.Duration
}

// IsQuarantined reports whether the record, taken alone, quarantines its request.
func (r Record) IsQuarantined() bool {
	e := entry{completedOn: r.completedOn}
	for _, crash := range r.crashes {
		e.addCrash(crash, time.Time{})
	}
	return e.verdict() == Quarantined
}

// SortByCrashes sorts records in place by decreasing number of crashes: where records are sent in
// parts, those with more crashes are more urgent.
func SortByCrashes(records []Record) []Record {
	slices.SortStableFunc(records, func(a, b Record) int { return len(b.crashes) - len(a.crashes) })
	return records
}

// timedCrash is a crash with its time by the local clock.
type timedCrash struct {
	Crash
	at time.Time
}

// entry is the local state of one record.
type entry struct {
	crashes     []timedCrash
	completedOn []string
	// trials and tester are those of the record; trialsUsed is how many of them began here.
	trials, trialsUsed int
	tester             string
	lastActivity       time.Time // when it last changed, or arrived while it was quarantined
	attemptsInFlight   int       // attempts in flight here
}

// record returns the record to share.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{fingerprint: f, completedOn: slices.Clone(e.completedOn), trials: e.trials, tester: e.tester, idle: now.Sub(e.lastActivity)}
	for _, crash := range e.crashes {
		crash.age = now.Sub(crash.at)
		r.crashes = append(r.crashes, crash.Crash)
	}
	return r
}

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
		}
		return changed
	}
	if len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes = append(e.crashes, timedCrash{crash, at})
	slices.SortStableFunc(e.crashes, func(a, b timedCrash) int { return a.at.Compare(b.at) })
	return true
}

// addCompletion adds a build on which the request ran to completion and reports whether it is new.
func (e *entry) addCompletion(build string) (changed bool) {
	if slices.Contains(e.completedOn, build) || len(e.completedOn) >= maxBuilds {
		return false
	}
	e.completedOn = append(e.completedOn, build)
	return true
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

// crashedBuilds returns the builds that crashed under the request and on which it never ran to
// completion.
func (e *entry) crashedBuilds() (builds []string) {
	for _, crash := range e.crashes {
		if !slices.Contains(e.completedOn, crash.build) && !slices.Contains(builds, crash.build) {
			builds = append(builds, crash.build)
		}
	}
	return builds
}

// independentCrashes counts the crashes that are separate failures, on builds where the request has
// not run to completion.
func (e *entry) independentCrashes() int {
	var counted []timedCrash
	total, known := 0, 0
	for _, crash := range e.crashes {
		if slices.Contains(e.completedOn, crash.build) {
			continue
		}
		total++
		known = max(known, crash.knownCrashes)
		if !slices.ContainsFunc(counted, crash.isSameFailureAs) {
			counted = append(counted, crash)
		}
	}
	return max(len(counted), min(known+1, total))
}

// isSameFailureAs reports whether two crashes may have one cause in their failure domain, such as
// the failure of a rack.
func (c timedCrash) isSameFailureAs(o timedCrash) bool {
	return c.domain == o.domain && c.at.Sub(o.at).Abs() < sameFailureWindow
}
