// ================================================================
// The gateways that own limits: those that control nodes list, and how each answers here.
// Without control nodes the last list goes on to hold.
// ================================================================

package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serverlimit"
)

const (
	// ownerAgain is when one that did not answer is asked again, and endedAgain one that has
	// ended.
	ownerAgain = 250 * time.Millisecond
	endedAgain = time.Second
	// takeOverAfter is how long an owner has to be silent before the next one grants in its
	// place: a busy machine answers some questions late.
	takeOverAfter = 500 * time.Millisecond
	// listedLife is how long a gateway that is listed no more may own limits: it may come
	// back by another control node. Where more than half are missing it is longLife: a
	// control node that has just started or is cut off lists few.
	listedLife = 2 * time.Second
	longLife   = time.Minute
	// listLook is the time between two looks at the list: each request to a limited server
	// asks for the order of owners twice, and working it out costs more the more gateways
	// there are.
	listLook = 200 * time.Millisecond
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

	mu     sync.Mutex
	known  map[string]knownGateway // by link address
	looked time.Time               // at the list
	// orders are those in which gateways own the limits of servers, as known at the last look.
	orders map[serverlimit.Server][]serverlimit.Gateway
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

// order returns the gateways that may own the limit of a server, in the order in which they
// do. Nobody may change it.
func (o *owners) order(server serverlimit.Server, now time.Time) []serverlimit.Gateway {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.looked) >= listLook {
		o.look(now)
		o.looked = now
	}
	order, known := o.orders[server]
	if !known {
		order = serverlimit.Owners(server, o.gateways())
		o.orders[server] = order
	}
	return order
}

// look takes the gateways that are listed now, and forgets those that have not been for
// long. The caller holds the lock.
func (o *owners) look(now time.Time) {
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
	maps.DeleteFunc(o.known, func(_ string, k knownGateway) bool { return now.Sub(k.listed) > life })
	o.orders = map[serverlimit.Server][]serverlimit.Gateway{}
}

// gateways returns those that are known. The caller holds the lock.
func (o *owners) gateways() []serverlimit.Gateway {
	all := make([]serverlimit.Gateway, 0, len(o.known))
	for _, k := range o.known {
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
