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
	// demandTimeConstant is the time over which the demand is averaged: long enough
	// for ten requests at the users' smallest gateways.
	demandTimeConstant = time.Second
	// demandReportInterval is the time between two words of the demand.
	demandReportInterval = 300 * time.Millisecond
	// evenShare of the engines' places are shared evenly, whatever the demand:
	// it serves a gateway whose demand is new until the others know of it.
	evenShare = 0.15
	// minRemoteShare is the least part of an engine's places that gateways of other
	// failure domains may take.
	minRemoteShare = 0.1
)

// demand is the rate of requests, averaged with exponential weights. The zero
// value is no demand; it is safe for concurrent use.
type demand struct {
	mu        sync.Mutex
	perSecond float64
	updatedAt time.Time
}

// add counts a request.
func (d *demand) add(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.perSecond += 1 / demandTimeConstant.Seconds()
}

// rate returns the requests a second.
func (d *demand) rate(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	return d.perSecond
}

func (d *demand) decay(now time.Time) {
	d.perSecond *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandTimeConstant.Seconds())
	d.updatedAt = now
}

// reportDemand tells the control nodes the demand here until the context ends.
func (g *Gateway) reportDemand(ctx context.Context) error {
	return daemon.Every(ctx, demandReportInterval, func() { g.follower.ReportDemand(g.demand.rate(time.Now())) })
}

// slotShares are the parts of the engines' places that are for requests from here.
type slotShares struct {
	domain string  // of this gateway
	local  float64 // of those of the own failure domain
	remote float64 // of those of the others, before what their own gateways take
	// localUse is the part that the gateways of a failure domain take of its
	// engines' places.
	localUse map[string]float64
}

// forDomain returns the share at an engine of a failure domain.
func (s slotShares) forDomain(domain string) float64 {
	if domain == s.domain {
		return s.local
	}
	return s.remote * max(1-s.localUse[domain], minRemoteShare)
}

// slotShares returns the shares as demand is now, where the engines that may take a
// request finish so many a second, by failure domain.
func (g *Gateway) slotShares(now time.Time, capacity map[string]float64) slotShares {
	own := g.demand.rate(now)
	domain := g.process.Identity.Domain()
	even := 1 / float64(g.countGateways())
	s := slotShares{domain: domain, local: even, remote: even, localUse: map[string]float64{}}
	demands := g.demandByDomain()
	all := 0.0
	for d, perSecond := range demands {
		all += perSecond
		if capacity[d] > 0 {
			s.localUse[d] = min(perSecond/capacity[d], 1)
		}
	}
	if all <= 0 {
		return s
	}
	s.local = evenShare*even + (1-evenShare)*min(own/max(demands[domain], own), 1)
	s.remote = evenShare*even + (1-evenShare)*min(own/max(all, own), 1)
	return s
}
