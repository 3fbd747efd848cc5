// ================================================================
// Trials: a quarantined request may run again once the software or the weights of servers are
// fixed. One gateway sends it once, to a server of a build that never crashed while it ran the
// request, or on which it once ran to completion, and one completed run allows the request on such
// builds at all gateways.
//
// The leader of the control nodes chooses the gateway, since otherwise a hundred gateways might
// make the trial at the same moment. The record stores the choice. The number of trials is limited
// for the lifetime of a record: a request that crashes every build costs one server per trial.
// ================================================================

package quarantine

import (
	"fmt"
	"time"

	"github.com/tidepost/tidepost/pkg/vm"
)

// trialDelays are the times after the last crash at which the first and the second trial may begin:
// a software rollout is over by the first, and the second allows for a further fix.
var trialDelays = []time.Duration{30 * time.Second, 10 * time.Minute}

// TesterID identifies the process of a gateway that makes trials.
func TesterID(v vm.Identity) string { return fmt.Sprintf("%s/%x", v.ID(), v.Incarnation()) }

// GrantTrial allows a gateway to make a trial of a quarantined request, if one is left and due.
func (t *Table) GrantTrial(f Fingerprint, tester string) (r Record, granted bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := s.entries[f], t.now()
	if e == nil || !t.isQuarantined(f) || !e.isTrialDue(now) {
		return Record{}, false
	}
	e.addTrial(e.trials+1, tester)
	e.lastActivity = now
	return e.record(f, now), true
}

// isQuarantined reports whether requests with a fingerprint are quarantined, by it alone or with others.
func (t *Table) isQuarantined(f Fingerprint) bool {
	c := t.causes.of(f)
	return c != nil && c.verdict == Quarantined
}

// isTrialDue reports whether another trial is left, and its delay has passed.
func (e *entry) isTrialDue(now time.Time) bool {
	if e.trials >= len(trialDelays) || len(e.crashes) == 0 {
		return false
	}
	return now.Sub(e.crashes[len(e.crashes)-1].at) >= trialDelays[e.trials]
}

// TrialState states whether a gateway may make a trial of a quarantined request.
type TrialState int

// The states.
const (
	// NoTrialDue means that no trial is left, or the next one is not yet due.
	NoTrialDue TrialState = iota
	// TrialDue means that a trial may be requested.
	TrialDue
	// TrialGranted means that this gateway makes the trial; it must call TrialDone.
	TrialGranted
)

// BeginTrial returns whether a gateway may make a trial of a quarantined request now.
func (t *Table) BeginTrial(f Fingerprint, tester string) TrialState {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	switch {
	case e == nil:
		return NoTrialDue
	case e.tester == tester && e.trialsUsed < e.trials:
		e.trialsUsed = e.trials
		e.attemptsInFlight++
		return TrialGranted
	case e.attemptsInFlight == 0 && e.isTrialDue(t.now()):
		return TrialDue
	}
	return NoTrialDue
}

// TrialDone records that a trial has ended. One that was not sent to a server remains granted.
func (t *Table) TrialDone(f Fingerprint, wasSent bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	if e == nil {
		return
	}
	e.attemptDone()
	if !wasSent {
		e.trialsUsed = e.trials - 1
	}
}
