// ================================================================
// What an entry knows of a replica when it chooses: the last report, which
// lags, corrected by what the entry itself has sent and seen end since, and
// the speed that it has measured.
// ================================================================

// Package route chooses the replica for a request. All choices are functions
// over plain data, so that a daemon and a bench in virtual time share them.
package route

import (
	"math"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// rateTimeConstant smooths the measured output rate.
	rateTimeConstant = 10 * time.Second
	// failureHalfLife is how fast a failure is forgotten.
	failureHalfLife = 10 * time.Second
	// outlierFailures is the failure weight from which a replica is avoided.
	outlierFailures = 2.5
	// slowStart is how long a replica that was just made ready gets less.
	slowStart = 5 * time.Second
)

// Report is what a replica last said of its load.
type Report struct {
	// InFlight counts the requests that the replica has, from all entries.
	InFlight int
	// Limit is how many it takes at one time; 0 is not known.
	Limit int
	// CacheFree is the free part of its KV cache, 0 to 1.
	CacheFree float64
	// At is when the report came.
	At time.Time
}

// Replica is one replica as one entry sees it; safe for several goroutines.
type Replica struct {
	id vm.ID

	mu          sync.Mutex
	report      Report
	ownInFlight int
	ownAtReport int
	tokens      float64
	rate        float64
	rateSince   time.Time
	failures    float64
	failuresAt  time.Time
	readySince  time.Time
}

// NewReplica returns a replica that was made ready at a time.
func NewReplica(id vm.ID, ready time.Time) *Replica {
	return &Replica{id: id, readySince: ready, rateSince: ready, report: Report{CacheFree: 1}}
}

// ID returns the replica's VM.
func (r *Replica) ID() vm.ID { return r.id }

// UpdateReport takes a report in.
func (r *Replica) UpdateReport(p Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = p
	r.ownAtReport = r.ownInFlight
}

// RequestSent says that this entry has sent a request there.
func (r *Replica) RequestSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownInFlight++
}

// RequestEnded says that a request of this entry has ended there.
func (r *Replica) RequestEnded(tokens int, failed bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownInFlight--
	r.tokens += float64(tokens)
	r.updateRate(now)
	if failed {
		r.failures = r.decayedFailures(now) + 1
		r.failuresAt = now
	}
}

// updateRate turns the tokens since the last time into a smoothed rate. A time
// without tokens says nothing: the replica was idle, not slow.
func (r *Replica) updateRate(now time.Time) {
	elapsed := now.Sub(r.rateSince)
	if elapsed < time.Second || r.tokens == 0 {
		return
	}
	sample := r.tokens / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	if r.rate == 0 {
		weight = 1
	}
	r.rate += weight * (sample - r.rate)
	r.tokens, r.rateSince = 0, now
}

func (r *Replica) decayedFailures(now time.Time) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * math.Exp2(-now.Sub(r.failuresAt).Seconds()/failureHalfLife.Seconds())
}

// Load estimates the requests that the replica has now: the report, plus what
// this entry has sent since it came, less what it has seen end.
func (r *Replica) Load() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load()
}

func (r *Replica) load() float64 {
	return math.Max(float64(r.ownInFlight), float64(r.report.InFlight+r.ownInFlight-r.ownAtReport))
}

// Full tells whether the replica has all that it takes at one time.
func (r *Replica) Full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.Limit > 0 && r.load() >= float64(r.report.Limit)
}

// OwnInFlight returns the requests of this entry that are in flight there.
func (r *Replica) OwnInFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownInFlight
}

// Rate returns the measured output rate in tokens a second; 0 if unknown.
func (r *Replica) Rate() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate
}

// CacheFree returns the free part of the KV cache as last reported.
func (r *Replica) CacheFree() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.CacheFree
}

// Outlier tells whether the replica has failed so often of late that others
// are to be preferred.
func (r *Replica) Outlier(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decayedFailures(now) >= outlierFailures
}

// slowStartShare is the share of work that a replica just made ready is offered: it
// grows from a quarter to 1 within slowStart.
func (r *Replica) slowStartShare(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := now.Sub(r.readySince)
	if age >= slowStart {
		return 1
	}
	const least = 0.25
	return least + (1-least)*age.Seconds()/slowStart.Seconds()
}
