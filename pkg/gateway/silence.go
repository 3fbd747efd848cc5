// ================================================================
// Rules that distinguish a silent connection from a silent backend server. A device in the network
// path that loses its connection state (a NAT or firewall) leaves connections open at both ends but
// drops all packets: neither end sees a close or a reset, while new connections work. A gateway
// that takes this for a slow backend server waits on the silent connection, and then uses the next
// silent one from the pool.
//
// An attempt is overdue when it has been silent for longer than recent attempts were: before its
// first event measured from its forecast and the recent forecast error, between events by the
// recent gaps.
//
//   - One attempt is overdue, and nothing came over any other old connection to its address: the
//     idle connections to that address are closed, which costs one dial each.
//   - A connection made later receives events: the older ones are silent.
//   - Nothing comes over any connection of some age at several addresses, and new dials to nearly
//     all of these are answered at once: connections are silent globally. A gateway with streams
//     at several engines receives something every few milliseconds, so it sees this before each
//     stream is overdue. All engines stalling at the same moment is far less likely. Several
//     failing together is not, but then dials go unanswered.
//
// A single backend server that stalls matches none of these; its attempts stay until the watchdog
// interrupts them.
//
// One fixed bound for all would not fit: 250 ms is four events of one engine and half a prompt of
// another. A probe over each idle connection before use would cost an extra round trip per request,
// and a backend server serves a probe like a request.
// ================================================================

package gateway

import "time"

const (
	// minSilence is the silence that is normal on any connection: an engine that reads a prompt
	// pauses all its streams for up to about 100 ms.
	minSilence = 120 * time.Millisecond
	// minSilentAddresses is how many addresses must be silent at once before silence counts as
	// global.
	minSilentAddresses = 3
	// maxQuickDial is the longest dial that shows a free network path. A round trip takes a few
	// milliseconds; behind weight chunks or packet loss a dial takes longer.
	maxQuickDial = 100 * time.Millisecond
	// Silence of all streams counts when it lasts longer than quietNumerator/quietDenominator
	// times the longest recent time without any event.
	quietNumerator, quietDenominator = 3, 2
	// At least reachedNumerator/reachedDenominator of the silent addresses must answer dials.
	reachedNumerator, reachedDenominator = 3, 4
	// evidenceTTL is how long ended attempts count as evidence, and how long a detected global
	// silence stays in effect.
	evidenceTTL = 2 * time.Second
)

// evidence is why connections are considered silent.
type evidence string

const (
	evidenceSuspected     evidence = "suspected" // closes idle connections only
	evidenceNewerConn     evidence = "newer"     // a newer connection to the address receives events
	evidenceManyAddresses evidence = "many"      // connections to many addresses are silent at once
)

// attemptSnapshot is what an attempt had received at some moment.
type attemptSnapshot struct {
	address      string
	connectedAt  time.Time     // when its connection was made
	silentSince  time.Time     // when the last bytes came, or when it was sent if none came
	silenceLimit time.Duration // the longest expected silence; 0 for no limit
	received     bool          // bytes came over its connection
	streaming    bool          // its first event came
	engine       bool          // its backend server is an engine, which serves all its streams in turn
	dialAnswered time.Time     // when the last quick dial of its address began
	endedAt      time.Time     // zero while it is active
	backend      *backend
}

// silentFor returns how long the attempt has been silent, or was when it ended.
func (a attemptSnapshot) silentFor(now time.Time) time.Duration {
	if a.ended() {
		now = a.endedAt
	}
	return now.Sub(a.silentSince)
}

func (a attemptSnapshot) ended() bool { return !a.endedAt.IsZero() }

// overdue reports whether the attempt has been silent for longer than its limit.
func (a attemptSnapshot) overdue(now time.Time) bool {
	return a.silenceLimit > 0 && a.silentFor(now) > a.silenceLimit
}

// isStreaming reports whether the attempt is an active stream whose first event came.
func (a attemptSnapshot) isStreaming() bool { return a.streaming && !a.ended() }

// overdueBefore reports whether the attempt was overdue before t. Its silence then has another
// cause than one that began at t.
func (a attemptSnapshot) overdueBefore(t time.Time) bool {
	return a.silentSince.Add(a.silenceLimit).Before(t)
}

// finding is the result for one attempt.
type finding struct {
	index    int // of the attempt's snapshot
	evidence evidence
	dial     bool // its address must be dialed before more can be said
}

// detectSilent finds the attempts whose connections are suspected or known to be silent.
// globalSince is the start of a global silence, zero for none.
func detectSilent(now, globalSince time.Time, all []attemptSnapshot) (found []finding) {
	for i, a := range all {
		if a.ended() || a.silenceLimit == 0 {
			continue
		}
		switch {
		case a.connSilentSince(globalSince) && a.silentFor(now) > minSilence:
			if a.dialAnswered.After(globalSince) {
				found = append(found, finding{i, evidenceManyAddresses, false})
			} else {
				found = append(found, finding{i, evidenceSuspected, true})
			}
		case !a.overdue(now):
		case newerConnStreams(a, all):
			found = append(found, finding{i, evidenceNewerConn, false})
		case !receivedSince(a.silentSince.Add(minSilence), a.silentSince, a.address, all):
			found = append(found, finding{i, evidenceSuspected, false})
		}
	}
	return found
}

// connSilentSince reports whether the attempt's connection existed when a global silence began
// and has received nothing since.
func (a attemptSnapshot) connSilentSince(globalSince time.Time) bool {
	return !globalSince.IsZero() && !a.connectedAt.After(globalSince) && !(a.received && a.silentSince.After(globalSince))
}

// globalSilenceSince returns the earliest moment since which no connection that existed then has
// received anything, at any address; zero where there is none. recentQuiet is the longest recent
// time without any event.
func globalSilenceSince(now time.Time, recentQuiet time.Duration, all []attemptSnapshot) (since time.Time) {
	for _, a := range all {
		if !a.isStreaming() && !a.overdue(now) || now.Sub(a.silentSince) <= minSilence {
			continue
		}
		if !since.IsZero() && !a.silentSince.Before(since) || receivedSince(a.silentSince, a.silentSince, "", all) {
			continue
		}
		if streamsAreSilent(now, a.silentSince, recentQuiet, all) || attemptsAreOverdue(now, a.silentSince, all) {
			since = a.silentSince
		}
	}
	return since
}

// mostAddressesReached reports whether nearly all addresses whose connections are silent since a
// moment have answered dials that began later.
func mostAddressesReached(now, since time.Time, all []attemptSnapshot) bool {
	silent, reached := map[string]bool{}, map[string]bool{}
	for _, a := range all {
		if !a.isEvidenceOf(now, since) {
			continue
		}
		silent[a.address] = true
		if a.dialAnswered.After(since) {
			reached[a.address] = true
		}
	}
	return len(reached) >= minSilentAddresses && reachedDenominator*len(reached) >= reachedNumerator*len(silent)
}

// isEvidenceOf reports whether the attempt is evidence that connections are silent since a
// moment.
func (a attemptSnapshot) isEvidenceOf(now, since time.Time) bool {
	return a.connSilentSince(since) && !a.overdueBefore(since) && (a.isStreaming() || a.overdue(now))
}

// streamsAreSilent reports whether the streams that existed at a moment have been silent for
// longer than all streams together usually are, at several addresses. Streams over newer
// connections must be fewer: a small number of older streams may be silent by chance.
func streamsAreSilent(now, since time.Time, recentQuiet time.Duration, all []attemptSnapshot) bool {
	if now.Sub(since) <= max(minSilence, quietNumerator*recentQuiet/quietDenominator) {
		return false
	}
	silent, newer := 0, 0
	addresses := map[string]bool{}
	for _, a := range all {
		switch {
		case !a.isStreaming() || a.overdueBefore(since):
		case a.connectedAt.After(since):
			newer++
		default:
			silent++
			addresses[a.address] = true
		}
	}
	return silent > newer && len(addresses) >= minSilentAddresses
}

// attemptsAreOverdue reports whether attempts that existed at a moment are overdue at several
// addresses, and at half or more of the addresses with such attempts: attempts at the others may
// not be due to receive anything yet. Recently ended attempts count, so that the silence is also
// detected where requests come one after the other.
func attemptsAreOverdue(now, since time.Time, all []attemptSnapshot) bool {
	overdue, addresses := map[string]bool{}, map[string]bool{}
	for _, a := range all {
		if a.connectedAt.After(since) || a.silenceLimit == 0 || a.overdueBefore(since) {
			continue
		}
		if a.overdue(now) {
			overdue[a.address] = true
		}
		if !a.ended() || a.overdue(now) {
			addresses[a.address] = true
		}
	}
	return len(overdue) >= minSilentAddresses && 2*len(overdue) >= len(addresses)
}

// receivedSince reports whether bytes came after a moment over a connection that is no newer than
// madeBefore, to an address or, with "", to any.
func receivedSince(since, madeBefore time.Time, address string, all []attemptSnapshot) bool {
	for _, a := range all {
		if a.received && (address == "" || a.address == address) && !a.connectedAt.After(madeBefore) && a.silentSince.After(since) {
			return true
		}
	}
	return false
}

// newerConnsWait reports whether attempts over connections made after the silence of one began
// wait as well, and none of these received anything.
func newerConnsWait(now time.Time, silent attemptSnapshot, all []attemptSnapshot) bool {
	wait := false
	for _, a := range all {
		if !a.connectedAt.After(silent.silentSince) {
			continue
		}
		if a.received {
			return false
		}
		wait = wait || a.silentFor(now) > minSilence
	}
	return wait
}

// newerConnStreams reports whether a newer connection to the same address receives events
// although the silent stream is overdue: an engine serves all its streams in turn. Requests that
// wait are no evidence: more urgent ones overtake them, and the durations of plain requests differ.
func newerConnStreams(silent attemptSnapshot, all []attemptSnapshot) bool {
	if !silent.streaming {
		return false
	}
	for _, a := range all {
		if a.address == silent.address && a.streaming && a.connectedAt.After(silent.silentSince) && a.silentSince.Sub(silent.silentSince) > silent.silenceLimit {
			return true
		}
	}
	return false
}
