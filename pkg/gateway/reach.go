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
	// dialAgain lies between two dials of a backend server that is lost, and
	// dialSeldom where it has been lost for longer than lostForGood.
	dialAgain   = 400 * time.Millisecond
	dialSeldom  = 5 * time.Second
	lostForGood = 15 * time.Second
	// silentBeforeDial is for how long a backend server may be silent to all
	// requests from here before it is dialed.
	silentBeforeDial = 450 * time.Millisecond
)

// doubt has a backend server dialed that was silent to a request.
func (g *Gateway) doubt(b *backend) {
	if b.startDialing() {
		go g.dialUntilReached(b, true)
	}
}

// dialUntilReached dials a backend server until it answers or is gone. The
// first one lost has its failure domain dialed too.
func (g *Gateway) dialUntilReached(b *backend, first bool) {
	defer b.stopDialing()
	began := time.Now()
	for g.runContext.Err() == nil && !b.isOver() {
		dialed := time.Now()
		if b.pool.Reaches(g.runContext, dialTimeout) {
			b.setLost(false)
			b.recordDial(dialed, time.Since(dialed))
			return
		}
		if b.setLost(true) {
			g.logReach(b)
			if first {
				g.doubtDomain(b.word().Domain())
			}
		}
		pause := dialAgain
		if time.Since(began) > lostForGood {
			pause = dialSeldom
		}
		select {
		case <-g.runContext.Done():
		case <-time.After(pause):
		}
	}
}

// doubtDomain has all backend servers of a failure domain dialed.
func (g *Gateway) doubtDomain(domain string) {
	g.backends.each(func(b *backend, _ string) {
		if b.word().Domain() == domain && !b.isOver() && b.startDialing() {
			go g.dialUntilReached(b, false)
		}
	})
}

// ----------------------------------------------------------------
// The backend server's side

// startDialing tells whether nobody dials it yet.
func (b *backend) startDialing() bool { return b.dialing.CompareAndSwap(false, true) }

func (b *backend) stopDialing() { b.dialing.Store(false) }

// setLost notes whether it can be reached, and tells whether that is new. The
// requests that wait for a lost one are taken back.
func (b *backend) setLost(lost bool) (changed bool) {
	b.mu.Lock()
	changed = b.lost != lost
	b.lost = lost
	var back []func()
	if lost && changed {
		back = b.waits.takeBack()
	}
	b.mu.Unlock()
	for _, f := range back {
		f()
	}
	return changed
}

// isOver tells whether it has left.
func (b *backend) isOver() bool { return b.word().State() == registry.Gone }

// takeBack returns what takes back the requests that wait.
func (w *waits) takeBack() []func() {
	var all []func()
	for _, one := range w.all {
		if one.takeBack != nil {
			all = append(all, one.takeBack)
		}
	}
	return all
}

func (g *Gateway) logReach(b *backend) {
	word := b.word()
	_ = level.Info(g.process.Logger).Log("msg", "backend server out of reach", "backend", word.Incarnation(),
		"address", word.Address(), "failure_domain", word.Domain())
}
