// ================================================================
// The state of silence detection in one gateway: all active attempts, recently ended ones, and
// the recent timings they are compared with. Checks run only while attempts are active.
// ================================================================

package gateway

import (
	"maps"
	"sync"
	"time"
)

const (
	// silenceCheckInterval is the time between checks: about a fifth of minSilence.
	silenceCheckInterval = 25 * time.Millisecond
	// processPauseThreshold is the delay of a check that shows that this process itself was
	// paused, so that bytes which came meanwhile are not read yet.
	processPauseThreshold = 4 * silenceCheckInterval
	// defaultQuiet replaces the longest recent time without any event while too few samples are
	// known: twice the pass of an engine that reads a prompt.
	defaultQuiet = 200 * time.Millisecond
	// maxEndedAttempts bounds the ended attempts that are kept as evidence.
	maxEndedAttempts = 1024
)

// silenceDetector holds the active attempts and recent timings. The zero value is empty. It is
// safe for concurrent use.
type silenceDetector struct {
	mu         sync.Mutex
	active     map[*attemptMonitor]bool
	ended      []attemptSnapshot
	timings    map[timingKey]*recentMax
	streaming  map[string]int // active streams whose first event came, by address
	quietTimes recentMax      // times without any event while streams at several addresses were active
	lastEvent  time.Time      // of any stream
	// globalSince is when the last global silence began, and detectedAt when it was detected.
	globalSince, detectedAt time.Time
	scheduled               bool      // the next check is due or running
	lastCheck               time.Time // or when the first active attempt was added
	resumedAt               time.Time // when this process last continued after a pause
}

// timingKey identifies a series of timings.
type timingKey struct {
	service string
	kind    timingKind
}

// timingKind is a kind of duration that is recorded for each service.
type timingKind string

const (
	timingEventGap      timingKind = "pause"    // between two events
	timingWait          timingKind = "wait"     // for the first event, or for an answer that is not a stream
	timingForecastError timingKind = "lateness" // of a first event after its forecast
	timingRun           timingKind = "run"      // of a request; at an engine, per second of its estimate
)

// add adds an attempt and schedules check to run while any attempt is active.
func (s *silenceDetector) add(m *attemptMonitor, check func()) {
	q := m.exchange.request
	s.mu.Lock()
	defer s.mu.Unlock()
	m.silenceLimit = s.timing(q.waitTimingKey()).limit(m.sentAt, q.firstEventForecast, q.route.ResponseObjective())
	if s.active == nil {
		s.active = map[*attemptMonitor]bool{}
	}
	s.active[m] = true
	if !s.scheduled {
		s.scheduled, s.lastCheck = true, time.Now()
		time.AfterFunc(silenceCheckInterval, check)
	}
}

// remove removes an attempt, and keeps its last state as evidence for a while.
func (s *silenceDetector) remove(m *attemptMonitor) {
	a := m.snapshot()
	a.endedAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, m)
	if address := a.address; a.streaming {
		s.streaming[address]--
		if s.streaming[address] == 0 {
			delete(s.streaming, address)
		}
	}
	s.ended = append(s.ended, a)
	if surplus := len(s.ended) - maxEndedAttempts; surplus > 0 {
		s.ended = s.ended[surplus:]
	}
}

// recordEvent records the timing of a stream's event, and returns the attempt's new silence
// limit.
func (s *silenceDetector) recordEvent(m *attemptMonitor, now, before time.Time, first bool) time.Duration {
	q, address := m.exchange.request, m.exchange.backend.address
	s.mu.Lock()
	defer s.mu.Unlock()
	gaps := s.timing(timingKey{q.service.Name(), timingEventGap})
	if first {
		if s.streaming == nil {
			s.streaming = map[string]int{}
		}
		s.streaming[address]++
	} else {
		gaps.observe(now, now.Sub(before))
		if len(s.streaming) >= minSilentAddresses && !m.connectedAt.After(s.lastEvent) {
			// An event over a newer connection says nothing about older ones.
			s.quietTimes.observe(now, now.Sub(s.lastEvent))
		}
	}
	s.lastEvent = now
	return gaps.limit(now, 0, q.route.GapObjective())
}

// record adds a duration to a series of timings.
func (s *silenceDetector) record(key timingKey, now time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timing(key).observe(now, took)
}

// recentLimit returns the limit above which a duration is unusual; 0 where too few samples are
// known.
func (s *silenceDetector) recentLimit(key timingKey, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timing(key).limit(now, 0, 0)
}

// longestResponseWait returns the longest recent wait for the first event or the answer of a
// service's requests; 0 where too few samples are known.
func (s *silenceDetector) longestResponseWait(service string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest time.Duration
	for _, kind := range []timingKind{timingWait, timingForecastError} {
		if l, known := s.timing(timingKey{service, kind}).longest(now); known {
			longest = max(longest, l)
		}
	}
	return longest
}

// maxForecastError returns the longest recent delay of a service's first events after their
// forecast; 0 where too few samples are known.
func (s *silenceDetector) maxForecastError(service string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest, _ := s.timing(timingKey{service, timingForecastError}).longest(now)
	return max(longest, 0)
}

// limit returns a quarter more than the recent maximum, counted from the forecast where there is
// one, and at least minSilence. fallback replaces it while too few samples are known; with a
// fallback of 0 there is no limit then, and the result is 0.
func (m *recentMax) limit(now time.Time, forecast, fallback time.Duration) time.Duration {
	longest, known := m.longest(now)
	if !known {
		if fallback == 0 {
			return 0
		}
		return max(forecast+fallback, minSilence)
	}
	return max(forecast+longest+longest/4, minSilence)
}

// timing returns the timings for a key. The caller holds the lock.
func (s *silenceDetector) timing(key timingKey) *recentMax {
	recent := s.timings[key]
	if recent == nil {
		if s.timings == nil {
			s.timings = map[timingKey]*recentMax{}
		}
		recent = &recentMax{}
		s.timings[key] = recent
	}
	return recent
}

// snapshots returns the active attempts and the snapshots of all attempts: the active ones in the
// same order, then the recently ended ones. Silence that began before a pause of this process
// counts from the end of that pause.
func (s *silenceDetector) snapshots(now time.Time) (active []*attemptMonitor, all []attemptSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastCheck) > processPauseThreshold {
		s.resumedAt = now
	}
	s.lastCheck = now
	for len(s.ended) > 0 && now.Sub(s.ended[0].endedAt) > evidenceTTL {
		s.ended = s.ended[1:]
	}
	for m := range s.active {
		a := m.snapshot()
		if a.silentSince.Before(s.resumedAt) {
			a.silentSince = s.resumedAt
		}
		active, all = append(active, m), append(all, a)
	}
	for _, a := range s.ended {
		a.dialAnswered = a.backend.dialTimes.lastQuickDial()
		all = append(all, a)
	}
	return active, all
}

// progress is what the streams of a gateway show of other backend servers.
type progress int

const (
	// progressUnknown means that all its streams in one failure domain are silent, and that it has
	// none in others.
	progressUnknown progress = iota
	// progressSeen means that other streams receive events.
	progressSeen
	// progressNone means that streams in several failure domains are silent.
	progressNone
)

// progressElsewhere returns whether streams at other addresses than that of an attempt received events in
// the second half of the attempt's silence, and the backend servers whose streams received none. Streams
// of slow servers receive events at different times, so one that came soon after the attempt's last one
// does not show that the others make progress.
func (s *silenceDetector) progressElsewhere(m *attemptMonitor, now time.Time) (found progress, silent map[*backend]bool) {
	own, domain := m.snapshot(), m.domain()
	recent := now.Add(-own.silentFor(now) / 2)
	silent, receiving := map[*backend]bool{}, map[*backend]bool{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for other := range s.active {
		a := other.snapshot()
		switch {
		case a.address == own.address || !a.streaming || other.exchange.request.isCopyOf(m.exchange.request):
		case a.silentSince.After(recent):
			found = progressSeen
			receiving[a.backend] = true
		default:
			silent[a.backend] = true
			if found == progressUnknown && other.domain() != domain {
				found = progressNone
			}
		}
	}
	maps.DeleteFunc(silent, func(b *backend, _ bool) bool { return receiving[b] })
	return found, silent
}

// scheduleNext schedules the next check while any attempt is active. It runs at the end of a
// check, so that checks never overlap.
func (s *silenceDetector) scheduleNext(check func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduled = len(s.active) > 0; s.scheduled {
		time.AfterFunc(silenceCheckInterval, check)
	}
}

// globalSilence returns when the current global silence began, zero for none, and whether it is
// newly detected. suspected is set instead where the silence still needs answered dials as proof.
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

// recentQuietLocked returns the longest recent time without any event. The caller holds the lock.
func (s *silenceDetector) recentQuietLocked(now time.Time) time.Duration {
	if longest, known := s.quietTimes.longest(now); known {
		return longest
	}
	return defaultQuiet
}

// recentQuiet is recentQuietLocked for callers that don't hold the lock.
func (s *silenceDetector) recentQuiet(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recentQuietLocked(now)
}
