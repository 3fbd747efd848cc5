// ================================================================
// All attempts under way as they listen, and what is usual of them. A look costs nothing
// while nothing is under way.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

const (
	// silenceCheckInterval is the time between looks: a fifth of the least silence.
	silenceCheckInterval = 25 * time.Millisecond
	// processPauseThreshold is the time between two looks after which this process stood still
	// itself: what came meanwhile is not read yet.
	processPauseThreshold = 4 * silenceCheckInterval
	// defaultQuiet is usualQuiet where it was not learned: twice the pass of an engine
	// that reads a prompt.
	defaultQuiet = 200 * time.Millisecond
	// maxEndedAttempts bounds the attempts that are remembered as evidence.
	maxEndedAttempts = 1024
)

// silenceDetector are the attempts under way and what is usual. The zero value has none.
type silenceDetector struct {
	mu         sync.Mutex
	active     map[*attemptMonitor]bool
	ended      []attemptSnapshot
	timings    map[timingKey]*recentMax
	streaming  map[string]int // streams whose events come, by address
	quietTimes recentMax      // times in which nothing came from anywhere while streams flowed
	lastEvent  time.Time      // the last event of any stream
	// globalSince is since when connections everywhere are silent, found at foundAt.
	globalSince, detectedAt time.Time
	scheduled               bool
	lastCheck               time.Time // the last look, or the start
	resumedAt               time.Time // when this process last went on after it stood still
}

// timingKey says what a usual time is of.
type timingKey struct {
	service string
	kind    timingKind
}

// timingKind is a kind of time that is learned.
type timingKind string

const (
	timingEventGap timingKind = "pause"    // between two events
	timingWait     timingKind = "wait"     // for the first event, or for an answer
	timingLateness timingKind = "lateness" // of a first event after its forecast
	timingRun      timingKind = "run"      // of a request; at an engine, for a second of what it should take
)

// add takes an attempt in, and has look called from now on until all have ended.
func (s *silenceDetector) add(l *attemptMonitor, look func()) {
	q := l.exchange.request
	s.mu.Lock()
	defer s.mu.Unlock()
	l.silenceLimit = s.timing(q.waitTimingKey()).limit(l.sentAt, q.forecast, q.route.Objective())
	if s.active == nil {
		s.active = map[*attemptMonitor]bool{}
	}
	s.active[l] = true
	if !s.scheduled {
		s.scheduled, s.lastCheck = true, time.Now()
		time.AfterFunc(silenceCheckInterval, look)
	}
}

// remove takes an attempt out; it counts as evidence for a while.
func (s *silenceDetector) remove(l *attemptMonitor) {
	h := l.snapshot()
	h.endedAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, l)
	if address := h.address; h.streaming {
		s.streaming[address]--
		if s.streaming[address] == 0 {
			delete(s.streaming, address)
		}
	}
	s.ended = append(s.ended, h)
	if surplus := len(s.ended) - maxEndedAttempts; surplus > 0 {
		s.ended = s.ended[surplus:]
	}
}

// recordEvent learns from an event of a stream, and returns for how long silence is usual
// from then on.
func (s *silenceDetector) recordEvent(l *attemptMonitor, now, before time.Time, first bool) time.Duration {
	q, address := l.exchange.request, l.exchange.backend.address
	s.mu.Lock()
	defer s.mu.Unlock()
	pauses := s.timing(timingKey{q.service.Name(), timingEventGap})
	if first {
		if s.streaming == nil {
			s.streaming = map[string]int{}
		}
		s.streaming[address]++
	} else {
		pauses.observe(now, now.Sub(before))
		if len(s.streaming) >= minSilentAddresses && !l.connectedAt.After(s.lastEvent) {
			// Over a connection made since, it says nothing of those before.
			s.quietTimes.observe(now, now.Sub(s.lastEvent))
		}
	}
	s.lastEvent = now
	return pauses.limit(now, 0, q.route.GapObjective())
}

// record learns from a time.
func (s *silenceDetector) record(key timingKey, now time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timing(key).observe(now, took)
}

// recentLimit returns what is out of the usual for a kind of time; 0 where that is not known.
func (s *silenceDetector) recentLimit(key timingKey, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timing(key).limit(now, 0, 0)
}

// longestResponseWait returns the longest wait of late for the first event or the answer of a service's
// requests; 0 where too few are known.
func (s *silenceDetector) longestResponseWait(service string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest time.Duration
	for _, what := range []timingKind{timingWait, timingLateness} {
		if l, known := s.timing(timingKey{service, what}).longest(now); known {
			longest = max(longest, l)
		}
	}
	return longest
}

// maxForecastError returns by how much a first event came after its forecast, at the most of late; 0
// where too few are known.
func (s *silenceDetector) maxForecastError(service string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest, _ := s.timing(timingKey{service, timingLateness}).longest(now)
	return max(longest, 0)
}

// limit returns for how long silence is usual, after a forecast where there is one: a
// quarter longer than the longest of late. otherwise is the time where nothing was
// learned; 0 has none judged.
func (u *recentMax) limit(now time.Time, forecast, otherwise time.Duration) time.Duration {
	longest, known := u.longest(now)
	if !known {
		if otherwise == 0 {
			return 0
		}
		return max(forecast+otherwise, minSilence)
	}
	return max(forecast+longest+longest/4, minSilence)
}

func (s *silenceDetector) timing(key timingKey) *recentMax {
	u := s.timings[key]
	if u == nil {
		if s.timings == nil {
			s.timings = map[timingKey]*recentMax{}
		}
		u = &recentMax{}
		s.timings[key] = u
	}
	return u
}

// snapshots returns what was heard of all attempts under way, then of those that ended
// lately. What was silent while this process stood still counts as silent from then on.
func (s *silenceDetector) snapshots(now time.Time) (under []*attemptMonitor, all []attemptSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastCheck) > processPauseThreshold {
		s.resumedAt = now
	}
	s.lastCheck = now
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) > evidenceTTL {
		s.ended = s.ended[1:]
	}
	for l := range s.active {
		h := l.snapshot()
		if h.silentSince.Before(s.resumedAt) {
			h.silentSince = s.resumedAt
		}
		under, all = append(under, l), append(all, h)
	}
	for _, h := range s.ended {
		h.dialAnswered = h.backend.reached.lastQuickDial()
		all = append(all, h)
	}
	return under, all
}

// allStreamsSilent tells whether streams flow in other failure domains than that of an attempt, and
// none anywhere had an event since it had its last one.
func (s *silenceDetector) allStreamsSilent(l *attemptMonitor) bool {
	mine, domain, elsewhere := l.snapshot(), l.domain(), false
	s.mu.Lock()
	defer s.mu.Unlock()
	for one := range s.active {
		h := one.snapshot()
		if h.address == mine.address || !h.streaming {
			continue
		}
		if h.silentSince.After(mine.silentSince.Add(minSilence)) {
			return false
		}
		elsewhere = elsewhere || one.domain() != domain
	}
	return elsewhere
}

// scheduleNext has look called once more while anything is under way. It comes after a look
// and not beside it, so that none overtakes the one before.
func (s *silenceDetector) scheduleNext(look func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduled = len(s.active) > 0; s.scheduled {
		time.AfterFunc(silenceCheckInterval, look)
	}
}

// globalSilence tells since when connections everywhere are silent, and whether that
// is new; zero where they are not. suspected is since when they may be: dials have to
// tell.
func (s *silenceDetector) globalSilence(now time.Time, all []attemptSnapshot) (since time.Time, isNew bool, suspected time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := globalSilenceSince(now, s.recentQuietLocked(now), all); at.After(s.detectedAt) {
		if mostAddressesReached(now, at, all) {
			s.globalSince, s.detectedAt = at, now
			return at, true, time.Time{}
		}
		suspected = at
	}
	if now.Sub(s.detectedAt) > evidenceTTL {
		return time.Time{}, false, suspected
	}
	return s.globalSince, false, suspected
}

// recentQuietLocked returns the longest time of late in which nothing came, for whoever holds
// the lock.
func (s *silenceDetector) recentQuietLocked(now time.Time) time.Duration {
	if longest, known := s.quietTimes.longest(now); known {
		return longest
	}
	return defaultQuiet
}

// recentQuiet is quietOfLate for whoever does not hold it.
func (s *silenceDetector) recentQuiet(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recentQuietLocked(now)
}
