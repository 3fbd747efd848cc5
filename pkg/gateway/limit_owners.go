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
	// ownerRetryInterval is when one that did not answer is asked again, and endedAgain one that has
	// ended.
	ownerRetryInterval  = 250 * time.Millisecond
	exitedRetryInterval = time.Second
	// takeoverDelay is how long an owner has to be silent before the next one grants in its
	// place: a busy machine answers some questions late.
	takeoverDelay = 500 * time.Millisecond
	// unlistedTTL is how long a gateway that is listed no more may own limits: it may come
	// back by another control node. Where more than half are missing it is longLife: a
	// control node that has just started or is cut off lists few.
	unlistedTTL    = 2 * time.Second
	partialListTTL = time.Minute
	// listRefreshInterval is the time between two looks at the list: each request to a limited server
	// asks for the order of owners twice, and working it out costs more the more gateways
	// there are.
	listRefreshInterval = 200 * time.Millisecond
)

// owners is what is known of the gateways that own limits.
type owners struct {
	limiter *serverlimit.Limiter
	// standalone grants a part of each limit while no other gateway is known.
	standalone *serverlimit.Limiter
	// listed returns the gateways that the control nodes list, and ask asks one for a permit.
	listed func() map[string]feed.Peer
	ask    func(ctx context.Context, address string, a serverlimit.PermitRequest) (serverlimit.PermitResponse, error)
	report func(ctx context.Context, address string, r serverlimit.PermitReport) error

	mu          sync.Mutex
	known       map[string]knownGateway // by link address
	refreshedAt time.Time               // at the list
	// rankings are those in which gateways own the limits of servers, as known at the last look.
	rankings map[serverlimit.Server][]serverlimit.Gateway
}

// knownGateway is a gateway and how it answers.
type knownGateway struct {
	gateway      serverlimit.Gateway
	listedAt     time.Time // when it was last
	exited       bool      // its VM says that nobody listens
	failingSince time.Time // zero while it answers
	askedAt      time.Time // without an answer
}

// isReplaceable tells whether a gateway may be stood in for.
func (k knownGateway) isReplaceable(now time.Time) bool {
	return k.exited || !k.failingSince.IsZero() && now.Sub(k.failingSince) >= takeoverDelay
}

// isAskable tells whether a gateway is to be asked: it answers, or it is time to see.
func (k knownGateway) isAskable(now time.Time) bool {
	if k.exited {
		return now.Sub(k.askedAt) >= exitedRetryInterval
	}
	return k.failingSince.IsZero() || now.Sub(k.askedAt) >= ownerRetryInterval
}

func (g *Gateway) newOwners() *owners {
	id := g.process.Identity.Incarnation()
	return &owners{
		limiter: serverlimit.NewLimiter(id), standalone: serverlimit.NewLimiter(id + 1),
		listed: g.follower.Peers, ask: g.sendPermitRequest, report: g.sendPermitReport, known: map[string]knownGateway{},
	}
}

// sweep forgets what nobody asks for.
func (o *owners) sweep() {
	o.limiter.Sweep(time.Now())
	o.standalone.Sweep(time.Now())
}

// ranking returns the gateways that may own the limit of a server, in the order in which they
// do. Nobody may change it.
func (o *owners) ranking(server serverlimit.Server, now time.Time) []serverlimit.Gateway {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.refreshedAt) >= listRefreshInterval {
		o.refresh(now)
		o.refreshedAt = now
	}
	order, known := o.rankings[server]
	if !known {
		order = serverlimit.RankOwners(server, o.gateways())
		o.rankings[server] = order
	}
	return order
}

// refresh takes the gateways that are listed now, and forgets those that have not been for
// long. The caller holds the lock.
func (o *owners) refresh(now time.Time) {
	listed := o.listed()
	for address, peer := range listed {
		k := o.known[address]
		k.gateway, k.listedAt = serverlimit.Gateway{Address: address, Domain: peer.Domain()}, now
		o.known[address] = k
	}
	life := unlistedTTL
	if 2*len(listed) < len(o.known) {
		life = partialListTTL
	}
	maps.DeleteFunc(o.known, func(_ string, k knownGateway) bool { return now.Sub(k.listedAt) > life })
	o.rankings = map[serverlimit.Server][]serverlimit.Gateway{}
}

// gateways returns those that are known. The caller holds the lock.
func (o *owners) gateways() []serverlimit.Gateway {
	all := make([]serverlimit.Gateway, 0, len(o.known))
	for _, k := range o.known {
		all = append(all, k.gateway)
	}
	return all
}

// lookup returns what is known of a gateway.
func (o *owners) lookup(address string) knownGateway {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known[address]
}

// askResult is how a question to a gateway ended.
type askResult int

const (
	ownerAnswered askResult = iota
	ownerExited             // nobody listens there
	ownerTimedOut
)

// recordResult notes how a question to a gateway ended.
func (o *owners) recordResult(address string, at time.Time, end askResult) {
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
	k.askedAt, k.exited = at, end == ownerExited
	o.known[address] = k
}

// role returns what this gateway is where some others own a limit before it; false where
// one of them may still grant.
func (o *owners) role(before []serverlimit.Gateway, now time.Time) (s serverlimit.Role, grants bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range before {
		k := o.known[g.Address]
		if !k.isReplaceable(now) {
			return s, false
		}
		s = max(s, serverlimit.Backup)
		if !k.exited {
			s = serverlimit.PartialBackup
		}
	}
	return s, true
}
