// ================================================================
// Which gateway is asked for a permit, and when this gateway grants one itself.
//
// If the owner of a limit doesn't answer, the next gateway in the ranking grants permits instead, but
// only after it has itself failed to reach the owner for takeoverDelay; until then it forwards the
// request. An owner whose VM refuses connections has exited. An owner that doesn't answer may be
// partitioned from here and still grant permits to others, so its backup grants only a part of the
// limit until the control nodes no longer list the owner.
// ================================================================

package gateway

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/serverlimit"
)

const (
	// ownerTimeout is how long an owner may take to answer: the links there and back take up to 12
	// ms, and a request waits for it.
	ownerTimeout = 40 * time.Millisecond
	// maxOwnersAsked bounds the owners that are asked for one permit, and maxUnresponsiveOwners
	// the skipped ones among them that may still be running.
	maxOwnersAsked        = 8
	maxUnresponsiveOwners = 3
	// takeoverRetryAfter is the delay after which a gateway may ask again while no backup may grant
	// permits yet.
	takeoverRetryAfter = 100 * time.Millisecond
)

// requestPermit asks the owner of a limit, which may be this gateway, for a permit; answered is
// false where no gateway answers that may grant one. Owners that have exited are skipped, except
// that the first of them that is due for a retry is asked.
func (g *Gateway) requestPermit(ctx context.Context, request serverlimit.PermitRequest) (answer serverlimit.PermitResponse, answered bool) {
	self, now := g.process.Identity.Address(), time.Now()
	ranking := g.limitOwners.ranking(request.Server(), now)
	if len(ranking) == 0 {
		return g.limitOwners.standalone.Decide(now, request.Shared(g.countGateways()), serverlimit.Owner), true
	}
	asked, unresponsive := 0, 0
	for i, owner := range ranking {
		if owner.Address == self {
			return g.decidePermit(request, ranking[:i]), true
		}
		k := g.limitOwners.lookup(owner.Address)
		if k.exited && (asked > 0 || !k.isAskable(now)) {
			continue
		}
		if k.isAskable(now) {
			asked++
			if answer, answered = g.askOwner(ctx, owner.Address, request); answered {
				return answer, true
			}
		}
		if !g.limitOwners.lookup(owner.Address).exited {
			unresponsive++
		}
		if asked == maxOwnersAsked || unresponsive == maxUnresponsiveOwners {
			break
		}
	}
	return answer, false
}

// decidePermit decides on a permit request in this gateway. The gateways that rank before it didn't
// answer the request.
func (g *Gateway) decidePermit(request serverlimit.PermitRequest, before []serverlimit.Gateway) serverlimit.PermitResponse {
	now := time.Now()
	role, grants := g.limitOwners.role(before, now)
	if !grants {
		return serverlimit.NewPermitResponse(serverlimit.Permit{}, false, request.PerSecond(), takeoverRetryAfter, "", false)
	}
	return g.limitOwners.limiter.Decide(now, request, role).WithOwner(g.process.Identity.Address())
}

// askOwner asks another gateway. After a refusal it asks once more: a broken link looks the same as
// an exited process, and a new connection distinguishes the two.
func (g *Gateway) askOwner(ctx context.Context, address string, request serverlimit.PermitRequest) (answer serverlimit.PermitResponse, answered bool) {
	at := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := g.limitOwners.ask(callCtx, address, request)
	if err != nil && callCtx.Err() == nil {
		answer, err = g.limitOwners.ask(callCtx, address, request)
	}
	switch {
	case err == nil:
		g.limitOwners.recordResult(address, at, ownerAnswered)
	case ctx.Err() != nil:
		// The caller canceled the request, so the state of the owner is not known.
	case callCtx.Err() != nil:
		g.limitOwners.recordResult(address, at, ownerTimedOut)
	default:
		g.limitOwners.recordResult(address, at, ownerExited)
	}
	return answer, err == nil
}

// answerPermit answers a permit request of another gateway. The gateways that rank before this one
// are asked first; since all gateways compute the same ranking, no request loops.
func (g *Gateway) answerPermit(ctx context.Context, request serverlimit.PermitRequest) serverlimit.PermitResponse {
	answer, answered := g.requestPermit(ctx, request)
	if !answered {
		return serverlimit.NewPermitResponse(serverlimit.Permit{}, false, request.PerSecond(), noOwnerHold, "", false)
	}
	return answer
}
