// ================================================================
// Trials: a request that was barred may run again where the servers' software or their
// weights have been mended. One gateway tries it once, on a server of a build under which
// no server has ended, and one whole run lets it run on such builds again everywhere.
//
// The leader of the control nodes says which gateway, so that a hundred do not try it at
// one moment, and the records remember it. Trials are few for good: a request that ends
// servers of each build costs one server for each trial.
// ================================================================

package quarantine

import (
	"fmt"
	"time"

	"github.com/tidepost/tidepost/pkg/vm"
)

// trialDelays is how long after the last end a trial may come, the first and the second:
// a roll of software is over after the one, and the second is for those who needed another.
var trialDelays = []time.Duration{30 * time.Second, 10 * time.Minute}

// TesterID names a gateway, by its start.
func TesterID(v vm.Identity) string { return fmt.Sprintf("%s/%x", v.ID(), v.Incarnation()) }

// GrantTrial lets a gateway try a barred request, if there is a trial left and it is time.
func (t *Table) GrantTrial(f Fingerprint, tester string) (r Record, granted bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := s.entries[f], t.now()
	if e == nil || e.verdict() != Quarantined || !e.isTrialDue(now) {
		return Record{}, false
	}
	e.addTrial(e.trials+1, tester)
	e.lastActivity = now
	return e.record(f, now), true
}

// isTrialDue tells whether another trial is left, and its time has come.
func (e *entry) isTrialDue(now time.Time) bool {
	if e.trials >= len(trialDelays) || len(e.crashes) == 0 {
		return false
	}
	return now.Sub(e.crashes[len(e.crashes)-1].at) >= trialDelays[e.trials]
}

// TrialState is how a barred request stands with a gateway.
type TrialState int

// The trials.
const (
	// NoTrialDue is that none is left, or not yet due.
	NoTrialDue TrialState = iota
	// TrialDue is that one may be asked for.
	TrialDue
	// TrialGranted is that this gateway is to make it; TrialDone must follow.
	TrialGranted
)

// BeginTrial asks whether a gateway is to try a barred request now.
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
		e.triesInFlight++
		return TrialGranted
	case e.triesInFlight == 0 && e.isTrialDue(t.now()):
		return TrialDue
	}
	return NoTrialDue
}

// TrialDone notes that a trial is over. One that was not sent to a server is still to come.
func (t *Table) TrialDone(f Fingerprint, wasSent bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	if e == nil {
		return
	}
	e.tryDone()
	if !wasSent {
		e.trialsUsed = e.trials - 1
	}
}
