// ================================================================
// Messages between entries and agents: heartbeats, requests, chunks, and the
// reports and plans that spread a copy.
// ================================================================

package contract

import (
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// CopyPhase is the phase of one copy on one VM.
type CopyPhase uint8

// The phases of a copy, in order. A copy in PhaseVerified is complete but not loaded.
const (
	PhaseFetching CopyPhase = iota + 1
	PhaseVerified
	PhaseLoading
	PhaseReady
	PhaseFailed
)

// String returns the name that status pages show.
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
	// phase is the current phase of the copy.
	phase CopyPhase
	// chunks is how many chunks are verified.
	chunks uint32
	// total is how many chunks there are.
	total uint32
}

// Load is the load of an agent and its engine.
//
//wire:generate
type Load struct {
	// inFlight is how many admitted requests have not ended.
	inFlight uint32
	// queued is how many of them wait in the engine.
	queued uint32
	// cacheFree is the free fraction of the engine's KV cache, 0 to 1.
	cacheFree float64
	// tokensPerSecond is the engine's recent output rate.
	tokensPerSecond float64
	// limit is how many requests the agent admits at one time.
	limit uint32
}

// Heartbeat is the periodic message of an agent to each entry of its failure domain.
//
//wire:generate
type Heartbeat struct {
	// from is the agent.
	from vm.Identity
	// sequence increases by one with each heartbeat of an incarnation.
	sequence uint64
	// revision is the configuration revision in force on the VM.
	revision uint64
	// labels are the labels of the VM's own settings.
	labels vm.Labels
	// copies are the copies on the VM.
	copies []Copy
	// services are the plain services that the agent proxies.
	services []string
	// load is the current load.
	load Load
	// draining is true if the agent takes no new work.
	draining bool
	// originBytes is how many bytes the agent has fetched from origin and store.
	originBytes int64
	// peerBytes is how many bytes the agent has fetched from other agents.
	peerBytes int64
}

// EntryHeartbeat is the periodic message of an entry to the other entries.
//
//wire:generate
type EntryHeartbeat struct {
	// from is the entry.
	from vm.Identity
	// revision is the configuration revision in force there.
	revision uint64
	// draining is true if the entry takes no new work.
	draining bool
	// ready are the digests of the versions that the failure domain has ready replicas of.
	ready []Digest
	// services are the plain services that the failure domain can reach.
	services []string
	// load is the sum over the failure domain's agents.
	load Load
	// callersAddress is the address, host:port, on which the entry serves callers.
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
	// organisation is the caller's organisation.
	organisation string
	// model is the model's name; empty for a plain service.
	model string
	// digest is the manifest digest of the version that the request is pinned to.
	digest Digest
	// service is the plain service's name; empty for a model.
	service string
	// method and path are the HTTP method and path of the call to a plain service.
	method string
	path   string
	// contentType is the content type of the body.
	contentType string
	// body is the request body.
	body []byte
	// deadline is in nanoseconds since 1970.
	deadline int64
	// stream is true if the caller reads server-sent events.
	stream bool
	// repeatable is true if the request may run twice.
	repeatable bool
	// priority is passed to the engine; requests of higher priority run first.
	priority int
}

// DeadlineTime returns the deadline as a time.
func (r Request) DeadlineTime() time.Time { return time.Unix(0, r.deadline) }

// ResponsePart is one part of the response to a request. The first part has the status, the
// last part has end set, and parts are numbered so that a lost or duplicate one is detected.
//
//wire:generate
type ResponsePart struct {
	// attempt is the attempt of the request; the entry checks it on every part.
	attempt string
	// sequence is the number of the part, from 0.
	sequence uint64
	// status is the HTTP status, on the first part.
	status int
	// contentType is the content type of the body, on the first part.
	contentType string
	// body is this part of the body.
	body []byte
	// end marks the last part of a complete response.
	end bool
	// failure ends the response early; nil otherwise.
	failure *failure.Failure
	// digest is the manifest digest of the version that ran the request.
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
	// index is the chunk's index in the manifest.
	index uint32
}

// ChunkPart is one part of a chunk. Parts are sent in order.
//
//wire:generate
type ChunkPart struct {
	// data is the content of the part; a part without data ends the chunk.
	data []byte
}

// SpreadReport reports to the coordinator which chunks of a copy an agent holds.
//
//wire:generate
type SpreadReport struct {
	// from is the agent.
	from vm.Identity
	// digest is the manifest digest.
	digest Digest
	// held is a bitmap of the verified chunks, lowest bit first.
	held []byte
	// released are the chunks whose leases have ended, by success or failure.
	released []uint32
	// incomplete is true if the agent lacks chunks.
	incomplete bool
	// neighbours is the hash of the agent's current neighbours.
	neighbours uint64
}

// SpreadPlan is the coordinator's response to a report.
//
//wire:generate
type SpreadPlan struct {
	// peers are the agent's neighbours, agents of the same failure domain to fetch from;
	// empty if they are unchanged.
	peers []vm.Identity
	// unchanged is true if the agent keeps its current neighbours.
	unchanged bool
	// originChunks are the chunks that the agent has to fetch from the origin.
	originChunks []uint32
	// imports are the chunks that the agent has to fetch from another domain.
	imports []Import
}

// Import is a chunk to fetch from an agent of another failure domain.
//
//wire:generate
type Import struct {
	// index is the chunk's index in the manifest.
	index uint32
	// holder is the agent to fetch it from.
	holder vm.Identity
}

// DomainSources reports to the coordinators of other failure domains which agents of this
// domain hold which chunks.
//
//wire:generate
type DomainSources struct {
	// digest is the manifest digest.
	digest Digest
	// domain is the failure domain.
	domain string
	// incomplete is true if an agent of the domain lacks chunks.
	incomplete bool
	// agents are the agents of the domain, to which holders refers.
	agents []vm.Identity
	// holders has, for each chunk, the index of one holder in agents plus one; 0 if no
	// agent of the domain holds it.
	holders []uint16
}

// HeldChunks reports to a subscribed neighbour which chunks an agent holds.
//
//wire:generate
type HeldChunks struct {
	// digest is the manifest digest.
	digest Digest
	// held is a bitmap of all chunks held, on the first message; empty afterwards.
	held []byte
	// added are the chunks added since the previous message.
	added []uint32
}

// ForAttempt returns a copy of the request for one attempt, pinned to a digest.
func (r Request) ForAttempt(attempt string, digest Digest) Request {
	r.attempt, r.digest = attempt, digest
	return r
}
