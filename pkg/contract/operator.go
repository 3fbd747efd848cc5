// ================================================================
// What the command line asks of entries and agents.
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
	// kind is the kind of objects; empty is all.
	kind ObjectKind
	// name is the object's name; empty is all.
	name string
	// confirmed asks for a read that a quorum has confirmed.
	confirmed bool
}

// QueryResult is the answer.
//
//wire:generate
type QueryResult struct {
	// revision is the revision that the objects were read at.
	revision uint64
	// confirmed says that a quorum confirmed the revision.
	confirmed bool
	// objects are those asked for.
	objects []Object
}

// Status is an entry's view of the system.
//
//wire:generate
type Status struct {
	// entry is who answers.
	entry vm.Identity
	// revision is the configuration revision in force there.
	revision uint64
	// leader is the id of the leading voter, as far as known.
	leader string
	// term is the term of the control log.
	term uint64
	// voters are the voters and learners of the control log.
	voters []VoterStatus
	// agents are the agents of the entry's failure domain.
	agents []AgentStatus
	// entries are the other entries.
	entries []EntryHeartbeat
}

// VoterStatus is one voter of the control log.
//
//wire:generate
type VoterStatus struct {
	// id is the voter's VM.
	id string
	// incarnation is that of its data folder.
	incarnation uint64
	// address is its link address.
	address string
	// learner says that it does not vote yet.
	learner bool
	// match is the last entry known to be synced there (leader only).
	match uint64
}

// AgentStatus is one agent as an entry sees it.
//
//wire:generate
type AgentStatus struct {
	// lastHeartbeat is its last heartbeat.
	lastHeartbeat Heartbeat
	// ageSeconds is how old the heartbeat is.
	ageSeconds float64
	// leaving says that it gets no new work, and why.
	leaving string
}

// VoterChange asks for a change of the control log's voters.
//
//wire:generate
type VoterChange struct {
	// action is one of the VoterAction values.
	action VoterAction
	// id is the voter's VM.
	id string
	// address is its link address, when it is added.
	address string
	// incarnation is that of its data folder; 0 asks the voter itself.
	incarnation uint64
}

// VoterAction is what a VoterChange does.
type VoterAction string

// The voter changes.
const (
	VoterBootstrap VoterAction = "bootstrap"
	VoterAdd       VoterAction = "add"
	VoterRemove    VoterAction = "remove"
)

// Drain asks a process to take no new work and to leave when idle.
//
//wire:generate
type Drain struct {
	// vm is the VM to drain; empty is the process that is asked.
	vm vm.ID
	// reason goes into the time line.
	reason string
}

// TimelineQuery asks for the events after a stamp.
//
//wire:generate
type TimelineQuery struct {
	// after is exclusive; the zero stamp asks for all that is kept.
	after event.Stamp
}

// Timeline is a process's part of the time line.
//
//wire:generate
type Timeline struct {
	// process is who answers.
	process string
	// events are in the order of their stamps.
	events []event.Event
}

// Acknowledgement is an answer without content.
//
//wire:generate
type Acknowledgement struct {
	// note is for people.
	note string
}
