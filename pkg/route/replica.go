// ================================================================
// The state of a replica as an entry sees it: its last report, which lags, corrected by the requests
// that this entry has sent and seen end since, and the measured output rate.
// ================================================================

// Package route selects the replica for a request. Time and randomness are arguments, so
// that a benchmark in virtual time runs the same code as the daemon.
package route

import (
	"math"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// rateTimeConstant is the time constant of the exponential average of the output rate.
	rateTimeConstant = 10 * time.Second
	// failureHalfLife is the time in which the weight of a failure halves.
	failureHalfLife = 10 * time.Second
	// outlierFailures is the failure weight from which a replica counts as an outlier.
	outlierFailures = 2.5
	// slowStart is how long a replica that has just become ready gets a reduced share.
	slowStart = 5 * time.Second
)

// Report is the load that a replica reported.
type Report struct {
	// InFlight counts the requests at the replica, from all entries.
	InFlight int
	// Limit is its maximum number of concurrent requests; 0 if unknown.
	Limit int
	// CacheFree is the free fraction of its KV cache, 0 to 1.
	CacheFree float64
	// At is when the report was received.
	At time.Time
}

// Replica is one replica as one entry sees it. It is safe for concurrent use.
type Replica struct {
	id vm.ID

	mu          sync.Mutex
	report      Report
	ownInFlight int     // requests of this entry in flight
	ownAtReport int     // ownInFlight when report was received
	tokens      float64 // output tokens since rateSince
	rate        float64 // output tokens per second; 0 if unknown
	rateSince   time.Time
	failures    float64 // weight of the failures at failuresAt
	failuresAt  time.Time
	readySince  time.Time
}

// NewReplica returns a replica that became ready at a time.
func NewReplica(id vm.ID, ready time.Time) *Replica {
	return &Replica{id: id, readySince: ready, rateSince: ready, report: Report{CacheFree: 1}}
}

// ID returns the replica's VM.
func (r *Replica) ID() vm.ID { return r.id }

// UpdateReport replaces the last report.
func (r *Replica) UpdateReport(p Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report = p
	r.ownAtReport = r.ownInFlight
}

// RequestSent records that this entry has sent a request to the replica.
func (r *Replica) RequestSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownInFlight++
}

// RequestEnded records that a request of this entry has ended at the replica, with the
// number of output tokens.
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

// updateRate adds the tokens since the last update to the smoothed rate. An interval
// without tokens is skipped: the replica was idle, not slow.
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

// decayedFailures returns the weight of the recent failures.
func (r *Replica) decayedFailures(now time.Time) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * math.Exp2(-now.Sub(r.failuresAt).Seconds()/failureHalfLife.Seconds())
}

// Load estimates the requests at the replica: those of the last report, plus those that
// this entry has sent since, minus those that it has seen end since.
func (r *Replica) Load() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load()
}

func (r *Replica) load() float64 {
	return math.Max(float64(r.ownInFlight), float64(r.report.InFlight+r.ownInFlight-r.ownAtReport))
}

// Full reports whether the replica has reached its limit of concurrent requests.
func (r *Replica) Full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.Limit > 0 && r.load() >= float64(r.report.Limit)
}

// OwnInFlight returns the number of this entry's requests in flight at the replica.
func (r *Replica) OwnInFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownInFlight
}

// TokensPerSecond returns the measured output rate in tokens per second; 0 if unknown.
func (r *Replica) TokensPerSecond() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate
}

// CacheFree returns the free fraction of the KV cache as last reported.
func (r *Replica) CacheFree() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report.CacheFree
}

// Outlier reports whether the replica has failed so often recently that others are
// preferred.
func (r *Replica) Outlier(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decayedFailures(now) >= outlierFailures
}

// slowStartShare returns the fraction of the usual work that the replica gets. It grows
// from a quarter to 1 within slowStart after the replica becomes ready.
func (r *Replica) slowStartShare(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	age := now.Sub(r.readySince)
	if age >= slowStart {
		return 1
	}
	const initialShare = 0.25
	return initialShare + (1-initialShare)*age.Seconds()/slowStart.Seconds()
}
