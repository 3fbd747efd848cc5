// ================================================================
// The record of one request or part of prompts: the servers that crashed while they ran it, and the
// builds on which it ran to completion. Gateways share records through the control nodes. Merging is a
// union, so all reach the same state in any order of messages, also after a partition.
//
// A single crash proves nothing: a server that crashes fails all its requests, also those that did
// not cause the crash. So only independent crashes count, and a completed run clears the earlier ones:
//
//   - crashes in one failure domain within a second count as one, as when a rack fails, unless
//     the sender of the later request had a record of the earlier crash: then the later server
//     was still running after that crash, and did not crash with it;
//   - what ran to completion on a build did not cause the crashes of servers of that build before;
//   - on a build where it once ran to completion, more crashes are needed, and those at one moment count
//     as one in all failure domains: it is likely to be sound, but what it shares with others may not be.
//
// The plain number of crashes would not do: a popular request is in flight on nearly every server,
// and had three recorded crashes within a second of the first. causes.go compares records.
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
	// crashesDiscounted is how many more crashes it takes on a build where it once ran to completion.
	crashesDiscounted = 2
	// maxOldCrashes and maxNewCrashes bound a record, about 40 bytes per crash. The oldest tell what was
	// a cause first, and the newest whether known causes explain what happens now.
	maxOldCrashes = 8
	maxNewCrashes = 16
	maxCrashes    = maxOldCrashes + maxNewCrashes
	// maxBuilds bounds the builds of completed runs; the latest are kept.
	maxBuilds = 4
	// sameFailureWindow is the time within which crashes in one failure domain count as one:
	// gateways detect a crash within milliseconds, and share it within a few hundred.
	sameFailureWindow = time.Second
	// sameMomentWindow is the time within which crashes in all failure domains count as one, where it
	// ran to completion before.
	sameMomentWindow = 300 * time.Millisecond
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

// process is one process of a server.
type process struct {
	server    string
	startedAt uint64
}

func (c Crash) process() process { return process{c.server, c.startedAt} }

// Record is what gateways and control nodes share about one request or part of prompts.
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
	// cleared says, for each of crashes, that a later run to completion on its build cleared it. Where it
	// is shorter, the others are not cleared.
	cleared []bool
}

// isCleared reports whether a completed run cleared one of crashes.
func (r Record) isCleared(index int) bool { return index < len(r.cleared) && r.cleared[index] }

// entry returns the state that the record alone describes.
func (r Record) entry() *entry {
	e := &entry{}
	for _, build := range r.completedOn {
		e.addBuild(build)
	}
	for i, crash := range r.crashes {
		e.addCrash(timedCrash{crash, time.Time{}.Add(-crash.age), r.isCleared(i)})
	}
	return e
}

// IsQuarantined reports whether the record, taken alone, quarantines its request.
func (r Record) IsQuarantined() bool { return r.entry().verdictAlone() == Quarantined }

// IsSuspicious reports whether crashes of the record may soon count against its request, so that all
// gateways need it.
func (r Record) IsSuspicious() bool { return r.entry().isSuspicious() }

// SortByCrashes sorts records in place by how urgent they are, where they are sent in parts: those with
// more crashes first, and parts of prompts before requests, few of which come again.
func SortByCrashes(records []Record) []Record {
	slices.SortStableFunc(records, func(a, b Record) int {
		if n := len(b.crashes) - len(a.crashes); n != 0 {
			return n
		}
		return compareParts(a.fingerprint, b.fingerprint)
	})
	return records
}

// compareParts orders fingerprints of parts before those of requests.
func compareParts(a, b Fingerprint) int {
	isPartA, isPartB := a.Part() != "", b.Part() != ""
	switch {
	case isPartA == isPartB:
		return 0
	case isPartA:
		return -1
	}
	return 1
}
