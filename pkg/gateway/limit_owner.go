// ================================================================
// Whom a gateway asks for permits, and when it grants them itself.
//
// An owner that does not answer is stood in for by the next one, and only once that one has
// not reached it itself for takeOverAfter: else it passes the question on. One whose VM says
// that nobody listens has ended. One that is silent may be cut off from here and grant to
// others, so its stand-in grants a part, until the control nodes list the owner no more.
// ================================================================

package gateway

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/serverlimit"
)

const (
	// ownerTimeout is how long an owner may take to answer: ways there and back take up to
	// 12 ms, and a request waits for it.
	ownerTimeout = 40 * time.Millisecond
	// maxOwnersAsked bounds the owners that are asked for one permit, and mostSilent those of
	// them that are passed over though they may live.
	maxOwnersAsked        = 8
	maxUnresponsiveOwners = 3
	// takeoverRetryAfter is when whoever asks may ask again while nobody may grant yet.
	takeoverRetryAfter = 100 * time.Millisecond
)

// requestPermit asks for a permit whoever owns the limit, which may be this gateway; false where
// nobody answers who may grant one. Those that have ended are passed over, but for one that
// may be back.
func (g *Gateway) requestPermit(ctx context.Context, a serverlimit.PermitRequest) (answer serverlimit.PermitResponse, answered bool) {
	self, now := g.process.Identity.Address(), time.Now()
	all := g.limitOwners.ranking(a.Server(), now)
	if len(all) == 0 {
		part := a.PerSecond() / float64(g.countGateways())
		return g.limitOwners.standalone.Decide(now, serverlimit.NewPermitRequest(a.Server(), part, a.Changed(), a.Age()), serverlimit.Owner), true
	}
	asked, passed := 0, 0
	for i, owner := range all {
		if owner.Address == self {
			return g.decidePermit(a, all[:i]), true
		}
		k := g.limitOwners.lookup(owner.Address)
		if k.exited && (asked > 0 || !k.isAskable(now)) {
			continue
		}
		if k.isAskable(now) {
			asked++
			if answer, answered = g.askOwner(ctx, owner.Address, a); answered {
				return answer, true
			}
		}
		if !g.limitOwners.lookup(owner.Address).exited {
			passed++
		}
		if asked == maxOwnersAsked || passed == maxUnresponsiveOwners {
			break
		}
	}
	return answer, false
}

// decidePermit decides about a question here. Those that own the limit before this gateway did not
// answer it.
func (g *Gateway) decidePermit(a serverlimit.PermitRequest, before []serverlimit.Gateway) serverlimit.PermitResponse {
	now := time.Now()
	standing, grants := g.limitOwners.role(before, now)
	if !grants {
		return serverlimit.NewPermitResponse(serverlimit.Permit{}, false, a.PerSecond(), takeoverRetryAfter, "")
	}
	return g.limitOwners.limiter.Decide(now, a, standing).WithOwner(g.process.Identity.Address())
}

// askOwner asks another gateway. One that refuses is asked once more: a link that breaks
// looks the same, and the next one finds whether somebody listens.
func (g *Gateway) askOwner(ctx context.Context, address string, a serverlimit.PermitRequest) (answer serverlimit.PermitResponse, answered bool) {
	at := time.Now()
	within, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := g.limitOwners.ask(within, address, a)
	if err != nil && within.Err() == nil {
		answer, err = g.limitOwners.ask(within, address, a)
	}
	switch {
	case err == nil:
		g.limitOwners.recordResult(address, at, ownerAnswered)
	case ctx.Err() != nil:
		// Whoever asks has left, and nothing is known.
	case within.Err() != nil:
		g.limitOwners.recordResult(address, at, ownerTimedOut)
	default:
		g.limitOwners.recordResult(address, at, ownerExited)
	}
	return answer, err == nil
}

// answerPermit answers a question of another gateway. Whoever owns the limit before this
// gateway is asked first; since all find the same order, no question goes round.
func (g *Gateway) answerPermit(ctx context.Context, a serverlimit.PermitRequest) serverlimit.PermitResponse {
	answer, answered := g.requestPermit(ctx, a)
	if !answered {
		return serverlimit.NewPermitResponse(serverlimit.Permit{}, false, a.PerSecond(), noOwnerHold, "")
	}
	return answer
}
