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
	// maxInFlight bounds the entries sent to a member and not acknowledged.
	maxInFlight = 1024
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

// indexedMembers is a set of voters and the index that put it in force.
type indexedMembers struct {
	index   uint64
	members []Member
}

// progress is what a leader knows of a member.
type progress struct {
	match            uint64
	next             uint64
	lastMatch        uint64 // match at the last heartbeat answer
	active           bool   // heard from since the last quorum check
	respondedAt      uint64 // the replica's clock when it last answered
	readRound        uint64
	outgoingSnapshot *Snapshot
	encodedSnapshot  []byte
	sentOffset       int64
	lastOffset       int64 // sentOffset at the last heartbeat answer
}

// Replica is one member's part in the agreement.
type Replica struct {
	config ReplicaConfig

	hardState      HardState
	savedHardState HardState
	log            entryLog
	stableIndex    uint64
	appliedIndex   uint64
	snapshot       Snapshot
	memberHistory  []indexedMembers

	role                  Role
	leader                MemberID
	clock                 uint64 // ticks since the start
	ticksSinceReset       int
	electionTimeout       int
	ticksSinceQuorumCheck int
	votes                 map[MemberID]bool
	progress              map[MemberID]*progress
	firstIndexOfTerm      uint64
	pendingReads          []pendingRead
	readRound             uint64
	incomingSnapshot      []byte
	incomingSnapshotIndex uint64
	snapshotToInstall     *Snapshot

	messages       []Message
	confirmedReads []Read
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

// StoredState is what a member's disk holds.
type StoredState struct {
	HardState HardState
	Snapshot  Snapshot
	// BaseIndex and BaseTerm are those of the entry before Entries.
	BaseIndex uint64
	BaseTerm  uint64
	Entries   []Entry
}

// NewReplica returns a replica with what its disk holds.
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
	// After a restart there is most likely no leader, or one that is heard of
	// soon; the pre-vote keeps an early campaign from deposing it.
	r.electionTimeout = 2 + c.Random.IntN(c.ElectionTicks)
	return r
}

// ----------------------------------------------------------------
// What others may ask

// Role returns what the replica is.
func (r *Replica) Role() Role { return r.role }

// Leader returns the known leader of the term, or "".
func (r *Replica) Leader() MemberID { return r.leader }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.term }

// Commit returns the last committed index.
func (r *Replica) Commit() uint64 { return r.hardState.commit }

// LastIndex returns the last index of the log.
func (r *Replica) LastIndex() uint64 { return r.log.last() }

// Applied returns the last index that was handed out to be applied.
func (r *Replica) Applied() uint64 { return r.appliedIndex }

// Match returns how far a member's synced log is known to agree (leader only).
func (r *Replica) Match(m MemberID) uint64 {
	if p := r.progress[m]; p != nil {
		return p.match
	}
	return 0
}

// ticksSinceResponse returns how many ticks ago a member answered (leader only).
func (r *Replica) ticksSinceResponse(m MemberID) int {
	p := r.progress[m]
	if p == nil || m == r.config.Self {
		return 0
	}
	return int(r.clock - p.respondedAt)
}

// recordResponse notes that a member answered.
func (r *Replica) recordResponse(p *progress) {
	p.active = true
	p.respondedAt = r.clock
}

// Formed tells whether the replica belongs to a cluster.
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

// Propose appends a command. It returns the index and term that the command
// has if it is ever committed.
func (r *Replica) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, r.notLeader()
	}
	if r.log.last()-r.hardState.commit >= maxUncommitted {
		return 0, 0, failure.New(failure.Overloaded, "%d entries wait for a quorum", maxUncommitted)
	}
	r.appendEntry(EntryCommand, data)
	return r.log.last(), r.hardState.term, nil
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

// quorumResponded tells whether a quorum was heard from since the last check.
// A leader that is cut off finds out by it and stops leading.
func (r *Replica) quorumResponded() bool {
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

// advanceCommitTo raises the commit index.
func (r *Replica) advanceCommitTo(commit uint64) {
	commit = min(commit, r.log.last())
	if commit > r.hardState.commit {
		r.hardState.commit = commit
	}
}

// checkTruncation asserts that nothing committed is ever replaced.
func (r *Replica) checkTruncation(index uint64) error {
	return invariant.Check(index > r.hardState.commit, "control_log_committed_replaced",
		"%s would replace entry %d; committed is %d", r.config.Self, index, r.hardState.commit)
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

func encodeMembers(voters []Member) []byte {
	raw, err := msgpack.Marshal(voters)
	if err != nil {
		// Encoding plain fields into memory cannot fail.
		panic(err)
	}
	return raw
}

func decodeMembers(raw []byte) []Member {
	var voters []Member
	if err := msgpack.Unmarshal(raw, &voters); err != nil {
		// The entry passed its checksum, so it was written that way.
		panic(err)
	}
	return voters
}
