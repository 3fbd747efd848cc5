// ================================================================
// Whom a gateway asks for permits, and what it grants to others. The gateways are those
// that control nodes list; without control nodes the last list goes on to hold.
//
// An owner that does not answer is stood in for by the next one, and only once that one has
// not reached it itself for takeOverAfter: else it passes the question on. One whose VM says
// that nobody listens has ended. One that is silent may be cut off from here and grant to
// others, so its stand-in grants a part, until the control nodes list the owner no more.
// ================================================================

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
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
	// ownerAgain is when one that did not answer is asked again, and endedAgain one that has
	// ended.
	ownerAgain = 250 * time.Millisecond
	endedAgain = time.Second
	// takeOverAfter is how long an owner has to be silent before the next one grants in its
	// place: a busy machine answers some questions late.
	takeOverAfter = 500 * time.Millisecond
	// untilTakeOver is when whoever asks meanwhile may ask again.
	untilTakeOver = 100 * time.Millisecond
	// listedLife is how long a gateway that is listed no more may own limits: it may come
	// back by another control node. Where more than half are missing it is longLife: a
	// control node that has just started or is cut off lists few.
	listedLife = 2 * time.Second
	longLife   = time.Minute
)

// owners is what is known of the gateways that own limits.
type owners struct {
	limiter *serverlimit.Limiter
	// alone grants a part of each limit while no other gateway is known.
	alone *serverlimit.Limiter
	// listed returns the gateways that the control nodes list, and ask asks one for a permit.
	listed func() map[string]feed.Peer
	ask    func(ctx context.Context, address string, a serverlimit.Ask) (serverlimit.Answer, error)
	tell   func(ctx context.Context, address string, r serverlimit.Report) error

	mu    sync.Mutex
	known map[string]knownGateway // by link address
}

// knownGateway is a gateway and how it answers.
type knownGateway struct {
	gateway      serverlimit.Gateway
	listed       time.Time // when it was last
	ended        bool      // its VM says that nobody listens
	failingSince time.Time // zero while it answers
	asked        time.Time // without an answer
}

// isLost tells whether a gateway may be stood in for.
func (k knownGateway) isLost(now time.Time) bool {
	return k.ended || !k.failingSince.IsZero() && now.Sub(k.failingSince) >= takeOverAfter
}

// isDue tells whether a gateway is to be asked: it answers, or it is time to see.
func (k knownGateway) isDue(now time.Time) bool {
	if k.ended {
		return now.Sub(k.asked) >= endedAgain
	}
	return k.failingSince.IsZero() || now.Sub(k.asked) >= ownerAgain
}

func (g *Gateway) newOwners() *owners {
	id := g.process.Identity.Incarnation()
	return &owners{
		limiter: serverlimit.NewLimiter(id), alone: serverlimit.NewLimiter(id + 1),
		listed: g.follower.Peers, ask: g.callOwner, tell: g.tellOwner, known: map[string]knownGateway{},
	}
}

// sweep forgets what nobody asks for.
func (o *owners) sweep() {
	o.limiter.Sweep(time.Now())
	o.alone.Sweep(time.Now())
}

// gateways returns the gateways that may own limits now.
func (o *owners) gateways(now time.Time) []serverlimit.Gateway {
	o.mu.Lock()
	defer o.mu.Unlock()
	listed := o.listed()
	for address, peer := range listed {
		k := o.known[address]
		k.gateway, k.listed = serverlimit.Gateway{Address: address, Domain: peer.Domain()}, now
		o.known[address] = k
	}
	life := listedLife
	if 2*len(listed) < len(o.known) {
		life = longLife
	}
	var all []serverlimit.Gateway
	for address, k := range o.known {
		if now.Sub(k.listed) > life {
			delete(o.known, address)
			continue
		}
		all = append(all, k.gateway)
	}
	return all
}

// of returns what is known of a gateway.
func (o *owners) of(address string) knownGateway {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known[address]
}

// askEnd is how a question to a gateway ended.
type askEnd int

const (
	ownerAnswered askEnd = iota
	ownerEnded           // nobody listens there
	ownerSilent
)

// note notes how a question to a gateway ended.
func (o *owners) note(address string, at time.Time, end askEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, there := o.known[address]
	switch {
	case !there:
		return
	case end == ownerAnswered:
		k.failingSince = time.Time{}
	case k.failingSince.IsZero():
		k.failingSince = at
	}
	k.asked, k.ended = at, end == ownerEnded
	o.known[address] = k
}

// standing returns what this gateway is where some others own a limit before it; false where
// one of them may still grant.
func (o *owners) standing(before []serverlimit.Gateway, now time.Time) (s serverlimit.Standing, grants bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range before {
		k := o.known[g.Address]
		if !k.isLost(now) {
			return s, false
		}
		s = max(s, serverlimit.StandIn)
		if !k.ended {
			s = serverlimit.CutStandIn
		}
	}
	return s, true
}

// askPermit asks for a permit whoever owns the limit, which may be this gateway; false where
// nobody answers who may grant one. Those that have ended are passed over, but for one that
// may be back.
func (g *Gateway) askPermit(ctx context.Context, a serverlimit.Ask) (answer serverlimit.Answer, answered bool) {
	self, now := g.process.Identity.Address(), time.Now()
	all := serverlimit.Owners(a.Server(), g.owners.gateways(now))
	if len(all) == 0 {
		part := a.PerSecond() / float64(g.gateways())
		return g.owners.alone.Decide(now, serverlimit.NewAsk(a.Server(), part, a.News()), serverlimit.Owner), true
	}
	asked, passed := 0, 0
	for i, owner := range all {
		if owner.Address == self {
			return g.grant(a, all[:i]), true
		}
		k := g.owners.of(owner.Address)
		if k.ended && (asked > 0 || !k.isDue(now)) {
			continue
		}
		if k.isDue(now) {
			asked++
			if answer, answered = g.askOwner(ctx, owner.Address, a); answered {
				return answer, true
			}
		}
		if !g.owners.of(owner.Address).ended {
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
	standing, grants := g.owners.standing(before, now)
	if !grants {
		return serverlimit.NewAnswer(serverlimit.Permit{}, false, a.PerSecond(), untilTakeOver, "")
	}
	return g.owners.limiter.Decide(now, a, standing).By(g.process.Identity.Address())
}

// askOwner asks another gateway. One that refuses is asked once more: a link that breaks
// looks the same, and the next one finds whether somebody listens.
func (g *Gateway) askOwner(ctx context.Context, address string, a serverlimit.Ask) (answer serverlimit.Answer, answered bool) {
	at := time.Now()
	within, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer, err := g.owners.ask(within, address, a)
	if err != nil && within.Err() == nil {
		answer, err = g.owners.ask(within, address, a)
	}
	switch {
	case err == nil:
		g.owners.note(address, at, ownerAnswered)
	case ctx.Err() != nil:
		// Whoever asks has left, and nothing is known.
	case within.Err() != nil:
		g.owners.note(address, at, ownerSilent)
	default:
		g.owners.note(address, at, ownerEnded)
	}
	return answer, err == nil
}

// servePermit answers another gateway.
func (g *Gateway) servePermit(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(ownerTimeout))
	var a serverlimit.Ask
	if err := stream.Receive(&a); err != nil {
		return err
	}
	return stream.Send(g.answerPermit(ctx, a))
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

// report tells the owner of a limit what became of a permit, beside what else happens. One
// that is lost costs a permit, or is told again with the next.
func (g *Gateway) report(p *permit, outcome serverlimit.Outcome, perSecond float64) {
	r := serverlimit.NewReport(p.server, p.granted, outcome, perSecond)
	if p.owner == g.process.Identity.Address() {
		g.owners.limiter.Hear(time.Now(), r)
		return
	}
	if p.owner == "" {
		g.owners.alone.Hear(time.Now(), r)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.running, reportTimeout)
		defer cancel()
		_ = g.owners.tell(ctx, p.owner, r)
	}()
}

// reportTimeout bounds the telling of a report.
const reportTimeout = time.Second

// serveReport takes what another gateway says became of a permit.
func (g *Gateway) serveReport(_ context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(reportTimeout))
	var r serverlimit.Report
	if err := stream.Receive(&r); err != nil {
		return err
	}
	g.owners.limiter.Hear(time.Now(), r)
	return stream.Send(r)
}

func (g *Gateway) callOwner(ctx context.Context, address string, a serverlimit.Ask) (serverlimit.Answer, error) {
	var answer serverlimit.Answer
	err := g.process.Endpoint.Call(ctx, address, link.KindPermit, a, &answer)
	return answer, err
}

func (g *Gateway) tellOwner(ctx context.Context, address string, r serverlimit.Report) error {
	var heard serverlimit.Report
	return g.process.Endpoint.Call(ctx, address, link.KindPermitReport, r, &heard)
}
