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
	// EndsToBar is how many separate ends keep a request away from servers. After two, one
	// innocent request of some eight under way at each end would be kept away as well;
	// after three one in fifty, at 20 servers.
	EndsToBar = 3
	// endsToSuspect has one try of a request at a time at each gateway. After one end that
	// would hold up what many ask whenever a rack fails.
	endsToSuspect = 2
	// maxEnds and maxBuilds bound a record: some 40 bytes an end.
	maxEnds   = 6
	maxBuilds = 4
	// oneFailure is within what time ends of one failure domain are one: gateways see an end
	// within milliseconds, and tell of it within some hundred.
	oneFailure = time.Second
)

// End is that a backend server ended while it ran a request.
//
//wire:generate
type End struct {
	// server is the incarnation of the backend server.
	server string
	// born is when that one started, in Unix milliseconds; 0 when not known.
	born uint64
	// domain is its failure domain.
	domain string
	// build is its software and the weights that it served.
	build string
	// known is how many separate ends the sender knew of when it sent the request.
	known int
	// age is how long ago it ended, as far as the teller knows.
	age time.Duration
}

// isSame tells whether two ends are of one life of a server.
func (e End) isSame(o End) bool { return e.server == o.server && e.born == o.born }

// Record is what is told of one request.
//
//wire:generate
type Record struct {
	// fingerprint is the request's.
	fingerprint Fingerprint
	// ends are the servers that ended while they ran it, oldest first.
	ends []End
	// whole are the builds on which it ran whole.
	whole []string
	// trials is how often one gateway was let to try it once more after it was barred, and
	// tester who that was last.
	trials int
	tester string
	// idle is how long ago anything was learnt of it, or it came while it was barred, as far
	// as the teller knows.
	idle time.Duration
}

// IsBarred tells whether a record, as it is, keeps its request away from servers.
func (r Record) IsBarred() bool {
	e := entry{whole: r.whole}
	for _, one := range r.ends {
		e.addEnd(one, time.Time{})
	}
	return e.verdict() == Barred
}

// Sorted returns records with those first that have more ends: of what is told in parts,
// they are the most urgent.
func Sorted(records []Record) []Record {
	slices.SortStableFunc(records, func(a, b Record) int { return len(b.ends) - len(a.ends) })
	return records
}

// seenEnd is an end and when it was, by the clock here.
type seenEnd struct {
	End
	at time.Time
}

// entry is a record as it is held here.
type entry struct {
	ends  []seenEnd
	whole []string
	// trials and tester are those of the record; used is how many were used here.
	trials, used int
	tester       string
	heard        time.Time // when it last changed, or was asked for while it was barred
	under        int       // tries under way here
}

// record returns what is told of an entry.
func (e *entry) record(f Fingerprint, now time.Time) Record {
	r := Record{fingerprint: f, whole: slices.Clone(e.whole), trials: e.trials, tester: e.tester, idle: now.Sub(e.heard)}
	for _, one := range e.ends {
		one.age = now.Sub(one.at)
		r.ends = append(r.ends, one.End)
	}
	return r
}

// addEnd takes an end and tells whether that says anything new.
func (e *entry) addEnd(one End, now time.Time) (changed bool) {
	at := now.Add(-one.age)
	for i := range e.ends {
		held := &e.ends[i]
		if !held.isSame(one) {
			continue
		}
		changed = one.known > held.known
		held.known = max(held.known, one.known)
		if at.Before(held.at) {
			held.at = at
		}
		return changed
	}
	if len(e.ends) >= maxEnds {
		return false
	}
	e.ends = append(e.ends, seenEnd{one, at})
	slices.SortStableFunc(e.ends, func(a, b seenEnd) int { return a.at.Compare(b.at) })
	return true
}

// addWhole takes a build on which the request ran whole and tells whether that is new.
func (e *entry) addWhole(build string) (changed bool) {
	if slices.Contains(e.whole, build) || len(e.whole) >= maxBuilds {
		return false
	}
	e.whole = append(e.whole, build)
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

// addHeard takes how long ago others heard of the request, and tells whether the others here
// are to know that too, so that they go on remembering it.
func (e *entry) addHeard(idle time.Duration, now time.Time) (changed bool) {
	at := now.Add(-idle)
	if !at.After(e.heard) {
		return false
	}
	changed = at.Sub(e.heard) >= askedEvery
	e.heard = at
	return changed
}

// endedOn returns the builds on which servers ended under the request, and it never ran
// whole.
func (e *entry) endedOn() (builds []string) {
	for _, one := range e.ends {
		if !slices.Contains(e.whole, one.build) && !slices.Contains(builds, one.build) {
			builds = append(builds, one.build)
		}
	}
	return builds
}

// separateEnds counts the ends that stand for failures of their own, on builds where the
// request has not run whole.
func (e *entry) separateEnds() int {
	var counted []seenEnd
	all, known := 0, 0
	for _, one := range e.ends {
		if slices.Contains(e.whole, one.build) {
			continue
		}
		all++
		known = max(known, one.known)
		if !slices.ContainsFunc(counted, one.isOneFailureWith) {
			counted = append(counted, one)
		}
	}
	return max(len(counted), min(known+1, all))
}

// isOneFailureWith tells whether two ends may be one failure: of a rack, or of what else a
// failure domain shares.
func (s seenEnd) isOneFailureWith(o seenEnd) bool {
	return s.domain == o.domain && s.at.Sub(o.at).Abs() < oneFailure
}
