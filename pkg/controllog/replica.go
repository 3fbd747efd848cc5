// ================================================================
// The replica: one member's part in the agreement, after Ongaro's thesis
// (terms, pre-vote, quorum commit, single changes of voters, confirmed reads).
//
// Use: feed it with Step, Tick, Propose and the like, then take Ready, write
// what has to be written, call Persisted, send the messages and apply the
// committed entries. Messages that rely on a write go out after it;
// AppendFirst marks the ones that may go before, since a leader counts its own
// copy only once it is synced.
// ================================================================

package controllog

import (
	"math/rand/v2"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/invariant"
)

// Role is what a replica is at the moment.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

const (
	// maxUncommitted bounds the entries that wait for a quorum.
	maxUncommitted = 4096
	// maxAppendBytes bounds the data of one append message.
	maxAppendBytes = 1 << 20
	// maxInTransit bounds the entries sent to a member and not acknowledged.
	maxInTransit = 1024
)

// ReplicaConfig are the constants of a replica.
type ReplicaConfig struct {
	// Self is this member.
	Self MemberID
	// ElectionTicks is the shortest time without a leader before a campaign;
	// the longest is twice that.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats of a leader.
	HeartbeatTicks int
	// Random spreads the campaigns.
	Random *rand.Rand
	// Faults leave a safeguard out, to show that a test would notice.
	Faults Faults
}

// Faults are seeded faults. The zero value has none.
type Faults struct {
	// VoteTwice forgets the vote of a term.
	VoteTwice bool
	// CommitOldTerms counts copies of entries of former terms as committed.
	CommitOldTerms bool
	// UnconfirmedReads answers reads without asking a quorum.
	UnconfirmedReads bool
	// AnyIncarnation takes messages to an earlier incarnation.
	AnyIncarnation bool
}

// votersAt is a set of voters and the index that put it in force.
type votersAt struct {
	index  uint64
	voters []Voter
}

// progress is what a leader knows of a member.
type progress struct {
	match      uint64
	next       uint64
	acked      uint64 // match at the last heartbeat answer
	active     bool   // heard from since the last quorum check
	heardAt    uint64 // the replica's clock when it last answered
	readRound  uint64
	sending    *Snapshot
	encoded    []byte
	sentOffset int64
	beatOffset int64 // sentOffset at the last heartbeat answer
}

// Replica is one member's part in the agreement.
type Replica struct {
	config ReplicaConfig

	hard     HardState
	saved    HardState
	log      entryLog
	stable   uint64
	applied  uint64
	snapshot Snapshot
	history  []votersAt

	role            Role
	leader          MemberID
	clock           uint64 // ticks since the start
	ticks           int
	timeout         int
	quorumTicks     int
	votes           map[MemberID]bool
	progress        map[MemberID]*progress
	firstOfTerm     uint64
	reads           []pendingRead
	readRound       uint64
	incoming        []byte
	incomingIndex   uint64
	installSnapshot *Snapshot

	messages []Message
	released []Read
}

// pendingRead waits for a quorum to confirm that this is still the leader.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Read is a confirmed read: it may be answered once Index is applied.
type Read struct {
	ID    uint64
	Index uint64
}

// Stored is what a member's disk holds.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	// BaseIndex and BaseTerm are those of the entry before Entries.
	BaseIndex uint64
	BaseTerm  uint64
	Entries   []Entry
}

// NewReplica returns a replica with what its disk holds.
func NewReplica(c ReplicaConfig, s Stored) *Replica {
	r := &Replica{config: c, hard: s.HardState, snapshot: s.Snapshot}
	r.log = entryLog{beforeIndex: s.BaseIndex, beforeTerm: s.BaseTerm, entries: s.Entries}
	if r.log.last() < s.Snapshot.index {
		r.log.reset(s.Snapshot.index, s.Snapshot.term)
	}
	r.applied = s.Snapshot.index
	r.hard.commit = min(max(r.hard.commit, s.Snapshot.index), r.log.last())
	r.saved = r.hard
	r.stable = r.log.last()
	r.rebuildHistory()
	r.becomeFollower(r.hard.term, "")
	// After a restart there is most likely no leader, or one that is heard of
	// soon; the pre-vote keeps an early campaign from deposing it.
	r.timeout = 2 + c.Random.IntN(c.ElectionTicks)
	return r
}

// ----------------------------------------------------------------
// What others may ask

// Role returns what the replica is.
func (r *Replica) Role() Role { return r.role }

// Leader returns the known leader of the term, or "".
func (r *Replica) Leader() MemberID { return r.leader }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hard.term }

// Commit returns the last committed index.
func (r *Replica) Commit() uint64 { return r.hard.commit }

// LastIndex returns the last index of the log.
func (r *Replica) LastIndex() uint64 { return r.log.last() }

// Applied returns the last index that was handed out to be applied.
func (r *Replica) Applied() uint64 { return r.applied }

// Match returns how far a member's synced log is known to agree (leader only).
func (r *Replica) Match(m MemberID) uint64 {
	if p := r.progress[m]; p != nil {
		return p.match
	}
	return 0
}

// unheard returns how many ticks ago a member answered (leader only).
func (r *Replica) unheard(m MemberID) int {
	p := r.progress[m]
	if p == nil || m == r.config.Self {
		return 0
	}
	return int(r.clock - p.heardAt)
}

// heard notes that a member answered.
func (r *Replica) heard(p *progress) {
	p.active = true
	p.heardAt = r.clock
}

// Formed tells whether the replica belongs to a cluster.
func (r *Replica) Formed() bool { return len(r.Voters()) > 0 }

// ----------------------------------------------------------------
// Input

// Bootstrap forms a new cluster with this member as its only voter.
func (r *Replica) Bootstrap(self Voter) error {
	if r.log.last() > 0 || r.Formed() {
		return failure.New(failure.AlreadyFormed, "%s holds %d log entries", r.config.Self, r.log.last())
	}
	r.hard.term = 1
	r.appendVoters([]Voter{self})
	r.becomeFollower(1, "")
	r.campaign()
	return nil
}

// Propose appends a command. It returns the index and term that the command
// has if it is ever committed.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, r.notLeader()
	}
	if r.log.last()-r.hard.commit >= maxUncommitted {
		return 0, 0, failure.New(failure.Overloaded, "%d entries wait for a quorum", maxUncommitted)
	}
	r.appendOwn(EntryCommand, data)
	return r.log.last(), r.hard.term, nil
}

// Flush sends what was proposed since the last Flush. It is apart from Propose
// so that a batch of proposals makes one message a member.
func (r *Replica) Flush() {
	if r.role == Leader {
		r.broadcastAppend()
	}
}

func (r *Replica) notLeader() error {
	if !r.Formed() {
		return failure.New(failure.NotFormed, "%s is in no cluster", r.config.Self)
	}
	return failure.New(failure.NotLeader, "%s is %s", r.config.Self, r.role)
}

// Tick advances the replica's time by one tick.
func (r *Replica) Tick() {
	r.clock++
	r.ticks++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.ticks >= r.timeout && r.canCampaign() {
		r.preCampaign()
	}
}

func (r *Replica) tickLeader() {
	if r.ticks%r.config.HeartbeatTicks == 0 {
		r.broadcastHeartbeat()
		r.adjustVoters()
	}
	r.quorumTicks++
	if r.quorumTicks < r.config.ElectionTicks {
		return
	}
	r.quorumTicks = 0
	if !r.heardFromQuorum() {
		r.becomeFollower(r.hard.term, "")
	}
}

// heardFromQuorum tells whether a quorum was heard from since the last check.
// A leader that is cut off finds out by it and stops leading.
func (r *Replica) heardFromQuorum() bool {
	heard := r.quorum(func(m MemberID) bool { return m == r.config.Self || r.progress[m].active })
	for _, p := range r.progress {
		p.active = false
	}
	return heard
}

// ----------------------------------------------------------------
// Common parts

func (r *Replica) send(m Message) {
	m.from = r.config.Self
	if m.term == 0 {
		m.term = r.hard.term
	}
	r.messages = append(r.messages, m)
}

func (r *Replica) appendOwn(kind EntryKind, data []byte) {
	r.log.append(Entry{term: r.hard.term, index: r.log.last() + 1, kind: kind, data: data})
}

func (r *Replica) becomeFollower(term uint64, leader MemberID) {
	if term > r.hard.term {
		r.hard.term, r.hard.vote = term, ""
	}
	r.role, r.leader = Follower, leader
	r.reads = nil
	r.progress = nil
	r.resetTimeout()
}

func (r *Replica) resetTimeout() {
	r.ticks = 0
	r.timeout = r.config.ElectionTicks + r.config.Random.IntN(r.config.ElectionTicks)
}

// advanceTo raises the commit index.
func (r *Replica) advanceTo(commit uint64) {
	commit = min(commit, r.log.last())
	if commit > r.hard.commit {
		r.hard.commit = commit
	}
}

// checkTruncation asserts that nothing committed is ever replaced.
func (r *Replica) checkTruncation(index uint64) error {
	return invariant.Check(index > r.hard.commit, "control_log_committed_replaced",
		"%s would replace entry %d; committed is %d", r.config.Self, index, r.hard.commit)
}

// sortedMembers returns members in one order, so that runs repeat.
func sortedMembers(m map[MemberID]*progress) []MemberID {
	members := make([]MemberID, 0, len(m))
	for id := range m {
		members = append(members, id)
	}
	sort.Slice(members, func(i, j int) bool { return members[i] < members[j] })
	return members
}

func encodeVoters(voters []Voter) []byte {
	raw, err := msgpack.Marshal(voters)
	if err != nil {
		// Encoding plain fields into memory cannot fail.
		panic(err)
	}
	return raw
}

func decodeVoters(raw []byte) []Voter {
	var voters []Voter
	if err := msgpack.Unmarshal(raw, &voters); err != nil {
		// The entry passed its checksum, so it was written that way.
		panic(err)
	}
	return voters
}
