// ================================================================
// The runner: one goroutine that passes ticks, messages and requests to a
// Replica and performs the actions that the replica requests.
// ================================================================

package controllog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// DefaultTick is the length of a tick.
	DefaultTick = 100 * time.Millisecond
	// DefaultElectionTicks is the shortest election timeout, in ticks.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the interval of heartbeats, in ticks.
	DefaultHeartbeatTicks = 2
	// DefaultSnapshotEvery is the number of entries applied between snapshots.
	DefaultSnapshotEvery = 4096
	// snapshotThreshold is the amount of applied data, in bytes, that triggers a
	// snapshot before DefaultSnapshotEvery entries are applied.
	snapshotThreshold = 8 << 20
	// newMemberSnapshotThreshold replaces snapshotThreshold when a member is added,
	// so that the member receives the state instead of the log.
	newMemberSnapshotThreshold = 256 << 10

	// inboxSize is the capacity of the queues of messages and of requests.
	inboxSize = 1024
	// maxBatch bounds the proposals that share one write.
	maxBatch = 256
)

// StateMachine is the state machine that committed commands are applied to. Its
// functions are called from the runner's goroutine only.
type StateMachine struct {
	// Apply applies a command and returns its result.
	Apply func(index uint64, data []byte) any
	// Snapshot returns the encoded state.
	Snapshot func() ([]byte, error)
	// Restore replaces the state by one that Snapshot returned.
	Restore func(state []byte) error
}

// RunnerConfig holds the settings of a Runner.
type RunnerConfig struct {
	Self    Member
	Folder  *disk.Folder
	Machine StateMachine
	// Send sends a message to a member; it must not block. The address is empty
	// for a member that the log does not contain yet.
	Send func(to MemberID, address string, m Message)
	// Record adds an event to the timeline.
	Record func(kind event.Kind, subject, detail string)
	Logger log.Logger
	// Tick is the length of a tick; 0 means DefaultTick.
	Tick time.Duration
	// ElectionTicks is the shortest election timeout, in ticks; 0 means
	// DefaultElectionTicks.
	ElectionTicks int
	// SnapshotEvery is the number of entries applied between snapshots; 0 means
	// DefaultSnapshotEvery.
	SnapshotEvery uint64
	// Seed seeds the random election timeouts.
	Seed   uint64
	Faults Faults
}

// Runner runs one member of the control log. Run must be called once; the other
// exported methods may be called from any goroutine.
//
// All input goes through one loop, so a Ready is written before the next message
// is handled. Proposals are batched only there: those that are queued when the
// loop takes a request share one write and one sync.
type Runner struct {
	config  RunnerConfig
	replica *Replica
	store   *Store

	inbox    chan Message
	requests chan request
	done     chan struct{}
	err      error // why the loop ended; set before done is closed

	pendingProposals map[uint64]pendingProposal // by the index of the entry
	pendingReads     map[uint64]chan<- result   // by the id of the read
	confirmedReads   []Read                     // not answered yet
	lastReadID       uint64
	applied          uint64 // the last applied entry
	lastSnapshot     uint64 // the index of the last snapshot
	appliedBytes     int    // data applied since the last snapshot
	memberAdded      bool   // a member was added since snapshotIfDue last ran
	state            atomic.Pointer[State]
	wasLeader        bool
}

// request is a call that the loop handles: a step, a confirmed read or a proposal.
type request struct {
	step  func(r *Runner) error // a step whose result is the reply
	data  []byte                // a proposal, when step is nil and read is false
	read  bool                  // a confirmed read
	reply chan<- result
}

// result is the result of a request.
type result struct {
	value any
	err   error
}

// pendingProposal is a proposal whose entry is not applied yet.
type pendingProposal struct {
	term  uint64
	reply chan<- result
}

// State is the state of a member that others may read.
type State struct {
	// At is when the state was taken. A running member takes it after each tick; an older one means that
	// a step blocks.
	At      time.Time
	Role    Role
	Term    uint64
	Commit  uint64
	Applied uint64
	// Leader is the known leader; its zero value means none.
	Leader  Member
	Members []Member
	// Match holds, on a leader, the last index up to which each member's synced log
	// is known to match.
	Match map[MemberID]uint64
	// TicksSinceResponse holds, on a leader, how many ticks ago each member last responded.
	TicksSinceResponse map[MemberID]int
	// CanChangeMembers is true on a leader when an entry of its term is committed and
	// no change of members is pending.
	CanChangeMembers bool
}

// NewRunner reads the state in the folder and returns a runner; Run starts it.
func NewRunner(c RunnerConfig) (*Runner, error) {
	store, stored, repair, err := OpenStore(c.Folder)
	if err != nil {
		return nil, err
	}
	if repair.Bytes > 0 {
		_ = level.Warn(c.Logger).Log("msg", "control log: torn write truncated", "file", repair.File, "bytes", repair.Bytes)
		c.Record(event.LogRepaired, repair.File, "truncated a torn write at the end")
	}
	if stored.Snapshot.index > 0 {
		if err := c.Machine.Restore(stored.Snapshot.state); err != nil {
			return nil, err
		}
	}
	r := &Runner{
		config:           c,
		store:            store,
		inbox:            make(chan Message, inboxSize),
		requests:         make(chan request, inboxSize),
		done:             make(chan struct{}),
		pendingProposals: map[uint64]pendingProposal{},
		pendingReads:     map[uint64]chan<- result{},
		applied:          stored.Snapshot.index,
	}
	r.lastSnapshot = stored.Snapshot.index
	r.replica = NewReplica(ReplicaConfig{
		Self:           c.Self.MemberID(),
		ElectionTicks:  electionTicks(c),
		HeartbeatTicks: DefaultHeartbeatTicks,
		Random:         rand.New(rand.NewPCG(c.Seed, c.Self.Incarnation())),
		Faults:         c.Faults,
	}, stored)
	r.publishState()
	return r, nil
}

func electionTicks(c RunnerConfig) int {
	if c.ElectionTicks > 0 {
		return c.ElectionTicks
	}
	return DefaultElectionTicks
}

// ----------------------------------------------------------------
// Calls

// Deliver queues a message from another member. It drops the message when the
// queue is full; the protocol tolerates lost messages.
func (r *Runner) Deliver(m Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose proposes a command, waits until it is committed and applied, and
// returns its result. It fails with NotLeader on a member that is not the leader.
// After an error with RanUnknown the command may still be applied.
func (r *Runner) Propose(ctx context.Context, data []byte) (any, error) {
	return r.call(ctx, request{data: data})
}

// ConfirmedRead returns once a quorum has confirmed that this member leads and
// all entries that were committed before the call are applied.
func (r *Runner) ConfirmedRead(ctx context.Context) error {
	_, err := r.call(ctx, request{read: true})
	return err
}

// Bootstrap forms a new cluster with this member as its only voter.
func (r *Runner) Bootstrap(ctx context.Context) error {
	return r.runStep(ctx, func(r *Runner) error { return r.replica.Bootstrap(r.config.Self) })
}

// AddMember adds a member as a learner; the leader promotes it once it has caught up.
// A snapshot is taken in the same step if enough data was applied since the last one, so
// that the member receives the state instead of the log.
func (r *Runner) AddMember(ctx context.Context, v Member) error {
	return r.runStep(ctx, func(r *Runner) error { return r.addMember(v) })
}

func (r *Runner) addMember(v Member) error {
	err := r.replica.AddMember(v)
	r.memberAdded = r.memberAdded || err == nil
	return err
}

// RemoveMember removes a member.
func (r *Runner) RemoveMember(ctx context.Context, m MemberID) error {
	return r.runStep(ctx, func(r *Runner) error { return r.replica.RemoveMember(m) })
}

func (r *Runner) runStep(ctx context.Context, do func(*Runner) error) error {
	_, err := r.call(ctx, request{step: do})
	return err
}

func (r *Runner) call(ctx context.Context, q request) (any, error) {
	reply := make(chan result, 1)
	q.reply = reply
	select {
	case r.requests <- q:
	case <-r.done:
		return nil, r.stopError()
	case <-ctx.Done():
		return nil, failure.New(failure.Overloaded, "the control log is busy: %v", ctx.Err())
	}
	select {
	case res := <-reply:
		return res.value, res.err
	case <-r.done:
		return nil, failure.Of(r.stopError()).WithRan(failure.RanUnknown)
	case <-ctx.Done():
		return nil, failure.New(failure.NoQuorum, "no response from a quorum: %v", ctx.Err()).WithRan(failure.RanUnknown)
	}
}

func (r *Runner) stopError() error {
	if r.err != nil {
		return r.err
	}
	return failure.New(failure.Draining, "this member is stopping")
}

// State returns the member's state after its last step. It does not wait for the
// current step, which can block for as long as a disk write does. When the
// runner has stopped, it returns the zero State.
func (r *Runner) State() State {
	select {
	case <-r.done:
		return State{}
	default:
		return *r.state.Load()
	}
}

// Done returns a channel that is closed when Run has returned.
func (r *Runner) Done() <-chan struct{} { return r.done }
