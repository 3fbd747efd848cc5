// ================================================================
// Changes of configuration: how an operator asks for one, what comes back,
// and how accepted ones travel to every process.
// ================================================================

package contract

import "github.com/tidepost/tidepost/pkg/failure"

// Change is one change of configuration, made once by its client.
//
//wire:generate
type Change struct {
	// id is made once by the client; a resent change has the same id.
	id string
	// operator is who asked, for the time line.
	operator string
	// base is the revision that the change was made against.
	base uint64
	// objects are written, or deleted where their body is empty.
	objects []Object
	// content is the digest of what the client asked for, before any version
	// name in it was resolved; it tells a resent change from another one.
	content Digest
}

// ModelName is a model's version as operators name it.
//
//wire:generate
type ModelName struct {
	// model is the model's name.
	model string
	// version is the version's name at the origin.
	version string
}

// Apply asks an entry to resolve version names and to submit a change.
//
//wire:generate
type Apply struct {
	// change is what the client asks for.
	change Change
	// models are resolved at the sources and added to the change.
	models []ModelName
}

// Proposal carries a command to the leader of the control log.
//
//wire:generate
type Proposal struct {
	// kind says what body is, in the numbers of the control log's commands.
	kind uint8
	// body is the encoded command.
	body []byte
}

// ProposalResult is the leader's answer.
//
//wire:generate
type ProposalResult struct {
	// body is the encoded result of the command.
	body []byte
	// leader is the link address of the leader, when the one asked knows it.
	leader string
	// refusal is set when the command was not accepted, or may not have been.
	refusal *failure.Failure
}

// ChangeResult answers a change. The same id always gets the same result.
//
//wire:generate
type ChangeResult struct {
	// revision is the revision that the change made, or the current one if
	// it was refused.
	revision uint64
	// refusal says why the change was refused; nil when it was accepted.
	refusal *failure.Failure
}

// DeltaRequest asks for all configuration after a revision.
//
//wire:generate
type DeltaRequest struct {
	// revision is the highest one that the asking process has applied.
	revision uint64
}

// Delta carries configuration from one revision to a later one.
//
//wire:generate
type Delta struct {
	// from is the revision that the delta applies to; 0 is a full copy.
	from uint64
	// revision is the revision after it.
	revision uint64
	// objects are the changed objects.
	objects []Object
	// confirmed says that the sender has heard from a quorum's leader lately.
	confirmed bool
}

// ----------------------------------------------------------------
// Claims

// Claim reserves the one run of a request that may not be repeated.
//
//wire:generate
type Claim struct {
	// organisation is the caller's.
	organisation string
	// key is the caller's idempotency key.
	key string
	// attempt identifies the attempt that asks for the claim.
	attempt string
	// body is the digest of the request, so that a key is not used for two.
	body Digest
	// deadline is the request's, in nanoseconds since 1970.
	deadline int64
}

// ClaimState is how far a claimed request has come.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimGranted means that the asking attempt holds the claim.
	ClaimGranted ClaimState = iota + 1
	// ClaimRunning means that another attempt holds it.
	ClaimRunning
	// ClaimDone means that the request ran; the outcome is stored.
	ClaimDone
	// ClaimNotRun means that the holder gave the claim back unrun.
	ClaimNotRun
)

// ClaimResult answers a claim.
//
//wire:generate
type ClaimResult struct {
	// state is what the claim is in.
	state ClaimState
	// outcome is the stored answer when the request ran.
	outcome Outcome
	// refusal is set when the claim cannot be taken.
	refusal *failure.Failure
}

// Outcome is the bounded answer of a request that ran.
//
//wire:generate
type Outcome struct {
	// status is the HTTP status of the service.
	status int
	// contentType is the answer's content type.
	contentType string
	// body is the answer, cut at MaxStoredAnswer.
	body []byte
	// truncated says that the answer was longer than what is stored.
	truncated bool
	// known is false when the answer was lost and the request may have run.
	known bool
}

// MaxStoredBody bounds the stored answer of a claimed request, in bytes.
const MaxStoredBody = 16 << 10

// Settle ends a claim with its outcome, or gives it back unrun.
//
//wire:generate
type Settle struct {
	// organisation is the caller's.
	organisation string
	// key is the caller's idempotency key.
	key string
	// attempt is the attempt that holds the claim.
	attempt string
	// ran is false when nothing ran and the key may be claimed again.
	ran bool
	// outcome is the answer when it ran.
	outcome Outcome
}

// Stored returns the outcome as it is stored: without the body when that is
// over MaxStoredAnswer.
func (o Outcome) Stored() Outcome {
	if len(o.body) > MaxStoredBody {
		o.body, o.truncated = nil, true
	}
	return o
}
