// ================================================================
// What a stream is for. Its first frame says which kind it is; the table of
// handlers at the other end picks by it.
// ================================================================

package link

import "github.com/tidepost/tidepost/pkg/vm"

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

// Kind says what a stream is for.
type Kind uint8

// The kinds of streams. Numbers are part of the protocol and never reused.
const (
	KindControlLog Kind = iota + 1
	KindChange
	KindClaim
	KindSettle
	KindQuery
	KindStatus
	KindVoterChange
	KindVoterIdentity
	KindSubscribe
	KindPublish
	KindRequest
	KindChunk
	KindSpread
	KindTimeline
	KindDrain
	KindApply
	KindPropose
	KindDomainSources
	KindFeed
	KindControlCall
	KindJoin
	KindStagerChunk
	KindStagerNotice
	KindReserve
	KindPermit
	KindPermitReport
	KindRetryLoan
)

// opening is the first frame of a stream.
//
//wire:generate
type opening struct {
	// kind is what the stream is for.
	kind Kind
	// topic is the topic of a publish or subscribe stream.
	topic string
}

// hello is the first message of a connection, in both directions.
//
//wire:generate
type hello struct {
	// protocol is the version of the protocol.
	protocol uint32
	// from is who speaks.
	from vm.Identity
	// nonce is what the other side has to prove its key over.
	nonce []byte
}

// proof is the second message of a connection, in both directions.
//
//wire:generate
type proof struct {
	// sum is the keyed hash over both nonces and the speaker's identity.
	sum []byte
}
