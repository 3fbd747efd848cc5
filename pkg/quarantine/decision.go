// ================================================================
// The decision on a request by all that may crash servers: the request as a whole and the parts of its
// prompt.
// ================================================================

package quarantine

// Decision states whether a request may be sent to a backend server.
type Decision struct {
	verdict  Verdict
	cause    Fingerprint
	crashes  int
	avoid    []string
	suspects []Fingerprint
	causes   int
}

// Verdict is the verdict on the request.
func (d Decision) Verdict() Verdict { return d.verdict }

// Cause is what crashes servers; empty unless the request is quarantined or restricted.
func (d Decision) Cause() Fingerprint { return d.cause }

// Crashes is the number of independent crashes under what decides; 0 if the request is clear.
func (d Decision) Crashes() int { return d.crashes }

// Avoid are the builds to which the request must not be sent, not even for a trial.
func (d Decision) Avoid() []string { return d.avoid }

// MayBeTried reports whether a quarantined request may be a trial of its cause: it has no other one, and no
// suspect.
func (d Decision) MayBeTried() bool { return d.causes == 1 && len(d.suspects) == 0 }

// Decide returns the decision on a request with the given fingerprints.
func (t *Table) Decide(request ...Fingerprint) Decision {
	d := Decision{verdict: Clear}
	counted := map[*cause]bool{}
	for _, f := range request {
		c := t.causes.of(f)
		if c != nil && c.verdict != Suspect && c.describes(request) && !counted[c] {
			counted[c] = true
			d.causes++
		}
		switch {
		case c == nil:
		case c.verdict == Suspect || !c.describes(request):
			d.suspects = append(d.suspects, f)
			if d.verdict == Clear || d.verdict == Suspect {
				d.verdict, d.crashes = Suspect, max(d.crashes, c.crashes)
			}
		case d.verdict != Quarantined:
			d.verdict, d.cause, d.crashes = c.verdict, f, c.crashes
			if c.verdict == Restricted || !c.mayBeAnother(request) {
				d.avoid = append(d.avoid, c.avoid...)
			}
		}
	}
	return d
}

// Begin returns the decision on a request before an attempt. After Suspect the caller must call End when
// the attempt has ended.
func (t *Table) Begin(request ...Fingerprint) Decision {
	d := t.Decide(request...)
	if d.verdict != Suspect {
		return d
	}
	for i, f := range d.suspects {
		if !t.beginSuspect(f) {
			t.end(d.suspects[:i])
			d.verdict = Busy
			return d
		}
	}
	return d
}

// End records that an attempt of a suspect has ended.
func (t *Table) End(d Decision) {
	if d.verdict == Suspect {
		t.end(d.suspects)
	}
}

// beginSuspect counts an attempt in flight here, and returns false if there is one already.
func (t *Table) beginSuspect(f Fingerprint) bool {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	if e == nil {
		return true // it has expired since
	}
	if e.attemptsInFlight > 0 {
		return false
	}
	e.attemptsInFlight++
	return true
}

func (t *Table) end(suspects []Fingerprint) {
	for _, f := range suspects {
		s := t.shard(f)
		s.mu.Lock()
		if e := s.entries[f]; e != nil {
			e.attemptDone()
		}
		s.mu.Unlock()
	}
}

// attemptDone removes an attempt in flight. It may have begun with an earlier entry that has been
// evicted since, so the count stays at 0 or more.
func (e *entry) attemptDone() { e.attemptsInFlight = max(e.attemptsInFlight-1, 0) }

// BeginAttempt is Begin for a request without parts.
func (t *Table) BeginAttempt(f Fingerprint) (v Verdict, avoid []string) {
	d := t.Begin(f)
	return d.verdict, d.avoid
}

// AttemptDone records that an attempt that BeginAttempt counted has ended.
func (t *Table) AttemptDone(f Fingerprint) { t.end([]Fingerprint{f}) }
