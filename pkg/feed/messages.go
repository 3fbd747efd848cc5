// ================================================================
// The feed: what control nodes send to gateways, stagers and caches, and to each other.
//
// A follower keeps streams to two control nodes: its primary, in its own failure domain if there is
// one there, and a backup. Both send documents, versions and registrations, so that the loss or
// partition of one node hides no change; stagers and caches get registrations from the primary alone.
// Loads, demands and peers are many, and only the primary sends them. Control nodes follow all other
// nodes and forward only what followers report to them directly, so that a message crosses between
// two failure domains once and not once per follower.
//
// A follower does not keep streams to all control nodes: with 274 followers and 5 nodes, each load
// was sent to each gateway from wherever its engine was, and links between regions carried 264 MB
// in 22 s; each start of a follower was sent to all others again.
//
//	follower -> node   Hello, then FollowerMessages such as a document request or a load
//	node -> follower   Update at each change, and one per second without changes
//
// Documents are large and come from one node only: nodes send the number of the document that they
// hold, and the follower requests it from one of them.
// ================================================================

// Package feed carries the service configuration, the named versions of weights and the
// registrations from control nodes to gateways, stagers and caches.
package feed

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"time"

	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Role is the kind of process that a follower is.
type Role string

// The roles of followers.
const (
	RoleGateway Role = "gateway"
	RoleStager  Role = "stager"
	RoleCache   Role = "cache"
	// RoleNode is a control node: it follows all others.
	RoleNode Role = "node"
)

// Subscription selects what a node sends to a follower.
type Subscription uint8

// The subscriptions. A stream starts as a backup.
const (
	// Unchanged leaves the subscription as it is.
	Unchanged Subscription = iota
	// Backup subscribes to documents, versions and, for gateways, registrations.
	Backup
	// Primary subscribes to registrations, loads, demands and peers as well.
	Primary
)

// Hello is the first message of a follower on a stream.
//
//wire:generate
type Hello struct {
	// role is the kind of process that the follower is.
	role Role
	// self is the identity of the follower.
	self vm.Identity
	// service is the service of the engine beside a stager; empty for other roles.
	service string
	// engine is the address of the engine beside a stager; empty for other roles.
	engine string
	// namedVersions are the named versions that the follower knows. A restarted node takes their ages
	// from here, but never adds versions: those come only from the replicated log.
	namedVersions []NamedVersion
	// fallback is true if the follower only wants documents and versions, because the nodes that it
	// follows are silent. A FollowerMessage with a subscription ends that.
	fallback bool
}

// FollowerMessage is what a follower sends to a node after its Hello.
//
//wire:generate
type FollowerMessage struct {
	// requestDocument requests the document that the node holds.
	requestDocument bool
	// load is the load of the engine beside a stager; nil if the message reports none.
	load *Load
	// demand is the rate of requests for engines at a gateway, in requests per second; 0 if the
	// message reports none.
	demand float64
	// subscription changes what the node sends to the follower.
	subscription Subscription
	// records are new quarantine records. The first message with records has all that the follower
	// knows, so that a restarted node gets them.
	records []quarantine.Record
	// trialRequest is a quarantined request that a gateway asks to run once more; empty if none.
	trialRequest quarantine.Fingerprint
	// retryUsage is the last message of a gateway that shuts down gracefully; nil in all others.
	retryUsage *RetryUsage
}

// Load is the state of an engine, measured on its own VM.
//
//wire:generate
type Load struct {
	// service is the engine's service.
	service string
	// engine is the engine's address.
	engine string
	// model is the model that the engine serves; empty while it serves no complete one.
	model string
	// version is the version of the weights that the engine serves; 0 while it serves no complete one.
	version uint64
	// running is the number of requests that the engine is running.
	running int
	// queued is the number of requests that wait in the engine's queue.
	queued int
	// stepTimeRatio is the engine's current time per step divided by its usual one; 0 if not known.
	stepTimeRatio float64
	// busy is true while an order is in progress: the engine accepts no new requests.
	busy bool
	// transferring is true while chunks are being transferred over the VM's link: a request to the
	// stager would be queued behind them.
	transferring bool
}

// Urgent reports whether followers should receive l without delay after old.
func (l Load) Urgent(old Load) bool {
	return l.version != old.version || l.busy != old.busy || l.transferring != old.transferring
}

// NamedVersion is a version of a model's weights that was named as the one to serve, with its age.
//
//wire:generate
type NamedVersion struct {
	// model is the model's name.
	model string
	// version is the version of the weights.
	version uint64
	// age is a lower bound of the time since the version was named, as far as the sender knows.
	age time.Duration
}

// Peer is a follower as sent to others: stagers and caches to each other, gateways to each other.
//
//wire:generate
type Peer struct {
	// address is its link address.
	address string
	// domain is its failure domain.
	domain string
	// service is the service of its engine.
	service string
	// engine is the address of its engine.
	engine string
	// cache is true for a cache, which has no engine.
	cache bool
	// gateway is true for a gateway.
	gateway bool
}

// Node is a control node as sent to followers.
//
//wire:generate
type Node struct {
	// address is its link address.
	address string
	// domain is its failure domain; empty if the sender does not know it.
	domain string
}

// Update is what a node sends to a follower. Parts that have not changed since the last Update are
// empty.
//
//wire:generate
type Update struct {
	// documentNumber is the number of the newest document applied at the node; 0 if there is none.
	documentNumber uint64
	// document is the requested document; nil if none was requested.
	document *serviceconfig.Document
	// namedVersions are the named versions that a process may still be waiting for, by model and oldest
	// first: about 30 bytes each.
	namedVersions []NamedVersion
	// registrations are those that this node has not sent to the follower yet.
	registrations []registry.Registration
	// quorumConfirmed is true if the node was recently in contact with a leader that has a quorum.
	quorumConfirmed bool
	// nodes are all control nodes.
	nodes []Node
	// gateways is the number of gateways: of all nodes, or of this node only in an Update to
	// another node.
	gateways int
	// allPeers is true if peers is the complete list; otherwise it has only the added peers.
	allPeers bool
	// peers are the peers of the follower, or those added since the last Update.
	peers []Peer
	// removedPeers are the link addresses of the peers removed since the last Update.
	removedPeers []string
	// loads are the loads of engines that changed.
	loads []Load
	// demands are the rates of requests for engines at gateways, by failure domain: of all nodes,
	// or of this node only in an Update to another node.
	demands []Demand
	// records are the quarantine records that this node has not sent to the follower yet; for
	// gateways and nodes only.
	records []quarantine.Record
	// retryUsage is the retry usage of the gateway that last shut down gracefully at the follower's
	// address; nil if there is none, or another gateway has started there since.
	retryUsage *RetryUsage
	// evacuations are the states of all failure domains that were ever evacuated, for gateways only:
	// in the first Update and after each change.
	evacuations []placement.DomainState
}

// RetryUsage is how much of its retry budget a gateway had used when it shut down gracefully. The
// gateway sends nothing afterwards, so its successor at the same address knows exactly what still
// counts against the budget.
//
//wire:generate
type RetryUsage struct {
	// gateways is the number of gateways that shared the reserve of retries.
	gateways int
	// slot is the length of the time slot of each count.
	slot time.Duration
	// age is the time since the gateway shut down, as far as the sender knows.
	age time.Duration
	// services are the counts by service.
	services []ServiceRetryUsage
}

// ServiceRetryUsage holds a gateway's requests and retries for one service by time slot, the latest
// slot first.
//
//wire:generate
type ServiceRetryUsage struct {
	// service is the name of the service.
	service string
	// requests are the requests in each slot.
	requests []int
	// retries are the retries in each slot.
	retries []int
}

// Demand is the rate of requests for engines at the gateways of a failure domain.
//
//wire:generate
type Demand struct {
	// domain is the failure domain of the gateways.
	domain string
	// perSecond is the sum of their rates, in requests per second.
	perSecond float64
}
