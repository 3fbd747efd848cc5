// ================================================================
// What voters say to each other, and what stands in the log.
// ================================================================

// Package controllog is the replicated log that the configuration, the claims
// and the set of voters are agreed in.
//
// Replica is the decision object: events and ticks go in, a Ready with things
// to write, send and apply comes out. It has no goroutine, socket or clock.
// Runner is the thin shell that feeds it from links, a timer and a disk.
package controllog

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"fmt"
	"strings"

	"github.com/tidepost/tidepost/pkg/vm"
)

// MemberID is a VM and the incarnation of its data folder. A VM that lost its
// disk formats it anew, has another MemberID, and so is not the voter that it
// was: what the old one promised is lost with the old disk.
type MemberID string

// NewMemberID returns the member id of a VM's data folder.
func NewMemberID(id vm.ID, incarnation uint64) MemberID {
	return MemberID(fmt.Sprintf("%s/%x", id, incarnation))
}

// Member is a member of the log: a voter, or a learner that does not vote yet.
//
//wire:generate
type Member struct {
	// id is the VM of the voter.
	id vm.ID
	// incarnation is that of its data folder.
	incarnation uint64
	// address is its link address, host:port.
	address string
	// learner says that it receives the log and does not vote yet.
	learner bool
	// replaces is a member that is removed once this one votes; may be empty.
	replaces MemberID
}

// MemberID returns the voter's member id.
func (v Member) MemberID() MemberID { return NewMemberID(v.id, v.incarnation) }

// EntryKind says what a log entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoOp is what a new leader commits first.
	EntryNoOp EntryKind = iota
	// EntryCommand carries a command for the state machine.
	EntryCommand
	// EntryMembers carries a set of voters, in force from when it is appended.
	EntryMembers
)

// Entry is one entry of the log.
//
//wire:generate
type Entry struct {
	// term is the term of the leader that appended it.
	term uint64
	// index is its place, from 1.
	index uint64
	// kind says what data is.
	kind EntryKind
	// data is the command, or the encoded voters.
	data []byte
}

// HardState is what a voter must not forget.
//
//wire:generate
type HardState struct {
	// term is the highest term seen.
	term uint64
	// vote is whom the voter voted for in the term.
	vote MemberID
	// commit is the last index known to be committed; may lag.
	commit uint64
}

// Snapshot stands for all entries up to its index.
//
//wire:generate
type Snapshot struct {
	// index is the last entry that the snapshot covers.
	index uint64
	// term is that entry's term.
	term uint64
	// members are those in force at the index.
	members []Member
	// state is the state machine's.
	state []byte
}

// MessageKind says what a message is.
type MessageKind uint8

// The kinds of messages.
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
	// kind says what the message is.
	kind MessageKind
	// from is the sender.
	from MemberID
	// to is the receiver; a message to an earlier incarnation is dropped.
	to MemberID
	// term is the sender's term, or the one it would campaign in (pre-vote).
	term uint64
	// index is the entry before those carried; in answers the last one held.
	index uint64
	// logTerm is the term of that entry.
	logTerm uint64
	// entries follow index.
	entries []Entry
	// commit is the sender's commit index.
	commit uint64
	// reject says no.
	reject bool
	// round is the round of confirmed reads that a heartbeat serves.
	round uint64
	// snapshot is one part of a snapshot.
	snapshot SnapshotPart
}

// SnapshotPart is a piece of a snapshot in transit.
//
//wire:generate
type SnapshotPart struct {
	// index and term are those of the snapshot.
	index uint64
	term  uint64
	// offset is where data starts; in answers, where the next part starts.
	offset int64
	// data is the piece of the encoded snapshot.
	data []byte
	// last marks the last piece.
	last bool
}

func describeMembers(voters []Member) string {
	var words []string
	for _, v := range voters {
		word := string(v.MemberID())
		if v.learner {
			word += " (learner)"
		}
		words = append(words, word)
	}
	return strings.Join(words, ", ")
}

func describeTerm(term uint64) string { return fmt.Sprintf("term %d", term) }

// VM returns the VM of a member.
func (m MemberID) VM() vm.ID {
	name, _, _ := strings.Cut(string(m), "/")
	return vm.ID(name)
}
