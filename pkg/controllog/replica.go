// ================================================================
// The replica: the protocol state of one member, after Ongaro's thesis on Raft
// (terms, pre-vote, quorum commit, single-server membership changes, confirmed
// reads).
// ================================================================

package controllog

import (
	"math/rand/v2"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/invariant"
)

// Role is the role of a replica in its current term.
type Role uint8

// The roles of a replica.
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
	// maxUncommitted bounds the entries in a leader's log that are not committed yet.
	maxUncommitted = 4096
	// maxAppendBytes bounds the data of one append message, in bytes.
	maxAppendBytes = 1 << 20
	// maxInFlight bounds the entries that are sent to a member and not acknowledged.
	maxInFlight = 1024
)

// ReplicaConfig holds the settings of a replica.
type ReplicaConfig struct {
	// Self is the member's own id.
	Self MemberID
	// ElectionTicks is the shortest election timeout, in ticks. The timeout is
	// random and less than twice as long.
	ElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats, in ticks.
	HeartbeatTicks int
	// Random randomises the election timeouts.
	Random *rand.Rand
	// Faults disables safeguards, so that tests can show that they detect it.
	Faults Faults
}

// Faults are faults that a test injects. The zero value has none.
type Faults struct {
	// VoteTwice grants votes to several candidates in one term.
	VoteTwice bool
	// CommitOldTerms commits entries of former terms by counting replicas.
	CommitOldTerms bool
	// UnconfirmedReads confirms reads without a quorum.
	UnconfirmedReads bool
	// AnyIncarnation accepts messages to an earlier incarnation of the member.
	AnyIncarnation bool
}

// indexedMembers is a set of members and the index of the entry that put it in force.
type indexedMembers struct {
	index   uint64
	members []Member
}

// progress is the replication state of a member as the leader knows it.
type progress struct {
	match            uint64    // the last entry that the member is known to have synced
	next             uint64    // the next entry to send
	lastMatch        uint64    // match at the last heartbeat response
	active           bool      // it responded since the last quorum check
	respondedAt      uint64    // the replica's clock at its last response
	readRound        uint64    // the highest read round that it responded to
	outgoingSnapshot *Snapshot // the snapshot that is being sent, or nil
	encodedSnapshot  []byte
	sentOffset       int64 // offset of the part sent last
	lastOffset       int64 // sentOffset at the last heartbeat response
}

// Replica implements the protocol for one member. It is not safe for concurrent
// use.
//
// The caller passes input to Step, Tick, Propose and the other methods, then
// takes a Ready, writes its entries, calls Persisted, sends its messages and
// applies its committed entries. Most messages rely on the write and must be
// sent after it. Ready.MessagesBeforeSync may be sent earlier, because a leader
// counts its own copy of an entry only once it is synced.
type Replica struct {
	config ReplicaConfig

	hardState      HardState
	savedHardState HardState // as of the last Ready
	log            entryLog
	stableIndex    uint64 // the last synced entry
	appliedIndex   uint64 // the last entry that a Ready returned as committed
	snapshot       Snapshot
	memberHistory  []indexedMembers // the sets of members after the snapshot

	role                  Role
	leader                MemberID
	clock                 uint64 // ticks since the start
	ticksSinceReset       int    // ticks since the election timer was reset
	electionTimeout       int    // in ticks
	ticksSinceQuorumCheck int
	votes                 map[MemberID]bool      // responses in the current election
	progress              map[MemberID]*progress // on a leader
	firstIndexOfTerm      uint64                 // the leader's first entry of its term
	pendingReads          []pendingRead
	readRound             uint64 // the round of the latest read
	incomingSnapshot      []byte // the parts received so far
	incomingSnapshotIndex uint64
	snapshotToInstall     *Snapshot // for the next Ready

	messages       []Message // for the next Ready
	confirmedReads []Read    // for the next Ready
}

// pendingRead is a read that waits for a quorum to confirm that this replica still leads.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Read is a confirmed read. It may be answered once the entry at Index is applied.
type Read struct {
	ID    uint64
	Index uint64
}

// StoredState is the state that a member reads from its disk at the start.
type StoredState struct {
	HardState HardState
	Snapshot  Snapshot
	// BaseIndex and BaseTerm are the index and term of the entry before Entries.
	BaseIndex uint64
	BaseTerm  uint64
	Entries   []Entry
}

// NewReplica returns a follower with the state from its disk.
func NewReplica(c ReplicaConfig, s StoredState) *Replica {
	r := &Replica{config: c, hardState: s.HardState, snapshot: s.Snapshot}
	r.log = entryLog{baseIndex: s.BaseIndex, baseTerm: s.BaseTerm, entries: s.Entries}
	if r.log.last() < s.Snapshot.index {
		r.log.reset(s.Snapshot.index, s.Snapshot.term)
	}
	r.appliedIndex = s.Snapshot.index
	r.hardState.commit = min(max(r.hardState.commit, s.Snapshot.index), r.log.last())
	r.savedHardState = r.hardState
	r.stableIndex = r.log.last()
	r.rebuildMemberHistory()
	r.becomeFollower(r.hardState.term, "")
	// The first election timeout may be shorter than the later ones. After a restart
	// there is most likely no leader, or one that soon sends a heartbeat; the
	// pre-vote keeps an early campaign from deposing it.
	r.electionTimeout = 2 + c.Random.IntN(c.ElectionTicks)
	return r
}

// ----------------------------------------------------------------
// Accessors

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Leader returns the known leader of the current term, or "".
func (r *Replica) Leader() MemberID { return r.leader }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.term }

// Commit returns the last index known to be committed.
func (r *Replica) Commit() uint64 { return r.hardState.commit }

// LastIndex returns the last index of the log.
func (r *Replica) LastIndex() uint64 { return r.log.last() }

// Applied returns the last index that a Ready returned for application.
func (r *Replica) Applied() uint64 { return r.appliedIndex }

// Match returns the last index up to which a member's synced log is known to match
// (leader only).
func (r *Replica) Match(m MemberID) uint64 {
	if p := r.progress[m]; p != nil {
		return p.match
	}
	return 0
}

// ticksSinceResponse returns how many ticks ago a member last responded (leader only).
func (r *Replica) ticksSinceResponse(m MemberID) int {
	p := r.progress[m]
	if p == nil || m == r.config.Self {
		return 0
	}
	return int(r.clock - p.respondedAt)
}

// recordResponse records that a member responded.
func (r *Replica) recordResponse(p *progress) {
	p.active = true
	p.respondedAt = r.clock
}

// Formed reports whether the replica belongs to a cluster.
func (r *Replica) Formed() bool { return len(r.Members()) > 0 }

// ----------------------------------------------------------------
// Input

// Bootstrap forms a new cluster with this member as its only voter.
func (r *Replica) Bootstrap(self Member) error {
	if r.log.last() > 0 || r.Formed() {
		return failure.New(failure.AlreadyFormed, "%s holds %d log entries", r.config.Self, r.log.last())
	}
	r.hardState.term = 1
	r.appendMembers([]Member{self})
	r.becomeFollower(1, "")
	r.campaign()
	return nil
}

// Propose appends a command to the leader's log. It returns the index and term
// that the command has if it is committed.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, r.notLeader()
	}
	if r.log.last()-r.hardState.commit >= maxUncommitted {
		return 0, 0, failure.New(failure.Overloaded, "%d entries are not committed yet", maxUncommitted)
	}
	r.appendEntry(EntryCommand, data)
	return r.log.last(), r.hardState.term, nil
}

// Flush sends the entries proposed since the last Flush. It is separate from
// Propose so that a batch of proposals makes one message per member.
func (r *Replica) Flush() {
	if r.role == Leader {
		r.broadcastAppend()
	}
}

func (r *Replica) notLeader() error {
	if !r.Formed() {
		return failure.New(failure.NotFormed, "%s does not belong to a cluster", r.config.Self)
	}
	return failure.New(failure.NotLeader, "%s has the role %s", r.config.Self, r.role)
}

// Tick advances the replica's clock by one tick.
func (r *Replica) Tick() {
	r.clock++
	r.ticksSinceReset++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.ticksSinceReset >= r.electionTimeout && r.canCampaign() {
		r.preCampaign()
	}
}

func (r *Replica) tickLeader() {
	if r.ticksSinceReset%r.config.HeartbeatTicks == 0 {
		r.broadcastHeartbeat()
		r.adjustMembers()
	}
	r.ticksSinceQuorumCheck++
	if r.ticksSinceQuorumCheck < r.config.ElectionTicks {
		return
	}
	r.ticksSinceQuorumCheck = 0
	if !r.quorumResponded() {
		r.becomeFollower(r.hardState.term, "")
	}
}

// quorumResponded reports whether a quorum has responded since the last check.
// A leader that is partitioned from the others steps down because of it.
func (r *Replica) quorumResponded() bool {
	responded := r.quorum(func(m MemberID) bool { return m == r.config.Self || r.progress[m].active })
	for _, p := range r.progress {
		p.active = false
	}
	return responded
}

// ----------------------------------------------------------------
// Helpers

// send queues a message; its term is the current one unless it is set.
func (r *Replica) send(m Message) {
	m.from = r.config.Self
	if m.term == 0 {
		m.term = r.hardState.term
	}
	r.messages = append(r.messages, m)
}

func (r *Replica) appendEntry(kind EntryKind, data []byte) {
	r.log.append(Entry{term: r.hardState.term, index: r.log.last() + 1, kind: kind, data: data})
}

func (r *Replica) becomeFollower(term uint64, leader MemberID) {
	if term > r.hardState.term {
		r.hardState.term, r.hardState.vote = term, ""
	}
	r.role, r.leader = Follower, leader
	r.pendingReads = nil
	r.progress = nil
	r.resetTimeout()
}

func (r *Replica) resetTimeout() {
	r.ticksSinceReset = 0
	r.electionTimeout = r.config.ElectionTicks + r.config.Random.IntN(r.config.ElectionTicks)
}

// advanceCommitTo raises the commit index, at most to the end of the log.
func (r *Replica) advanceCommitTo(commit uint64) {
	commit = min(commit, r.log.last())
	if commit > r.hardState.commit {
		r.hardState.commit = commit
	}
}

// checkTruncation returns an error if the entry at index is committed and thus must
// not be replaced.
func (r *Replica) checkTruncation(index uint64) error {
	return invariant.Check(index > r.hardState.commit, "control_log_committed_replaced",
		"%s would replace entry %d, but the log is committed up to entry %d", r.config.Self, index, r.hardState.commit)
}

// sortedMembers returns the members in a fixed order, so that a simulation is
// reproducible.
func sortedMembers(m map[MemberID]*progress) []MemberID {
	members := make([]MemberID, 0, len(m))
	for id := range m {
		members = append(members, id)
	}
	sort.Slice(members, func(i, j int) bool { return members[i] < members[j] })
	return members
}

func encodeMembers(members []Member) []byte {
	raw, err := msgpack.Marshal(members)
	if err != nil {
		// Encoding plain fields to memory does not fail.
		panic(err)
	}
	return raw
}

func decodeMembers(raw []byte) []Member {
	var members []Member
	if err := msgpack.Unmarshal(raw, &members); err != nil {
		// The entry passed its checksum, so a member encoded it in this form.
		panic(err)
	}
	return members
}
