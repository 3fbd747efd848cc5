// ================================================================
// Stream kinds and the messages that open a connection or a stream. The first
// frame of a stream names its kind, which selects the handler on the accepting
// side.
// ================================================================

package link

import "github.com/tidepost/tidepost/pkg/vm"

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

// Kind is the purpose of a stream.
type Kind uint8

// The kinds of streams. Numbers are part of the protocol and never reused.
const (
	KindControlLog    Kind = iota + 1 // messages of the control log's consensus protocol
	KindChange                        // unused; keeps its number
	KindClaim                         // unused; keeps its number
	KindSettle                        // unused; keeps its number
	KindQuery                         // reads configuration objects
	KindStatus                        // reads an entry's view of the system
	KindVoterChange                   // changes the voters of the control log
	KindVoterIdentity                 // asks a voter for its identity
	KindSubscribe                     // subscribes to a topic of the peer
	KindPublish                       // publishes to a topic of the peer
	KindRequest                       // a caller's request, from an entry to an agent or entry
	KindChunk                         // reads a chunk of weights from an agent
	KindSpread                        // an agent's report to the spreading coordinator
	KindTimeline                      // reads the event timeline of a process
	KindDrain                         // drains a process
	KindApply                         // submits a configuration change to an entry
	KindPropose                       // sends a command to the leader of the control log
	KindDomainSources                 // exchanges chunk holders between failure domains
	KindFeed                          // follows the feed of a control node
	KindControlCall                   // forwards a call to the leading control node
	KindJoin                          // asks to join the control log
	KindStagerChunk                   // reads a chunk of weights from another stager
	KindStagerNotice                  // reports to other stagers which chunks a stager holds
	KindReserve                       // asks a stager to reserve capacity of its backend server
	KindPermit                        // asks the gateway that owns a server's limit for a permit
	KindPermitReport                  // reports the outcome of a permit to that gateway
	KindRetryLoan                     // asks another gateway for a retry from its budget
)

// opening is the first frame of a stream.
//
//wire:generate
type opening struct {
	// kind is the kind of the stream.
	kind Kind
	// topic is the topic of a publish or subscribe stream; empty for other kinds.
	topic string
}

// hello is the first message of a connection, in both directions.
//
//wire:generate
type hello struct {
	// protocol is the version of the protocol.
	protocol uint32
	// from is the identity of the sender.
	from vm.Identity
	// nonce is the challenge that the receiver's proof must cover.
	nonce []byte
}

// proof is the second message of a connection, in both directions.
//
//wire:generate
type proof struct {
	// sum is the keyed hash over both nonces and the sender's identity.
	sum []byte
}
