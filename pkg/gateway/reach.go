// ================================================================
// Whether a backend server can be reached at all. A cut link says nothing: the
// requests behind it hang, and each backend server there had to be found out by
// requests of its own, again after each rest. So one that is silent to a request
// for a while is dialed in the background, which takes no place there and runs
// nothing. While that fails it gets no requests, and those that wait there are
// taken back at once.
//
// When one is lost, its whole failure domain is dialed: cuts take domains.
//
// Rejected: asking the health path. It waits for a place as a request does, it
// is priced, and its answer may be false either way.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// redialInterval lies between two dials of a backend server that is lost, and
	// dialSeldom where it has been lost for longer than lostForGood.
	redialInterval     = 400 * time.Millisecond
	longRedialInterval = 5 * time.Second
	longOutage         = 15 * time.Second
	// silenceBeforeDial is for how long a backend server may be silent to all
	// requests from here before it is dialed.
	silenceBeforeDial = 450 * time.Millisecond
)

// probeReachability has a backend server dialed that was silent to a request.
func (g *Gateway) probeReachability(b *backend) {
	if b.startDialing() {
		go g.dialUntilReached(b, true)
	}
}

// dialUntilReached dials a backend server until it answers or is gone. The
// first one lost has its failure domain dialed too.
func (g *Gateway) dialUntilReached(b *backend, first bool) {
	defer b.stopDialing()
	began := time.Now()
	for g.runContext.Err() == nil && !b.hasLeft() {
		dialed := time.Now()
		if b.pool.Reaches(g.runContext, dialTimeout) {
			b.setUnreachable(false)
			b.recordDial(dialed, time.Since(dialed))
			return
		}
		if b.setUnreachable(true) {
			g.logUnreachable(b)
			if first {
				g.probeDomain(b.latestRegistration().Domain())
			}
		}
		pause := redialInterval
		if time.Since(began) > longOutage {
			pause = longRedialInterval
		}
		select {
		case <-g.runContext.Done():
		case <-time.After(pause):
		}
	}
}

// probeDomain has all backend servers of a failure domain dialed.
func (g *Gateway) probeDomain(domain string) {
	g.backends.each(func(b *backend, _ string) {
		if b.latestRegistration().Domain() == domain && !b.hasLeft() && b.startDialing() {
			go g.dialUntilReached(b, false)
		}
	})
}

// ----------------------------------------------------------------
// The backend server's side

// startDialing tells whether nobody dials it yet.
func (b *backend) startDialing() bool { return b.dialing.CompareAndSwap(false, true) }

func (b *backend) stopDialing() { b.dialing.Store(false) }

// setUnreachable notes whether it can be reached, and tells whether that is new. The
// requests that wait for a lost one are taken back.
func (b *backend) setUnreachable(lost bool) (changed bool) {
	b.mu.Lock()
	changed = b.unreachable != lost
	b.unreachable = lost
	var back []func()
	if lost && changed {
		back = b.waiting.cancelFuncs()
	}
	b.mu.Unlock()
	for _, f := range back {
		f()
	}
	return changed
}

// hasLeft tells whether it has left.
func (b *backend) hasLeft() bool { return b.latestRegistration().State() == registry.Gone }

// cancelFuncs returns what takes back the requests that wait.
func (w *waitingRequests) cancelFuncs() []func() {
	var all []func()
	for _, one := range w.pending {
		if one.cancel != nil {
			all = append(all, one.cancel)
		}
	}
	return all
}

func (g *Gateway) logUnreachable(b *backend) {
	word := b.latestRegistration()
	_ = level.Info(g.process.Logger).Log("msg", "backend server out of reach", "backend", word.Incarnation(),
		"address", word.Address(), "failure_domain", word.Domain())
}
