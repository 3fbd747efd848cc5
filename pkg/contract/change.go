// ================================================================
// Configuration changes: the messages with which an operator submits one, its
// result, and the deltas that carry accepted changes to every process. Also the
// claims on requests that must not run twice.
// ================================================================

package contract

import "github.com/tidepost/tidepost/pkg/failure"

// Change is one configuration change.
//
//wire:generate
type Change struct {
	// id is chosen by the client; a resent change has the same id.
	id string
	// operator is the operator's name, for the timeline.
	operator string
	// base is the revision that the change is based on.
	base uint64
	// objects are the objects to write, or to delete if their body is empty.
	objects []Object
	// content is the digest of the client's request before version names in it are
	// resolved; it distinguishes a resent change from a different one with the same id.
	content Digest
}

// ModelVersion identifies a version of a model by its name.
//
//wire:generate
type ModelVersion struct {
	// model is the model's name.
	model string
	// version is the version's name at the origin.
	version string
}

// ApplyRequest asks an entry to resolve version names and to submit a change.
//
//wire:generate
type ApplyRequest struct {
	// change is the requested change.
	change Change
	// models are the versions that the entry resolves at the sources and adds to the change.
	models []ModelVersion
}

// Proposal carries a command to the leader of the control log.
//
//wire:generate
type Proposal struct {
	// kind is the kind of the command, in the numbers of the control log.
	kind uint8
	// body is the encoded command.
	body []byte
}

// ProposalResult is the response to a proposal.
//
//wire:generate
type ProposalResult struct {
	// body is the encoded result of the command.
	body []byte
	// leader is the link address of the leader, if the responding process knows it.
	leader string
	// refusal is set if the command was not accepted, or may not have been.
	refusal *failure.Failure
}

// ChangeResult is the response to a change. The same change id always gets the same result.
//
//wire:generate
type ChangeResult struct {
	// revision is the revision that the change created, or the current one if the change
	// was refused.
	revision uint64
	// refusal is the reason for a refusal; nil if the change was accepted.
	refusal *failure.Failure
}

// DeltaRequest subscribes to all configuration after a revision.
//
//wire:generate
type DeltaRequest struct {
	// revision is the highest revision that the subscriber has applied.
	revision uint64
}

// Delta carries configuration from one revision to a later one.
//
//wire:generate
type Delta struct {
	// from is the revision that the delta applies to; 0 for a full copy.
	from uint64
	// revision is the revision that results from the delta.
	revision uint64
	// objects are the changed objects.
	objects []Object
	// quorumConfirmed is true if the sender has recently seen a leader with a quorum.
	quorumConfirmed bool
}

// ----------------------------------------------------------------
// Claims

// Claim reserves the single execution of a request that must not run twice.
//
//wire:generate
type Claim struct {
	// organisation is the caller's organisation.
	organisation string
	// key is the caller's idempotency key.
	key string
	// attempt identifies the attempt that requests the claim.
	attempt string
	// body is the digest of the request, which detects a key that is reused for another
	// request.
	body Digest
	// deadline is the deadline of the request, in nanoseconds since 1970.
	deadline int64
}

// ClaimState is the state of a claimed request.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimGranted means that the requesting attempt holds the claim.
	ClaimGranted ClaimState = iota + 1
	// ClaimRunning means that another attempt holds it.
	ClaimRunning
	// ClaimDone means that the request ran; the outcome is stored.
	ClaimDone
	// ClaimNotRun means that the holder released the claim without running the request.
	ClaimNotRun
)

// ClaimResult is the response to a claim.
//
//wire:generate
type ClaimResult struct {
	// state is the state of the claim.
	state ClaimState
	// outcome is the stored outcome if the request ran.
	outcome Outcome
	// refusal is set if the claim cannot be granted.
	refusal *failure.Failure
}

// Outcome is the result of a request that ran, with a response of limited size.
//
//wire:generate
type Outcome struct {
	// status is the HTTP status of the service.
	status int
	// contentType is the content type of the response.
	contentType string
	// body is the body of the response; empty if it exceeds MaxStoredBody.
	body []byte
	// truncated is true if the body was too large to be stored.
	truncated bool
	// known is false if the response was lost and the request may have run.
	known bool
}

// MaxStoredBody is the largest stored response body of a claimed request, in bytes.
const MaxStoredBody = 16 << 10

// ClaimSettlement ends a claim with its outcome, or releases it if the request did not run.
//
//wire:generate
type ClaimSettlement struct {
	// organisation is the caller's organisation.
	organisation string
	// key is the caller's idempotency key.
	key string
	// attempt is the attempt that holds the claim.
	attempt string
	// ran is false if the request did not run, so that the key may be claimed again.
	ran bool
	// outcome is the outcome if the request ran.
	outcome Outcome
}

// Stored returns the outcome as it is stored: without its body if that exceeds
// MaxStoredBody.
func (o Outcome) Stored() Outcome {
	if len(o.body) > MaxStoredBody {
		o.body, o.truncated = nil, true
	}
	return o
}
