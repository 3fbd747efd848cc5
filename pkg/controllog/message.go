// ================================================================
// The messages between members, the log entries, and the state that members store.
// ================================================================

// Package controllog implements the replicated log (Raft) that holds the
// configuration, the claims and the set of members.
//
// Replica implements the protocol: it takes messages and ticks, and returns a
// Ready that lists what to write, send and apply. It has no goroutine, socket
// or clock. Runner drives a Replica with messages, a timer and a Store.
package controllog

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"fmt"
	"strings"

	"github.com/tidepost/tidepost/pkg/vm"
)

// MemberID identifies a member by its VM and the incarnation of its data folder.
// A VM that lost its disk formats a new one and gets another MemberID. It must
// not count as the same voter, since its votes and acknowledged entries were
// lost with the old disk.
type MemberID string

// NewMemberID returns the id of the member with the given VM and incarnation.
func NewMemberID(id vm.ID, incarnation uint64) MemberID {
	return MemberID(fmt.Sprintf("%s/%x", id, incarnation))
}

// Member is a member of the cluster: a voter, or a learner that receives the log
// and does not vote yet.
//
//wire:generate
type Member struct {
	// id is the member's VM.
	id vm.ID
	// incarnation is the incarnation of the data folder.
	incarnation uint64
	// address is the link address, host:port.
	address string
	// learner is true for a member that does not vote yet.
	learner bool
	// replaces is the member to remove once this one votes; empty for none.
	replaces MemberID
}

// MemberID returns the member's id.
func (v Member) MemberID() MemberID { return NewMemberID(v.id, v.incarnation) }

// EntryKind is the kind of data in a log entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoOp has no data; a new leader appends one as the first entry of its term.
	EntryNoOp EntryKind = iota
	// EntryCommand carries a command for the state machine.
	EntryCommand
	// EntryMembers carries a set of members, which is in force once it is appended.
	EntryMembers
)

// Entry is one entry of the log.
//
//wire:generate
type Entry struct {
	// term is the term of the leader that appended it.
	term uint64
	// index is the entry's position in the log, from 1.
	index uint64
	// kind is the kind of data.
	kind EntryKind
	// data is the command or the encoded members.
	data []byte
}

// HardState is the state that a member must keep over restarts.
//
//wire:generate
type HardState struct {
	// term is the highest term that the member has seen.
	term uint64
	// vote is the member that it voted for in the term; empty for none.
	vote MemberID
	// commit is the last index known to be committed. The stored value may lag.
	commit uint64
}

// Snapshot replaces all entries up to its index.
//
//wire:generate
type Snapshot struct {
	// index is the last entry that the snapshot covers.
	index uint64
	// term is the term of that entry.
	term uint64
	// members are the members in force at the index.
	members []Member
	// state is the encoded state of the state machine.
	state []byte
}

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of messages: a request of a candidate or leader, followed by its response.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot
	MessageSnapshotResponse
)

// Message is one message between two members.
//
//wire:generate
type Message struct {
	// kind is the kind of the message.
	kind MessageKind
	// from is the sender.
	from MemberID
	// to is the receiver. A member drops messages to its earlier incarnations.
	to MemberID
	// term is the sender's term; in a pre-vote, the term that it would campaign in.
	term uint64
	// index is the entry before entries; in responses, the last entry that the sender holds.
	index uint64
	// logTerm is the term of the entry at index.
	logTerm uint64
	// entries are the entries that follow index.
	entries []Entry
	// commit is the sender's commit index.
	commit uint64
	// reject is true in a response that refuses the request.
	reject bool
	// round is the round of confirmed reads that a heartbeat belongs to.
	round uint64
	// snapshot is a part of a snapshot.
	snapshot SnapshotPart
}

// SnapshotPart is a part of an encoded snapshot in a message.
//
//wire:generate
type SnapshotPart struct {
	// index is the index of the snapshot.
	index uint64
	// term is the term of the entry at index.
	term uint64
	// offset is the byte at which data starts; in responses, the start of the next part.
	offset int64
	// data is the content of the part.
	data []byte
	// last marks the last part; in responses, that the snapshot is complete.
	last bool
}

func describeMembers(members []Member) string {
	var descriptions []string
	for _, v := range members {
		description := string(v.MemberID())
		if v.learner {
			description += " (learner)"
		}
		descriptions = append(descriptions, description)
	}
	return strings.Join(descriptions, ", ")
}

func describeTerm(term uint64) string { return fmt.Sprintf("term %d", term) }

// VM returns the member's VM.
func (m MemberID) VM() vm.ID {
	name, _, _ := strings.Cut(string(m), "/")
	return vm.ID(name)
}
