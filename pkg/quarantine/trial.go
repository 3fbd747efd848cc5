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

// trialPauses is how long after the last end a trial may come, the first and the second:
// a roll of software is over after the one, and the second is for those who needed another.
var trialPauses = []time.Duration{30 * time.Second, 10 * time.Minute}

// Tester names a gateway, by its start.
func Tester(v vm.Identity) string { return fmt.Sprintf("%s/%x", v.ID(), v.Incarnation()) }

// Grant lets a gateway try a barred request, if there is a trial left and it is time.
func (t *Table) Grant(f Fingerprint, tester string) (r Record, granted bool) {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, now := s.entries[f], t.now()
	if e == nil || e.verdict() != Barred || !e.isTrialDue(now) {
		return Record{}, false
	}
	e.addTrial(e.trials+1, tester)
	e.heard = now
	return e.record(f, now), true
}

// isTrialDue tells whether another trial is left, and its time has come.
func (e *entry) isTrialDue(now time.Time) bool {
	if e.trials >= len(trialPauses) || len(e.ends) == 0 {
		return false
	}
	return now.Sub(e.ends[len(e.ends)-1].at) >= trialPauses[e.trials]
}

// Trial is how a barred request stands with a gateway.
type Trial int

// The trials.
const (
	// NoTrial is that none is left, or not yet due.
	NoTrial Trial = iota
	// MayAsk is that one may be asked for.
	MayAsk
	// Granted is that this gateway is to make it; TrialDone must follow.
	Granted
)

// BeginTrial asks whether a gateway is to try a barred request now.
func (t *Table) BeginTrial(f Fingerprint, tester string) Trial {
	s := t.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	switch {
	case e == nil:
		return NoTrial
	case e.tester == tester && e.used < e.trials:
		e.used = e.trials
		e.under++
		return Granted
	case e.under == 0 && e.isTrialDue(t.now()):
		return MayAsk
	}
	return NoTrial
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
	e.done()
	if !wasSent {
		e.used = e.trials - 1
	}
}
