// ================================================================
// The gateways that may own limits: those that the control nodes list, and whether each answers
// this gateway. Without control nodes the last list stays in use.
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
	// ownerRetryInterval is when a gateway that didn't answer is asked again, and
	// exitedRetryInterval when one that has exited is asked again.
	ownerRetryInterval  = 250 * time.Millisecond
	exitedRetryInterval = time.Second
	// takeoverDelay is how long an owner must fail to answer before its backup grants permits: a
	// busy machine answers some requests late.
	takeoverDelay = 500 * time.Millisecond
	// unlistedTTL is how long a gateway that is no longer listed may own limits: another control
	// node may list it again. Where more than half of the gateways are missing from the list
	// partialListTTL applies instead: a control node that has just started or is partitioned lists
	// few.
	unlistedTTL    = 2 * time.Second
	partialListTTL = time.Minute
	// listRefreshInterval is the time between two reads of the list: each request to a limited
	// server needs the ranking of owners twice, and computing it costs more the more gateways
	// there are.
	listRefreshInterval = 200 * time.Millisecond
)

// owners holds what this gateway knows of the gateways that may own limits.
type owners struct {
	limiter *serverlimit.Limiter
	// standalone grants a share of each limit while no other gateway is known.
	standalone *serverlimit.Limiter
	// listed returns the gateways that the control nodes list, ask sends a permit request to one
	// of them, and report a permit report.
	listed func() map[string]feed.Peer
	ask    func(ctx context.Context, address string, a serverlimit.PermitRequest) (serverlimit.PermitResponse, error)
	report func(ctx context.Context, address string, r serverlimit.PermitReport) error

	mu          sync.Mutex
	known       map[string]knownGateway // by link address
	refreshedAt time.Time               // when the list was read last
	// rankings caches the ranking of gateways for each server since the list was read last.
	rankings map[serverlimit.Server][]serverlimit.Gateway
}

// knownGateway is a gateway and whether it answers.
type knownGateway struct {
	gateway      serverlimit.Gateway
	listedAt     time.Time // when it was last listed
	exited       bool      // its VM refuses connections
	failingSince time.Time // zero while it answers
	askedAt      time.Time // when a permit was last requested from it
}

// isReplaceable reports whether a backup may grant permits instead of the gateway.
func (k knownGateway) isReplaceable(now time.Time) bool {
	return k.exited || !k.failingSince.IsZero() && now.Sub(k.failingSince) >= takeoverDelay
}

// isAskable reports whether the gateway is to be asked: it answers, or a retry is due.
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

// sweep removes the limits that no gateway asks for any more.
func (o *owners) sweep() {
	o.limiter.Sweep(time.Now())
	o.standalone.Sweep(time.Now())
}

// ranking returns the gateways that may own the limit of a server, the owner first and then its
// backups in order. Callers must not modify it.
func (o *owners) ranking(server serverlimit.Server, now time.Time) []serverlimit.Gateway {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.refreshedAt) >= listRefreshInterval {
		o.refresh(now)
		o.refreshedAt = now
	}
	ranking, known := o.rankings[server]
	if !known {
		ranking = serverlimit.RankOwners(server, o.gateways())
		o.rankings[server] = ranking
	}
	return ranking
}

// refresh reads the list of gateways and removes those that have not been listed for too long. The
// caller holds the lock.
func (o *owners) refresh(now time.Time) {
	listed := o.listed()
	for address, peer := range listed {
		k := o.known[address]
		k.gateway, k.listedAt = serverlimit.Gateway{Address: address, Domain: peer.Domain()}, now
		o.known[address] = k
	}
	ttl := unlistedTTL
	if 2*len(listed) < len(o.known) {
		ttl = partialListTTL
	}
	maps.DeleteFunc(o.known, func(_ string, k knownGateway) bool { return now.Sub(k.listedAt) > ttl })
	o.rankings = map[serverlimit.Server][]serverlimit.Gateway{}
}

// gateways returns the known gateways. The caller holds the lock.
func (o *owners) gateways() []serverlimit.Gateway {
	all := make([]serverlimit.Gateway, 0, len(o.known))
	for _, k := range o.known {
		all = append(all, k.gateway)
	}
	return all
}

// lookup returns what is known of a gateway, by its link address.
func (o *owners) lookup(address string) knownGateway {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known[address]
}

// askResult is the result of a permit request to another gateway.
type askResult int

const (
	ownerAnswered askResult = iota
	ownerExited             // its VM refuses connections
	ownerTimedOut
)

// recordResult records the result of a permit request that was sent to a gateway at a given moment.
func (o *owners) recordResult(address string, at time.Time, result askResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	k, known := o.known[address]
	switch {
	case !known:
		return
	case result == ownerAnswered:
		k.failingSince = time.Time{}
	case k.failingSince.IsZero():
		k.failingSince = at
	}
	k.askedAt, k.exited = at, result == ownerExited
	o.known[address] = k
}

// role returns the role of this gateway where the given gateways rank before it; grants is false
// while one of them may still grant permits.
func (o *owners) role(before []serverlimit.Gateway, now time.Time) (role serverlimit.Role, grants bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range before {
		k := o.known[g.Address]
		if !k.isReplaceable(now) {
			return role, false
		}
		role = max(role, serverlimit.Backup)
		if !k.exited {
			role = serverlimit.PartialBackup
		}
	}
	return role, true
}
