// ================================================================
// The request rate at this gateway and its share of that of all gateways. The load balancer
// spreads callers unevenly: with equal shares of the engines' slots a busy gateway would refuse
// callers while others leave slots idle.
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
	// demandTimeConstant is the averaging time of the demand: long enough for ten requests at the
	// users' smallest gateways.
	demandTimeConstant = time.Second
	// demandReportInterval is the time between reports of the demand to the control nodes.
	demandReportInterval = 300 * time.Millisecond
	// evenShare is the share of the engines' slots that is divided evenly, whatever the demand. A
	// gateway whose demand has just begun uses it until the other gateways know its demand.
	evenShare = 0.15
	// minRemoteShare is the least share of an engine's slots that gateways of other failure
	// domains may use.
	minRemoteShare = 0.1
)

// demand is an exponentially weighted average of the request rate. The zero value is no demand;
// it is safe for concurrent use.
type demand struct {
	mu        sync.Mutex
	perSecond float64
	updatedAt time.Time
}

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

// reportDemand sends the demand at this gateway to the control nodes until the context ends.
func (g *Gateway) reportDemand(ctx context.Context) error {
	return daemon.Every(ctx, demandReportInterval, func() { g.follower.ReportDemand(g.demand.rate(time.Now())) })
}

// slotShares are the shares of the engines' slots that this gateway may use.
type slotShares struct {
	domain string  // of this gateway
	local  float64 // for engines of its own failure domain
	remote float64 // for engines of other failure domains, before localUse is subtracted
	// localUse is the share of a failure domain's slots that the gateways of that domain use.
	localUse map[string]float64
}

// forDomain returns the share for the engines of a failure domain.
func (s slotShares) forDomain(domain string) float64 {
	if domain == s.domain {
		return s.local
	}
	return s.remote * max(1-s.localUse[domain], minRemoteShare)
}

// slotShares returns the shares for the current demand. capacity is the requests a second that
// the candidates finish, by failure domain.
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
