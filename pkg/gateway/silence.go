// ================================================================
// Telling a silent connection from a silent backend server. A device on the way that
// forgets its connections leaves them open at both ends and passes nothing any more:
// no end, no reset, and new connections work. Whoever takes that for a backend server
// that is slow waits on the connection, and takes the next silent one from the pool.
//
// An attempt is overdue when it has been silent for longer than is usual: before its
// first event by the forecast that came with its place and by how far forecasts were
// off of late, between events by the pauses of late.
//
//   - One that is overdue, while nothing came over any other old connection to that
//     address: the connections that rest are closed, which costs a dial each.
//   - A connection made since then is answered on: the old ones are silent.
//   - Connections everywhere are silent: nothing comes any more over any that is as
//     old, at several addresses, and new dials to nearly all of these are answered at
//     once. It is seen soon where streams flow: a gateway with streams at several
//     engines hears something every few ms, so it need not wait until each of them is
//     overdue. That all engines stand still at the same moment is far less likely; that
//     several are lost together is not, and shows in dials that are not answered.
//
// A single backend server that stands still is neither: what it works on stays there
// for as long as the watchdog lets it.
//
// Rejected: a bound of fixed length for all. 250 ms is four events of one engine and
// half a prompt of another. Rejected too: asking over each resting connection before
// it is used. It is a round trip more for every request, and a backend server serves
// a question as it does a request.
// ================================================================

package gateway

import "time"

const (
	// leastSilence is for how long any connection may be silent: an engine that reads
	// a prompt pauses all its streams for up to some 100 ms.
	leastSilence = 120 * time.Millisecond
	// fewestAddresses that are silent at once are evidence for silent connections.
	fewestAddresses = 3
	// quickDial is how long a dial may take that shows that the way is free: ways take
	// some ms each, and behind chunks or losses a dial takes longer.
	quickDial = 100 * time.Millisecond
	// quietFactor / quietPart of the longest time of late in which nothing came from
	// anywhere is out of the usual.
	quietFactor, quietPart = 3, 2
	// reachedPart / reachedFactor of the addresses must answer dials.
	reachedPart, reachedFactor = 3, 4
	// evidenceLife is for how long attempts that have ended count as evidence, and what
	// was found by them stays so.
	evidenceLife = 2 * time.Second
)

// evidence is why connections are taken to be silent.
type evidence string

const (
	evidenceSuspected evidence = "suspected" // closes resting connections only
	evidenceNewer     evidence = "newer"
	evidenceMany      evidence = "many"
)

// hearing is an attempt as far as it was heard, at some moment.
type hearing struct {
	address string
	made    time.Time     // its connection
	since   time.Time     // it is silent: its last bytes, or its sending
	due     time.Duration // for how long silence is usual; 0 where none is judged
	spoke   bool          // bytes came over its connection
	flows   bool          // its first event came
	engine  bool          // at an engine, which gives all their events in turn
	reached time.Time     // when a dial that was answered at once began, at its address
	over    time.Time     // when it ended; zero while it is under way
	backend *backend      // where it is
}

// silent returns for how long an attempt has been silent.
func (h hearing) silent(now time.Time) time.Duration {
	if h.ended() {
		now = h.over
	}
	return now.Sub(h.since)
}

func (h hearing) ended() bool { return !h.over.IsZero() }

// overdue tells whether it has been silent for longer than is usual.
func (h hearing) overdue(now time.Time) bool { return h.due > 0 && h.silent(now) > h.due }

// isFlowing tells whether it is a stream under way that has begun.
func (h hearing) isFlowing() bool { return h.flows && !h.ended() }

// stoodStillBefore tells whether it was overdue at some moment already: then it has
// another cause than what began at that moment.
func (h hearing) stoodStillBefore(t time.Time) bool { return h.since.Add(h.due).Before(t) }

// finding is what is found about one attempt.
type finding struct {
	index    int // of the hearing
	evidence evidence
	dial     bool // its address is to be dialed before more can be said
}

// judge finds the attempts whose connections are suspect or silent. everywhere is since
// when connections everywhere are silent; zero where they are not.
func judge(now, everywhere time.Time, all []hearing) (found []finding) {
	for i, h := range all {
		if h.ended() || h.due == 0 {
			continue
		}
		switch {
		case h.isOneOf(everywhere) && h.silent(now) > leastSilence:
			if h.reached.After(everywhere) {
				found = append(found, finding{i, evidenceMany, false})
			} else {
				found = append(found, finding{i, evidenceSuspected, true})
			}
		case !h.overdue(now):
		case newerSpeaks(h, all):
			found = append(found, finding{i, evidenceNewer, false})
		case !heardSince(h.since.Add(leastSilence), h.since, h.address, all):
			found = append(found, finding{i, evidenceSuspected, false})
		}
	}
	return found
}

// isOneOf tells whether its connection is one of those that are silent since a moment.
func (h hearing) isOneOf(everywhere time.Time) bool {
	return !everywhere.IsZero() && !h.made.After(everywhere) && !(h.spoke && h.since.After(everywhere))
}

// silentEverywhere tells since when nothing comes any more over connections of a time,
// from anywhere, the earliest that holds; zero where something does. usualQuiet is the
// longest time of late in which nothing came.
func silentEverywhere(now time.Time, usualQuiet time.Duration, all []hearing) (since time.Time) {
	for _, h := range all {
		if !h.isFlowing() && !h.overdue(now) || now.Sub(h.since) <= leastSilence {
			continue
		}
		if !since.IsZero() && !h.since.Before(since) || heardSince(h.since, h.since, "", all) {
			continue
		}
		if streamsAreSilent(now, h.since, usualQuiet, all) || attemptsAreOverdue(now, h.since, all) {
			since = h.since
		}
	}
	return since
}

// isReached tells whether nearly all addresses with connections that are silent since a
// moment have answered dials since.
func isReached(now, since time.Time, all []hearing) bool {
	silent, reached := map[string]bool{}, map[string]bool{}
	for _, h := range all {
		if !h.tellsOf(now, since) {
			continue
		}
		silent[h.address] = true
		if h.reached.After(since) {
			reached[h.address] = true
		}
	}
	return len(reached) >= fewestAddresses && reachedFactor*len(reached) >= reachedPart*len(silent)
}

// tellsOf tells whether an attempt is one by which connections are found to be silent
// since a moment.
func (h hearing) tellsOf(now, since time.Time) bool {
	return h.isOneOf(since) && !h.stoodStillBefore(since) && (h.isFlowing() || h.overdue(now))
}

// streamsAreSilent tells whether the streams of a time have been silent for longer than
// is usual of all of them together, at several addresses. Streams over newer connections
// must be fewer: few of a time may be silent by chance.
func streamsAreSilent(now, since time.Time, usualQuiet time.Duration, all []hearing) bool {
	if now.Sub(since) <= max(leastSilence, quietFactor*usualQuiet/quietPart) {
		return false
	}
	silent, newer := 0, 0
	addresses := map[string]bool{}
	for _, h := range all {
		switch {
		case !h.isFlowing() || h.stoodStillBefore(since):
		case h.made.After(since):
			newer++
		default:
			silent++
			addresses[h.address] = true
		}
	}
	return silent > newer && len(addresses) >= fewestAddresses
}

// attemptsAreOverdue tells whether attempts of a time are overdue at several addresses,
// and at most of them: where they are at a few, the others may not have had to say
// anything yet. Those that were given up lately count, so it is seen too where one
// request comes after the other.
func attemptsAreOverdue(now, since time.Time, all []hearing) bool {
	overdue, addresses := map[string]bool{}, map[string]bool{}
	for _, h := range all {
		if h.made.After(since) || h.due == 0 || h.stoodStillBefore(since) {
			continue
		}
		if h.overdue(now) {
			overdue[h.address] = true
		}
		if !h.ended() || h.overdue(now) {
			addresses[h.address] = true
		}
	}
	return len(overdue) >= fewestAddresses && 2*len(overdue) >= len(addresses)
}

// heardSince tells whether bytes came since a moment over a connection made before
// another, to an address or, with "", to any.
func heardSince(since, madeBefore time.Time, address string, all []hearing) bool {
	for _, h := range all {
		if h.spoke && (address == "" || h.address == address) && !h.made.After(madeBefore) && h.since.After(since) {
			return true
		}
	}
	return false
}

// newerWait tells whether attempts over connections made since one fell silent wait as well, and
// none of them was answered.
func newerWait(now time.Time, silent hearing, all []hearing) bool {
	wait := false
	for _, h := range all {
		if !h.made.After(silent.since) {
			continue
		}
		if h.spoke {
			return false
		}
		wait = wait || h.silent(now) > leastSilence
	}
	return wait
}

// newerSpeaks tells whether a connection to the same address, made since a stream fell
// silent, is answered on although that stream is overdue: an engine gives all streams their
// events in turn. Requests that wait are no evidence: more urgent ones overtake them, and
// plain ones take each their own time.
func newerSpeaks(silent hearing, all []hearing) bool {
	if !silent.flows {
		return false
	}
	for _, h := range all {
		if h.address == silent.address && h.flows && h.made.After(silent.since) && h.since.Sub(silent.since) > silent.due {
			return true
		}
	}
	return false
}
