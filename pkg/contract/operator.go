// ================================================================
// Requests of the command line to entries and agents, and their responses.
// ================================================================

package contract

import (
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Query asks for configuration objects.
//
//wire:generate
type Query struct {
	// kind is the kind of the objects; empty for all kinds.
	kind ObjectKind
	// name is the name of the object; empty for all names.
	name string
	// confirmed requests a read that a quorum has confirmed.
	confirmed bool
}

// QueryResult is the response to a Query.
//
//wire:generate
type QueryResult struct {
	// revision is the revision that the objects were read at.
	revision uint64
	// confirmed is true if a quorum confirmed the revision.
	confirmed bool
	// objects are the requested objects.
	objects []Object
}

// Status is an entry's view of the system.
//
//wire:generate
type Status struct {
	// entry is the entry that responds.
	entry vm.Identity
	// revision is the configuration revision in force there.
	revision uint64
	// leader is the id of the leading voter; empty if unknown.
	leader string
	// term is the term of the control log.
	term uint64
	// members are the voters and learners of the control log.
	members []MemberStatus
	// agents are the agents of the entry's failure domain.
	agents []AgentStatus
	// entries are the other entries.
	entries []EntryHeartbeat
}

// MemberStatus is one member of the control log: a voter or a learner.
//
//wire:generate
type MemberStatus struct {
	// id is the member's VM.
	id string
	// incarnation is the incarnation of its data folder.
	incarnation uint64
	// address is its link address.
	address string
	// learner is true if it does not vote yet.
	learner bool
	// match is the index of the last log entry known to be synced there; only the leader
	// knows it.
	match uint64
}

// AgentStatus is one agent as an entry sees it.
//
//wire:generate
type AgentStatus struct {
	// lastHeartbeat is its last heartbeat.
	lastHeartbeat Heartbeat
	// ageSeconds is the age of the heartbeat in seconds.
	ageSeconds float64
	// leaving is the reason why the agent gets no new work; empty if it gets work.
	leaving string
}

// VoterChange requests a change of the control log's voters.
//
//wire:generate
type VoterChange struct {
	// action is the kind of change.
	action VoterAction
	// id is the voter's VM.
	id string
	// address is its link address, if it is added.
	address string
	// incarnation is the incarnation of its data folder; 0 means that the entry asks the
	// voter for it.
	incarnation uint64
}

// VoterAction is the kind of a VoterChange.
type VoterAction string

// The voter changes.
const (
	VoterBootstrap VoterAction = "bootstrap"
	VoterAdd       VoterAction = "add"
	VoterRemove    VoterAction = "remove"
)

// DrainRequest requests that a process take no new work and stop when idle.
//
//wire:generate
type DrainRequest struct {
	// vm is the VM to drain; empty for the process that receives the message.
	vm vm.ID
	// reason is recorded in the timeline.
	reason string
}

// TimelineQuery asks for the events after a time stamp.
//
//wire:generate
type TimelineQuery struct {
	// after is exclusive; the zero stamp asks for all events that are kept.
	after event.Stamp
}

// Timeline is a process's part of the timeline.
//
//wire:generate
type Timeline struct {
	// process is the name of the process that responds.
	process string
	// events are sorted by time stamp.
	events []event.Event
}

// Acknowledgement is a message without data. It is also sent as a request without
// parameters.
//
//wire:generate
type Acknowledgement struct {
	// note is a text for people.
	note string
}
