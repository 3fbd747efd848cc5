// ================================================================
// The demand here, and the gateway's share in that of all gateways. Clients are
// spread unevenly by the balancer, so equal shares of the engines' places would
// refuse callers at a busy gateway while others leave places empty.
// ================================================================

package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/daemon"
)

const (
	// demandMemory is the time over which the demand is averaged: long enough
	// for ten requests at the users' smallest gateways.
	demandMemory = time.Second
	// tellDemandEvery is the time between two words of the demand.
	tellDemandEvery = 300 * time.Millisecond
	// evenPart of the engines' places are shared evenly, whatever the demand:
	// it serves a gateway whose demand is new until the others know of it.
	evenPart = 0.15
	// leastFar is the least part of an engine's places that gateways of other
	// failure domains may take.
	leastFar = 0.1
)

// demand is the rate of requests, averaged with exponential weights. The zero
// value is no demand; it is safe for concurrent use.
type demand struct {
	mu        sync.Mutex
	perSecond float64
	at        time.Time
}

// add counts a request.
func (d *demand) add(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fade(now)
	d.perSecond += 1 / demandMemory.Seconds()
}

// rate returns the requests a second.
func (d *demand) rate(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fade(now)
	return d.perSecond
}

func (d *demand) fade(now time.Time) {
	d.perSecond *= math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	d.at = now
}

// tellDemand tells the control nodes the demand here until the context ends.
func (g *Gateway) tellDemand(ctx context.Context) error {
	return daemon.Every(ctx, tellDemandEvery, func() { g.follower.ReportDemand(g.demand.rate(time.Now())) })
}

// shares are the parts of the engines' places that are for requests from here.
type shares struct {
	domain string  // of this gateway
	near   float64 // of those of the own failure domain
	far    float64 // of those of the others, before what their own gateways take
	// taken is the part that the gateways of a failure domain take of its
	// engines' places.
	taken map[string]float64
}

// at returns the share at an engine of a failure domain.
func (s shares) at(domain string) float64 {
	if domain == s.domain {
		return s.near
	}
	return s.far * max(1-s.taken[domain], leastFar)
}

// shares returns the shares as demand is now, where the engines that may take a
// request finish so many a second, by failure domain.
func (g *Gateway) shares(now time.Time, capacity map[string]float64) shares {
	own := g.demand.rate(now)
	domain := g.process.Identity.Domain()
	even := 1 / float64(g.countGateways())
	s := shares{domain: domain, near: even, far: even, taken: map[string]float64{}}
	demands := g.demandByDomain()
	all := 0.0
	for d, perSecond := range demands {
		all += perSecond
		if capacity[d] > 0 {
			s.taken[d] = min(perSecond/capacity[d], 1)
		}
	}
	if all <= 0 {
		return s
	}
	s.near = evenPart*even + (1-evenPart)*min(own/max(demands[domain], own), 1)
	s.far = evenPart*even + (1-evenPart)*min(own/max(all, own), 1)
	return s
}
