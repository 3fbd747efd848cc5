// ================================================================
// What is known of one request: the servers that ended while they ran it, and where it
// has run whole. Records are told by gateways through control nodes and merged by union,
// so all come to know the same whatever the order, also after a cut.
//
// An end alone proves nothing: a server that ends takes all its requests with it, the
// innocent as well. So what counts is separate ends, and one whole run clears a request:
//
//   - ends of one failure domain within a second are one, as of a rack that fails, unless
//     the sender of the later request knew of the earlier end: then that server lived on;
//   - a request that ran whole somewhere does not end servers of that build.
//
// Rejected: the count of ends alone. What everybody asks is under way at nearly each
// server, and had three ends behind it within a second of the first.
// ================================================================

package quarantine

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"slices"
	"time"
)

const (
	// CrashesToQuarantine is how many separate ends keep a request away from servers. After two, one
	// innocent request of some eight under way at each end would be kept away as well;
	// after three one in fifty, at 20 servers.
	CrashesToQuarantine = 3
	// crashesToSuspect has one try of a request at a time at each gateway. After one end that
	// would hold up what many ask whenever a rack fails.
	crashesToSuspect = 2
	// maxCrashes and maxBuilds bound a record: some 40 bytes an end.
	maxCrashes = 6
	maxBuilds  = 4
	// sameFailureWindow is within what time ends of one failure domain are one: gateways see an end
	// within milliseconds, and tell of it within some hundred.
	sameFailureWindow = time.Second
)

// Crash is that a backend server ended while it ran a request.
//
//wire:generate
type Crash struct {
	// server is the incarnation of the backend server.
	server string
	// startTime is when that one started, in Unix milliseconds; 0 when not known.
	startTime uint64
	// domain is its failure domain.
	domain string
	// build is its software and the weights that it served.
	build string
	// knownCrashes is how many separate ends the sender knew of when it sent the request.
	knownCrashes int
	// age is how long ago it ended, as far as the teller knows.
	age time.Duration
}

// isSameProcess tells whether two ends are of one life of a server.
func (e Crash) isSameProcess(o Crash) bool { return e.server == o.server && e.startTime == o.startTime }

// Record is what is told of one request.
//
//wire:generate
type Record struct {
	// fingerprint is the request's.
	fingerprint Fingerprint
	// crashes are the servers that ended while they ran it, oldest first.
	crashes []Crash
	// completedOn are the builds on which it ran whole.
	completedOn []string
	// trials is how often one gateway was let to try it once more after it was barred, and
	// tester who that was last.
	trials int
	tester string
	// idle is how long ago anything was learnt of it, or it came while it was barred, as far
	// as the teller knows.
	idle time.Duration
}

// IsQuarantined tells whether a record, as it is, keeps its request away from servers.
func (r Record) IsQuarantined() bool {
	e := entry{completedOn: r.completedOn}
	for _, one := range r.crashes {
		e.addCrash(one, time.Time{})
	}
	return e.verdict() == Quarantined
}

// SortByCrashes returns records with those first that have more ends: of what is told in parts,
// they are the most urgent.
func SortByCrashes(records []Record) []Record {
	slices.SortStableFunc(records, func(a, b Record) int { return len(b.crashes) - len(a.crashes) })
	return records
}

// timedCrash is an end and when it was, by the clock here.
type timedCrash struct {
	Crash
	at time.Time
}

// entry is a record as it is held here.
type entry struct {
	crashes     []timedCrash
	completedOn []string
	// trials and tester are those of the record; used is how many were used here.
	trials, trialsUsed int
	tester             string
	lastActivity       time.Time // when it last changed, or was asked for while it was barred
	triesInFlight      int       // tries under way here
}

// record returns what is told of an entry.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{fingerprint: f, completedOn: slices.Clone(e.completedOn), trials: e.trials, tester: e.tester, idle: now.Sub(e.lastActivity)}
	for _, one := range e.crashes {
		one.age = now.Sub(one.at)
		r.crashes = append(r.crashes, one.Crash)
	}
	return r
}

// addCrash takes an end and tells whether that says anything new.
func (e *entry) addCrash(one Crash, now time.Time) (changed bool) {
	at := now.Add(-one.age)
	for i := range e.crashes {
		held := &e.crashes[i]
		if !held.isSameProcess(one) {
			continue
		}
		changed = one.knownCrashes > held.knownCrashes
		held.knownCrashes = max(held.knownCrashes, one.knownCrashes)
		if at.Before(held.at) {
			held.at = at
		}
		return changed
	}
	if len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes = append(e.crashes, timedCrash{one, at})
	slices.SortStableFunc(e.crashes, func(a, b timedCrash) int { return a.at.Compare(b.at) })
	return true
}

// addCompletion takes a build on which the request ran whole and tells whether that is new.
func (e *entry) addCompletion(build string) (changed bool) {
	if slices.Contains(e.completedOn, build) || len(e.completedOn) >= maxBuilds {
		return false
	}
	e.completedOn = append(e.completedOn, build)
	return true
}

// addTrial takes who may try the request once more, and tells whether that is new.
func (e *entry) addTrial(trials int, tester string) (changed bool) {
	if trials <= e.trials {
		return false
	}
	e.trials, e.tester = trials, tester
	return true
}

// mergeActivity takes how long ago others heard of the request, and tells whether the others here
// are to know that too, so that they go on remembering it.
func (e *entry) mergeActivity(idle time.Duration, now time.Time) (changed bool) {
	at := now.Add(-idle)
	if !at.After(e.lastActivity) {
		return false
	}
	changed = at.Sub(e.lastActivity) >= activityInterval
	e.lastActivity = at
	return changed
}

// crashedBuilds returns the builds on which servers ended under the request, and it never ran
// whole.
func (e *entry) crashedBuilds() (builds []string) {
	for _, one := range e.crashes {
		if !slices.Contains(e.completedOn, one.build) && !slices.Contains(builds, one.build) {
			builds = append(builds, one.build)
		}
	}
	return builds
}

// independentCrashes counts the ends that stand for failures of their own, on builds where the
// request has not run whole.
func (e *entry) independentCrashes() int {
	var counted []timedCrash
	all, known := 0, 0
	for _, one := range e.crashes {
		if slices.Contains(e.completedOn, one.build) {
			continue
		}
		all++
		known = max(known, one.knownCrashes)
		if !slices.ContainsFunc(counted, one.isSameFailureAs) {
			counted = append(counted, one)
		}
	}
	return max(len(counted), min(known+1, all))
}

// isSameFailureAs tells whether two ends may be one failure: of a rack, or of what else a
// failure domain shares.
func (s timedCrash) isSameFailureAs(o timedCrash) bool {
	return s.domain == o.domain && s.at.Sub(o.at).Abs() < sameFailureWindow
}
