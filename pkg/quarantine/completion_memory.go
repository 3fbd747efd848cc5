// ================================================================
// Remembers the latest completed runs of requests or parts of prompts that arrive often. The memory is
// bounded by two generations: when the first is full, it replaces the second.
// ================================================================

package quarantine

import "time"

// completedRun is what ran to completion on a build.
type completedRun struct {
	fingerprint Fingerprint
	build       string
}

// completionMemory holds when runs were last completed. The zero value is empty.
type completionMemory struct {
	recent, older map[completedRun]time.Time
}

// remember records a completed run.
func (m *completionMemory) remember(f Fingerprint, build string, now time.Time) {
	if m.recent == nil || len(m.recent) >= maxCompletions {
		m.older, m.recent = m.recent, make(map[completedRun]time.Time)
	}
	m.recent[completedRun{f, build}] = now
}

// last returns when the latest run on a build was completed; false if none is remembered.
func (m *completionMemory) last(f Fingerprint, build string) (at time.Time, ok bool) {
	key := completedRun{f, build}
	if at, ok = m.recent[key]; !ok {
		at, ok = m.older[key]
	}
	return at, ok
}

// len returns the number of remembered runs, at most 2 x maxCompletions.
func (m *completionMemory) len() int { return len(m.recent) + len(m.older) }
