// ================================================================
// What entries and agents tell each other: heartbeats, requests, chunks and
// draw leases.
// ================================================================

package contract

import (
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// CopyPhase is how far one copy on one VM has come.
type CopyPhase uint8

// The phases, in order.
const (
	PhaseFetching CopyPhase = iota + 1
	PhaseVerified
	PhaseLoading
	PhaseReady
	PhaseFailed
)

// String returns the word that status pages show.
func (p CopyPhase) String() string {
	names := [...]string{"none", "fetching", "verified", "loading", "ready", "failed"}
	if int(p) < len(names) {
		return names[p]
	}
	return names[0]
}

// Copy is the state of one copy on one VM.
//
//wire:generate
type Copy struct {
	// model is the model's name.
	model string
	// digest is the manifest digest.
	digest Digest
	// phase is how far the copy has come.
	phase CopyPhase
	// chunks is how many chunks are verified.
	chunks uint32
	// total is how many chunks there are.
	total uint32
}

// Load is what an agent and its engine report of their work.
//
//wire:generate
type Load struct {
	// inFlight counts the requests that the agent has admitted and not ended.
	inFlight uint32
	// queued counts those that wait in the engine.
	queued uint32
	// cacheFree is the free part of the engine's KV cache, 0 to 1.
	cacheFree float64
	// tokensPerSecond is the engine's recent output rate.
	tokensPerSecond float64
	// limit is how many requests the agent takes at one time.
	limit uint32
}

// Heartbeat is what an agent tells each entry of its failure domain.
//
//wire:generate
type Heartbeat struct {
	// from is the agent.
	from vm.Identity
	// sequence grows by one with each heartbeat of an incarnation.
	sequence uint64
	// revision is the configuration revision in force on the VM.
	revision uint64
	// labels are the labels of the VM's own settings.
	labels vm.Labels
	// copies are the copies on the VM.
	copies []Copy
	// services are the plain services that the agent fronts.
	services []string
	// load is the work in hand.
	load Load
	// draining says that the agent takes no new work.
	draining bool
	// originBytes counts what the agent has drawn from origin and store.
	originBytes int64
	// peerBytes counts what the agent has drawn from other agents.
	peerBytes int64
}

// EntryHeartbeat is what an entry tells the other entries.
//
//wire:generate
type EntryHeartbeat struct {
	// from is the entry.
	from vm.Identity
	// revision is the configuration revision in force there.
	revision uint64
	// draining says that the entry is leaving.
	draining bool
	// ready are the digests that the failure domain has ready replicas of.
	ready []Digest
	// services are the plain services that the failure domain can reach.
	services []string
	// load is the sum over the failure domain's agents.
	load Load
	// callersAddress is where the entry takes callers, host:port.
	callersAddress string
}

// ----------------------------------------------------------------
// Requests

// Request is one attempt of a caller's request, from entry to agent.
//
//wire:generate
type Request struct {
	// attempt identifies this attempt; an agent runs it once at most.
	attempt string
	// organisation is the caller's.
	organisation string
	// model is the model's name; empty for a plain service.
	model string
	// digest is the version that the request is pinned to.
	digest Digest
	// service is the plain service's name; empty for a model.
	service string
	// method and path are those of the call to a plain service.
	method string
	path   string
	// contentType is the body's.
	contentType string
	// body is the request body.
	body []byte
	// deadline is in nanoseconds since 1970.
	deadline int64
	// stream says that the caller reads server-sent events.
	stream bool
	// repeatable says that the request may run twice.
	repeatable bool
	// priority is handed on to the engine; higher runs first.
	priority int
}

// DeadlineTime returns the deadline as a time.
func (r Request) DeadlineTime() time.Time { return time.Unix(0, r.deadline) }

// ResponsePart is one part of an answer. The first part has the status, the last
// part has end set, and parts are numbered so that none is lost or doubled.
//
//wire:generate
type ResponsePart struct {
	// attempt is the request's, checked at the entry on every part.
	attempt string
	// sequence numbers the parts from 0.
	sequence uint64
	// status is the HTTP status, on the first part.
	status int
	// contentType is the body's, on the first part.
	contentType string
	// body is this part of the body.
	body []byte
	// end marks the last part of a whole answer.
	end bool
	// failure ends the answer early.
	failure *failure.Failure
	// digest is the version that answered.
	digest Digest
}

// ----------------------------------------------------------------
// Chunks

// ChunkRequest asks another agent for a chunk.
//
//wire:generate
type ChunkRequest struct {
	// digest is the manifest digest.
	digest Digest
	// index is the chunk's place in the manifest.
	index uint32
}

// ChunkPart is a piece of a chunk, in order.
//
//wire:generate
type ChunkPart struct {
	// data is the piece; a part without data ends the chunk.
	data []byte
}

// SpreadReport tells the coordinator what an agent holds of a copy.
//
//wire:generate
type SpreadReport struct {
	// from is the agent.
	from vm.Identity
	// digest is the manifest digest.
	digest Digest
	// held has a bit for each verified chunk, lowest first.
	held []byte
	// released are the chunks of draw leases that are finished or given back.
	released []uint32
	// incomplete says that the agent still lacks chunks.
	incomplete bool
	// neighbours is the hash of the neighbours that the agent has.
	neighbours uint64
}

// SpreadPlan is the coordinator's answer to a report.
//
//wire:generate
type SpreadPlan struct {
	// peers are agents of the same failure domain to fetch from; empty when
	// they are those that the agent has.
	peers []vm.Identity
	// unchanged says that the agent keeps the neighbours that it has.
	unchanged bool
	// originChunks are the chunks that the agent is to draw from the origin.
	originChunks []uint32
	// imports are the chunks that the agent is to fetch from another domain.
	imports []Import
}

// Import is a chunk to fetch from an agent of another failure domain.
//
//wire:generate
type Import struct {
	// index is the chunk's place in the manifest.
	index uint32
	// holder is the agent that holds it.
	holder vm.Identity
}

// DomainSources tells the coordinators of other failure domains who holds
// which chunk in this one.
//
//wire:generate
type DomainSources struct {
	// digest is the manifest digest.
	digest Digest
	// domain is the failure domain.
	domain string
	// incomplete says that an agent of the domain still lacks chunks.
	incomplete bool
	// agents are those named by holders.
	agents []vm.Identity
	// holders has, for each chunk, the place of one holder in agents plus
	// one; 0 when nobody in the domain holds it.
	holders []uint16
}

// HeldChunks tells a neighbour which chunks an agent holds.
//
//wire:generate
type HeldChunks struct {
	// digest is the manifest digest.
	digest Digest
	// held is the whole set, on the first message; empty afterwards.
	held []byte
	// added are the chunks since the message before.
	added []uint32
}

// ForAttempt returns the request as one attempt, pinned to a digest.
func (r Request) ForAttempt(attempt string, digest Digest) Request {
	r.attempt, r.digest = attempt, digest
	return r
}
