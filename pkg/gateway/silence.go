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
	// minSilence is for how long any connection may be silent: an engine that reads
	// a prompt pauses all its streams for up to some 100 ms.
	minSilence = 120 * time.Millisecond
	// minSilentAddresses that are silent at once are evidence for silent connections.
	minSilentAddresses = 3
	// maxQuickDial is how long a dial may take that shows that the way is free: ways take
	// some ms each, and behind chunks or losses a dial takes longer.
	maxQuickDial = 100 * time.Millisecond
	// quietNumerator / quietPart of the longest time of late in which nothing came from
	// anywhere is out of the usual.
	quietNumerator, quietDenominator = 3, 2
	// reachedNumerator / reachedFactor of the addresses must answer dials.
	reachedNumerator, reachedDenominator = 3, 4
	// evidenceTTL is for how long attempts that have ended count as evidence, and what
	// was found by them stays so.
	evidenceTTL = 2 * time.Second
)

// evidence is why connections are taken to be silent.
type evidence string

const (
	evidenceSuspected     evidence = "suspected" // closes resting connections only
	evidenceNewerConn     evidence = "newer"
	evidenceManyAddresses evidence = "many"
)

// attemptSnapshot is an attempt as far as it was heard, at some moment.
type attemptSnapshot struct {
	address      string
	connectedAt  time.Time     // its connection
	silentSince  time.Time     // it is silent: its last bytes, or its sending
	silenceLimit time.Duration // for how long silence is usual; 0 where none is judged
	received     bool          // bytes came over its connection
	streaming    bool          // its first event came
	engine       bool          // at an engine, which gives all their events in turn
	dialAnswered time.Time     // when a dial that was answered at once began, at its address
	endedAt      time.Time     // when it ended; zero while it is under way
	backend      *backend      // where it is
}

// silentFor returns for how long an attempt has been silent.
func (h attemptSnapshot) silentFor(now time.Time) time.Duration {
	if h.ended() {
		now = h.endedAt
	}
	return now.Sub(h.silentSince)
}

func (h attemptSnapshot) ended() bool { return !h.endedAt.IsZero() }

// overdue tells whether it has been silent for longer than is usual.
func (h attemptSnapshot) overdue(now time.Time) bool {
	return h.silenceLimit > 0 && h.silentFor(now) > h.silenceLimit
}

// isStreaming tells whether it is a stream under way that has begun.
func (h attemptSnapshot) isStreaming() bool { return h.streaming && !h.ended() }

// overdueBefore tells whether it was overdue at some moment already: then it has
// another cause than what began at that moment.
func (h attemptSnapshot) overdueBefore(t time.Time) bool {
	return h.silentSince.Add(h.silenceLimit).Before(t)
}

// finding is what is found about one attempt.
type finding struct {
	index    int // of the hearing
	evidence evidence
	dial     bool // its address is to be dialed before more can be said
}

// detectSilent finds the attempts whose connections are suspect or silent. everywhere is since
// when connections everywhere are silent; zero where they are not.
func detectSilent(now, everywhere time.Time, all []attemptSnapshot) (found []finding) {
	for i, h := range all {
		if h.ended() || h.silenceLimit == 0 {
			continue
		}
		switch {
		case h.connSilentSince(everywhere) && h.silentFor(now) > minSilence:
			if h.dialAnswered.After(everywhere) {
				found = append(found, finding{i, evidenceManyAddresses, false})
			} else {
				found = append(found, finding{i, evidenceSuspected, true})
			}
		case !h.overdue(now):
		case newerConnStreams(h, all):
			found = append(found, finding{i, evidenceNewerConn, false})
		case !receivedSince(h.silentSince.Add(minSilence), h.silentSince, h.address, all):
			found = append(found, finding{i, evidenceSuspected, false})
		}
	}
	return found
}

// connSilentSince tells whether its connection is one of those that are silent since a moment.
func (h attemptSnapshot) connSilentSince(everywhere time.Time) bool {
	return !everywhere.IsZero() && !h.connectedAt.After(everywhere) && !(h.received && h.silentSince.After(everywhere))
}

// globalSilenceSince tells since when nothing comes any more over connections of a time,
// from anywhere, the earliest that holds; zero where something does. usualQuiet is the
// longest time of late in which nothing came.
func globalSilenceSince(now time.Time, usualQuiet time.Duration, all []attemptSnapshot) (since time.Time) {
	for _, h := range all {
		if !h.isStreaming() && !h.overdue(now) || now.Sub(h.silentSince) <= minSilence {
			continue
		}
		if !since.IsZero() && !h.silentSince.Before(since) || receivedSince(h.silentSince, h.silentSince, "", all) {
			continue
		}
		if streamsAreSilent(now, h.silentSince, usualQuiet, all) || attemptsAreOverdue(now, h.silentSince, all) {
			since = h.silentSince
		}
	}
	return since
}

// mostAddressesReached tells whether nearly all addresses with connections that are silent since a
// moment have answered dials since.
func mostAddressesReached(now, since time.Time, all []attemptSnapshot) bool {
	silent, reached := map[string]bool{}, map[string]bool{}
	for _, h := range all {
		if !h.isEvidenceOf(now, since) {
			continue
		}
		silent[h.address] = true
		if h.dialAnswered.After(since) {
			reached[h.address] = true
		}
	}
	return len(reached) >= minSilentAddresses && reachedDenominator*len(reached) >= reachedNumerator*len(silent)
}

// isEvidenceOf tells whether an attempt is one by which connections are found to be silent
// since a moment.
func (h attemptSnapshot) isEvidenceOf(now, since time.Time) bool {
	return h.connSilentSince(since) && !h.overdueBefore(since) && (h.isStreaming() || h.overdue(now))
}

// streamsAreSilent tells whether the streams of a time have been silent for longer than
// is usual of all of them together, at several addresses. Streams over newer connections
// must be fewer: few of a time may be silent by chance.
func streamsAreSilent(now, since time.Time, usualQuiet time.Duration, all []attemptSnapshot) bool {
	if now.Sub(since) <= max(minSilence, quietNumerator*usualQuiet/quietDenominator) {
		return false
	}
	silent, newer := 0, 0
	addresses := map[string]bool{}
	for _, h := range all {
		switch {
		case !h.isStreaming() || h.overdueBefore(since):
		case h.connectedAt.After(since):
			newer++
		default:
			silent++
			addresses[h.address] = true
		}
	}
	return silent > newer && len(addresses) >= minSilentAddresses
}

// attemptsAreOverdue tells whether attempts of a time are overdue at several addresses,
// and at most of them: where they are at a few, the others may not have had to say
// anything yet. Those that were given up lately count, so it is seen too where one
// request comes after the other.
func attemptsAreOverdue(now, since time.Time, all []attemptSnapshot) bool {
	overdue, addresses := map[string]bool{}, map[string]bool{}
	for _, h := range all {
		if h.connectedAt.After(since) || h.silenceLimit == 0 || h.overdueBefore(since) {
			continue
		}
		if h.overdue(now) {
			overdue[h.address] = true
		}
		if !h.ended() || h.overdue(now) {
			addresses[h.address] = true
		}
	}
	return len(overdue) >= minSilentAddresses && 2*len(overdue) >= len(addresses)
}

// receivedSince tells whether bytes came since a moment over a connection made before
// another, to an address or, with "", to any.
func receivedSince(since, madeBefore time.Time, address string, all []attemptSnapshot) bool {
	for _, h := range all {
		if h.received && (address == "" || h.address == address) && !h.connectedAt.After(madeBefore) && h.silentSince.After(since) {
			return true
		}
	}
	return false
}

// newerConnsWait tells whether attempts over connections made since one fell silent wait as well, and
// none of them was answered.
func newerConnsWait(now time.Time, silent attemptSnapshot, all []attemptSnapshot) bool {
	wait := false
	for _, h := range all {
		if !h.connectedAt.After(silent.silentSince) {
			continue
		}
		if h.received {
			return false
		}
		wait = wait || h.silentFor(now) > minSilence
	}
	return wait
}

// newerConnStreams tells whether a connection to the same address, made since a stream fell
// silent, is answered on although that stream is overdue: an engine gives all streams their
// events in turn. Requests that wait are no evidence: more urgent ones overtake them, and
// plain ones take each their own time.
func newerConnStreams(silent attemptSnapshot, all []attemptSnapshot) bool {
	if !silent.streaming {
		return false
	}
	for _, h := range all {
		if h.address == silent.address && h.streaming && h.connectedAt.After(silent.silentSince) && h.silentSince.Sub(silent.silentSince) > silent.silenceLimit {
			return true
		}
	}
	return false
}
