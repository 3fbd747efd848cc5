// ================================================================
// Detection of unreachable backend servers. A cut network link gives no error: requests to servers
// behind it hang, and after every backoff each such server would delay further requests. So the
// gateway dials a backend server in the background once it has been silent to a request for a
// while; a dial takes no slot there and runs nothing. While the dials fail, the server gets no
// requests, and those that wait there are canceled.
//
// When one server is unreachable, the gateway dials its whole failure domain, since network cuts
// affect domains.
//
// Requests to the health path would not serve as well: they wait for a slot as other requests do,
// they are charged, and their answers may be wrong either way.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// redialInterval is the time between two dials of an unreachable backend server; it is
	// longRedialInterval after longOutage.
	redialInterval     = 400 * time.Millisecond
	longRedialInterval = 5 * time.Second
	longOutage         = 15 * time.Second
	// silenceBeforeDial is how long a backend server may be silent to all requests from this
	// gateway before it is dialed.
	silenceBeforeDial = 450 * time.Millisecond
)

// startDials starts to dial a backend server that was silent to a request.
func (g *Gateway) startDials(b *backend) {
	if b.startDialing() {
		go g.dialUntilReached(b, true)
	}
}

// dialUntilReached dials a backend server until it answers or is gone. If first is set, an
// unreachable server has its whole failure domain dialed.
func (g *Gateway) dialUntilReached(b *backend, first bool) {
	defer b.stopDialing()
	startedAt := time.Now()
	for g.runContext.Err() == nil && !b.isGone() {
		dialed := time.Now()
		if b.pool.AnswersDial(g.runContext, dialTimeout) {
			b.setUnreachable(false)
			b.recordDial(dialed, time.Since(dialed))
			return
		}
		if b.setUnreachable(true) {
			g.logUnreachable(b)
			if first {
				g.startDomainDials(b.latestRegistration().Domain())
			}
		}
		pause := redialInterval
		if time.Since(startedAt) > longOutage {
			pause = longRedialInterval
		}
		select {
		case <-g.runContext.Done():
		case <-time.After(pause):
		}
	}
}

// startDomainDials starts to dial all backend servers of a failure domain.
func (g *Gateway) startDomainDials(domain string) {
	g.backends.each(func(b *backend, _ string) {
		if b.latestRegistration().Domain() == domain && !b.isGone() && b.startDialing() {
			go g.dialUntilReached(b, false)
		}
	})
}

// ----------------------------------------------------------------
// Reachability state of a backend

// startDialing returns true if no dials were in progress.
func (b *backend) startDialing() bool { return b.dialing.CompareAndSwap(false, true) }

func (b *backend) stopDialing() { b.dialing.Store(false) }

// setUnreachable records whether the backend server is unreachable and reports whether that
// changed. It cancels the requests that wait at an unreachable one.
func (b *backend) setUnreachable(unreachable bool) (changed bool) {
	b.mu.Lock()
	changed = b.unreachable != unreachable
	b.unreachable = unreachable
	var cancels []func()
	if unreachable && changed {
		cancels = b.waiting.cancelFuncs()
	}
	b.mu.Unlock()
	for _, f := range cancels {
		f()
	}
	return changed
}

func (b *backend) isGone() bool { return b.latestRegistration().State() == registry.Gone }

// cancelFuncs returns the functions that cancel the waiting requests.
func (w *waitingRequests) cancelFuncs() []func() {
	var cancels []func()
	for _, r := range w.pending {
		if r.cancel != nil {
			cancels = append(cancels, r.cancel)
		}
	}
	return cancels
}

func (g *Gateway) logUnreachable(b *backend) {
	r := b.latestRegistration()
	_ = level.Info(g.process.Logger).Log("msg", "backend server out of reach", "backend", r.Incarnation(),
		"address", r.Address(), "failure_domain", r.Domain())
}
