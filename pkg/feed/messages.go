// ================================================================
// The feed: what control nodes tell gateways and stagers, and each other.
//
// A follower keeps streams to two control nodes: its primary, of its own failure
// domain where there is one, and a backup. Both tell of documents, weights and
// registrations, so that no single node's loss or cut hides a change; loads,
// demand and peers are many, and only the primary tells them. Control nodes
// follow all others and hand on what is told to them directly, so a word crosses
// between two failure domains once and not once for each follower.
//
// Rejected: streams to all control nodes. At 274 followers and 5 nodes a load
// went to each gateway from wherever its engine was, and links between regions
// carried 264 MB in 22 s; each start of a follower had all others told anew.
//
//	follower -> node   Hello, then Words: asking for a document, telling a load
//	node -> follower   Update at each change, and one each second without
//
// Documents are large and come from one node only: nodes say the number that
// they hold, and the follower asks one of them for it.
// ================================================================

// Package feed carries the service configuration, the named weights and the
// registrations from control nodes to gateways and stagers.
package feed

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"time"

	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Role says what a follower is.
type Role string

// The roles of followers.
const (
	RoleGateway Role = "gateway"
	RoleStager  Role = "stager"
	RoleCache   Role = "cache"
	// RoleNode is a control node: it follows all others.
	RoleNode Role = "node"
)

// Subscription says how much a follower wants to be told.
type Subscription uint8

// The subscriptions. A stream begins as a backup.
const (
	// Unchanged stands in a Word that says nothing of it.
	Unchanged Subscription = iota
	// Backup wants documents, weights and registrations.
	Backup
	// Primary wants loads, demand and peers too.
	Primary
)

// Hello opens a stream of the feed.
//
//wire:generate
type Hello struct {
	// role is what the follower is.
	role Role
	// self is who it is.
	self vm.Identity
	// service is the engine's service, of a stager.
	service string
	// engine is the engine's address, of a stager.
	engine string
	// versions are the named versions that the follower knows of. A node that has
	// started anew takes their ages from it; what is named the log alone decides.
	versions []NamedVersion
	// fallback says that the follower only wants to hear of new documents and weights: those
	// that it follows say nothing. A Word with a subscription ends that.
	fallback bool
}

// FollowerMessage is what a follower tells a node after its Hello.
//
//wire:generate
type FollowerMessage struct {
	// requestDocument asks for the document that the node holds.
	requestDocument bool
	// load is the load of the engine beside a stager; nil otherwise.
	load *Load
	// demand is how many requests for engines come to a gateway, a second; 0 in
	// a Word that tells something else.
	demand float64
	// subscription changes what the follower wants to be told.
	subscription Subscription
	// records are what the follower has learnt of requests under which servers ended, and
	// in its first Word all that it knows: a node that has started anew learns them so.
	records []quarantine.Record
	// trialRequest is a barred request that a gateway asks to try once more; else empty.
	trialRequest quarantine.Fingerprint
	// retryUsage is the last word of a gateway that ends in order; nil in all others.
	retryUsage *RetryUsage
}

// Load is the state of an engine, read on its own VM.
//
//wire:generate
type Load struct {
	// service is the engine's service.
	service string
	// engine is the engine's address.
	engine string
	// model and version are what it serves; 0 while it serves nothing whole.
	model   string
	version uint64
	// running and queued count its requests.
	running int
	queued  int
	// stepTimeRatio is its time for a step over the usual one; 0 when not known.
	stepTimeRatio float64
	// busy says that an order is under way: it takes nothing new.
	busy bool
	// transferring says that chunks are on their way over the VM's link: a question to
	// the stager would wait behind them.
	transferring bool
}

// Urgent tells whether followers should hear of l at once after old.
func (l Load) Urgent(old Load) bool {
	return l.version != old.version || l.busy != old.busy || l.transferring != old.transferring
}

// NamedVersion is a named version of a model.
//
//wire:generate
type NamedVersion struct {
	// model is the model's name.
	model string
	// version is a named version.
	version uint64
	// age is how long ago it was named at least, as far as the teller knows.
	age time.Duration
}

// Peer is a follower as told to others: stagers and caches to each other, gateways to each
// other.
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
	// cache says that it is a cache: it has no engine.
	cache bool
	// gateway says that it is a gateway.
	gateway bool
}

// Node is a control node, as told to followers.
//
//wire:generate
type Node struct {
	// address is its link address.
	address string
	// domain is its failure domain; empty where the teller does not know it.
	domain string
}

// Update is what a node tells. A part that did not change since the last
// Update is left empty.
//
//wire:generate
type Update struct {
	// number is the newest document applied at the node; 0 is none.
	number uint64
	// document is the one asked for; nil otherwise.
	document *serviceconfig.Document
	// versions are the named versions that somebody may still wait for, by model
	// and oldest first: some 30 bytes each.
	versions []NamedVersion
	// registrations are words that the follower has not heard from this node.
	registrations []registry.Registration
	// quorumConfirmed says that the node heard of a quorum's leader lately.
	quorumConfirmed bool
	// nodes are all control nodes.
	nodes []Node
	// gateways is how many gateways there are: in all, or those of the node
	// where another node is told.
	gateways int
	// allPeers says that peers are all that there are; else they have come since.
	allPeers bool
	// peers are the followers that this one is to know, and gone the link addresses of
	// those that have left.
	peers        []Peer
	removedPeers []string
	// loads are those of engines that changed.
	loads []Load
	// demands are the requests for engines that come to gateways, by failure
	// domain: in all, or those of the node where another node is told.
	demands []Demand
	// records are what the follower has not heard from this node of requests under which
	// servers ended: for gateways and nodes.
	records []quarantine.Record
	// retryUsage is what the gateway had spent that ended in order at the follower's address; nil
	// where none did of late, or another has taken its place since.
	retryUsage *RetryUsage
}

// RetryUsage is what a gateway had spent of its budget of repeats when it ended in order. It sends
// nothing afterwards, so the one that starts at its address knows exactly what counts yet.
//
//wire:generate
type RetryUsage struct {
	// gateways is how many gateways shared the reserve.
	gateways int
	// slot is the time that each count is of.
	slot time.Duration
	// age is how long ago it ended, as far as the teller knows.
	age time.Duration
	// services are the counts by service.
	services []ServiceRetryUsage
}

// ServiceRetryUsage is what one service got from a gateway, by slot of time and the last slot
// first.
//
//wire:generate
type ServiceRetryUsage struct {
	// service is its name.
	service string
	// requests and repeats are what it got in each slot.
	requests []int
	retries  []int
}

// Demand is how many requests for engines come to gateways, a second.
//
//wire:generate
type Demand struct {
	// domain is the failure domain of the gateways.
	domain string
	// perSecond is what comes to all of them.
	perSecond float64
}
