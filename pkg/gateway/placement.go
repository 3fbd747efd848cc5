// ================================================================
// Which backend servers may receive a request: those in the regions that its route and organisation
// allow, outside of evacuated failure domains (pkg/placement). The choice of a server skips the others,
// and each attempt checks once more before it connects, however its server was chosen.
// ================================================================

package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// constraintOf returns the constraint of a route and an organisation; the organisation may be nil.
func constraintOf(r *serviceconfig.Route, o *serviceconfig.Organisation) placement.Constraint {
	if o == nil {
		return placement.NewConstraint(r.AllowedRegions())
	}
	return placement.NewConstraint(r.AllowedRegions(), o.AllowedRegions())
}

// placementFailure returns the failure of a request whose service has servers, of which none may receive it.
// It returns nil if there is another reason.
func (g *Gateway) placementFailure(q *request) *failure.Failure {
	var last placement.Verdict
	for _, b := range g.backends.forService(q.service.Name()) {
		l := b.load(time.Now())
		if !l.serves() {
			continue
		}
		if last = g.placement.Decide(q.constraint, l.domain); last == placement.Allowed {
			return nil
		}
	}
	if last == "" {
		return nil
	}
	return failure.New(failure.NotAllowed, "no backend server of %s may receive the request; of the last one: %s", q.service.Name(), last).WithRetryAfter(q.retryAfterOutage())
}

// retryAfterOutage is the Retry-After of a request that no backend server can take at present.
func (q *request) retryAfterOutage() time.Duration {
	return time.Duration(retryAfterShare * float64(q.remaining()))
}

// mergeEvacuations takes the evacuated failure domains from a control node.
func (g *Gateway) mergeEvacuations(states []placement.DomainState, from string) {
	changed := g.placement.Evacuations.Merge(states)
	for _, s := range changed {
		_ = level.Info(g.process.Logger).Log("msg", "evacuation in force", "domain", s.Domain(), "evacuated", s.Evacuated(), "revision", s.Revision(), "from", from)
	}
	if len(changed) > 0 {
		g.metrics.evacuatedDomains.Set(float64(len(g.placement.Evacuations.Evacuated())))
	}
}
