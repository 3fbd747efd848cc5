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
	// ownersAsked bounds the owners that are asked for one permit, and mostSilent those of
	// them that are passed over though they may live.
	ownersAsked = 8
	mostSilent  = 3
	// untilTakeOver is when whoever asks may ask again while nobody may grant yet.
	untilTakeOver = 100 * time.Millisecond
)

// askPermit asks for a permit whoever owns the limit, which may be this gateway; false where
// nobody answers who may grant one. Those that have ended are passed over, but for one that
// may be back.
func (g *Gateway) askPermit(ctx context.Context, a serverlimit.Ask) (answer serverlimit.Answer, answered bool) {
	self, now := g.process.Identity.Address(), time.Now()
	all := g.limitOwners.order(a.Server(), now)
	if len(all) == 0 {
		part := a.PerSecond() / float64(g.countGateways())
		return g.limitOwners.alone.Decide(now, serverlimit.NewAsk(a.Server(), part, a.News(), a.Ago()), serverlimit.Owner), true
	}
	asked, passed := 0, 0
	for i, owner := range all {
		if owner.Address == self {
			return g.grant(a, all[:i]), true
		}
		k := g.limitOwners.of(owner.Address)
		if k.ended && (asked > 0 || !k.isDue(now)) {
			continue
		}
		if k.isDue(now) {
			asked++
			if answer, answered = g.askOwner(ctx, owner.Address, a); answered {
				return answer, true
			}
		}
		if !g.limitOwners.of(owner.Address).ended {
			passed++
		}
		if asked == ownersAsked || passed == mostSilent {
			break
		}
	}
	return answer, false
}

// grant decides about a question here. Those that own the limit before this gateway did not
// answer it.
func (g *Gateway) grant(a serverlimit.Ask, before []serverlimit.Gateway) serverlimit.Answer {
	now := time.Now()
	standing, grants := g.limitOwners.standing(before, now)
	if !grants {
		return serverlimit.NewAnswer(serverlimit.Permit{}, false, a.PerSecond(), untilTakeOver, "")
	}
	return g.limitOwners.limiter.Decide(now, a, standing).By(g.process.Identity.Address())
}

// askOwner asks another gateway. One that refuses is asked once more: a link that breaks
// looks the same, and the next one finds whether somebody listens.
func (g *Gateway) askOwner(ctx context.Context, address string, a serverlimit.Ask) (answer serverlimit.Answer, answered bool) {
	at := time.Now()
	within, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := g.limitOwners.ask(within, address, a)
	if err != nil && within.Err() == nil {
		answer, err = g.limitOwners.ask(within, address, a)
	}
	switch {
	case err == nil:
		g.limitOwners.note(address, at, ownerAnswered)
	case ctx.Err() != nil:
		// Whoever asks has left, and nothing is known.
	case within.Err() != nil:
		g.limitOwners.note(address, at, ownerSilent)
	default:
		g.limitOwners.note(address, at, ownerEnded)
	}
	return answer, err == nil
}

// answerPermit answers a question of another gateway. Whoever owns the limit before this
// gateway is asked first; since all find the same order, no question goes round.
func (g *Gateway) answerPermit(ctx context.Context, a serverlimit.Ask) serverlimit.Answer {
	answer, answered := g.askPermit(ctx, a)
	if !answered {
		return serverlimit.NewAnswer(serverlimit.Permit{}, false, a.PerSecond(), ownerlessRest, "")
	}
	return answer
}
