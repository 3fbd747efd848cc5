// ================================================================
// The runner: one goroutine that feeds a Replica from a timer, incoming
// messages and requests, and carries out what it wants done.
//
// Everything goes through one loop, so a Ready is always written before the
// next message is looked at. Proposals that wait when the loop comes round
// share one write and one sync: that is the whole of the batching.
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
	// DefaultElectionTicks is the shortest time without a leader, in ticks.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the time between heartbeats, in ticks.
	DefaultHeartbeatTicks = 2
	// DefaultSnapshotEvery is how many entries are applied between snapshots.
	DefaultSnapshotEvery = 4096
	// snapshotThreshold is how much applied data calls for a snapshot earlier, and
	// joiningBytes how much does when a member is brought in.
	snapshotThreshold          = 8 << 20
	newMemberSnapshotThreshold = 256 << 10

	inboxSize = 1024
	// maxBatch bounds the proposals that share one write.
	maxBatch = 256
)

// StateMachine is what committed commands are applied to. All of it is called
// from the runner's goroutine.
type StateMachine struct {
	// Apply applies a command and returns its result.
	Apply func(index uint64, data []byte) any
	// Snapshot returns the whole state.
	Snapshot func() ([]byte, error)
	// Restore replaces the whole state.
	Restore func(state []byte) error
}

// RunnerConfig says how a member runs.
type RunnerConfig struct {
	Self    Member
	Folder  *disk.Folder
	Machine StateMachine
	// Send hands a message to a member; it must not block. The address is
	// empty for a member that is not in the log yet.
	Send func(to MemberID, address string, m Message)
	// Record notes an event of the time line.
	Record func(kind event.Kind, subject, detail string)
	Logger log.Logger
	Tick   time.Duration
	// ElectionTicks is the shortest time without a leader; 0 is the default.
	ElectionTicks int
	SnapshotEvery uint64
	Seed          uint64
	Faults        Faults
}

// Runner runs one member of the control log.
type Runner struct {
	config  RunnerConfig
	replica *Replica
	store   *Store

	inbox    chan Message
	requests chan request
	done     chan struct{}
	err      error

	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]chan<- result
	confirmedReads   []Read
	lastReadID       uint64
	applied          uint64
	lastSnapshot     uint64
	appliedBytes     int
	memberAdded      bool // a member was brought in since the last look at the snapshot
	state            atomic.Pointer[State]
	wasLeader        bool
}

// request is a call into the loop.
type request struct {
	step  func(r *Runner) error // a step that is answered at once
	data  []byte                // a proposal, when do is nil
	read  bool                  // a confirmed read
	reply chan<- result
}

// result is the answer of a request.
type result struct {
	value any
	err   error
}

// pendingProposal waits for the entry at an index to be applied.
type pendingProposal struct {
	term  uint64
	reply chan<- result
}

// State is what a member tells of itself.
type State struct {
	Role    Role
	Term    uint64
	Commit  uint64
	Applied uint64
	// Leader is the known leader; its zero value means none.
	Leader  Member
	Members []Member
	// Match holds, on a leader, how far each member's synced log agrees.
	Match map[MemberID]uint64
	// TicksSinceResponse holds, on a leader, how many ticks ago each member answered.
	TicksSinceResponse map[MemberID]int
	// CanChangeMembers says, on a leader, that an entry of its term is committed and no
	// change of voters is under way.
	CanChangeMembers bool
}

// NewRunner opens the folder and returns a runner that is not running yet.
func NewRunner(c RunnerConfig) (*Runner, error) {
	store, stored, repair, err := OpenStore(c.Folder)
	if err != nil {
		return nil, err
	}
	if repair.Bytes > 0 {
		_ = level.Warn(c.Logger).Log("msg", "control log: cut a torn write", "file", repair.File, "bytes", repair.Bytes)
		c.Record(event.LogRepaired, repair.File, "cut a torn write from the end")
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

// Deliver takes a message from another member in. A full inbox drops it, as a
// network would.
func (r *Runner) Deliver(m Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose has a command committed and applied, and returns its result. On a
// member that does not lead it fails with NotLeader. An error with RanUnknown
// means that the command may still be applied.
func (r *Runner) Propose(ctx context.Context, data []byte) (any, error) {
	return r.call(ctx, request{data: data})
}

// ConfirmedRead returns once a quorum has confirmed that this member leads and
// all that was committed before the call is applied.
func (r *Runner) ConfirmedRead(ctx context.Context) error {
	_, err := r.call(ctx, request{read: true})
	return err
}

// Bootstrap forms a new cluster with this member alone.
func (r *Runner) Bootstrap(ctx context.Context) error {
	return r.runStep(ctx, func(r *Runner) error { return r.replica.Bootstrap(r.config.Self) })
}

// AddMember brings a member in. What it lacks is brought down to the state first.
func (r *Runner) AddMember(ctx context.Context, v Member) error {
	return r.runStep(ctx, func(r *Runner) error { return r.addMember(v) })
}

func (r *Runner) addMember(v Member) error {
	err := r.replica.AddMember(v)
	r.memberAdded = r.memberAdded || err == nil
	return err
}

// RemoveMember takes a member out.
func (r *Runner) RemoveMember(ctx context.Context, m MemberID) error {
	return r.runStep(ctx, func(r *Runner) error { return r.replica.RemoveMember(m) })
}

func (r *Runner) runStep(ctx context.Context, do func(*Runner) error) error {
	_, err := r.call(ctx, request{step: do})
	return err
}

func (r *Runner) call(ctx context.Context, q request) (any, error) {
	answer := make(chan result, 1)
	q.reply = answer
	select {
	case r.requests <- q:
	case <-r.done:
		return nil, r.stopError()
	case <-ctx.Done():
		return nil, failure.New(failure.Overloaded, "the control log is busy: %v", ctx.Err())
	}
	select {
	case a := <-answer:
		return a.value, a.err
	case <-r.done:
		return nil, failure.Of(r.stopError()).WithRan(failure.RanUnknown)
	case <-ctx.Done():
		return nil, failure.New(failure.NoQuorum, "no answer from a quorum: %v", ctx.Err()).WithRan(failure.RanUnknown)
	}
}

func (r *Runner) stopError() error {
	if r.err != nil {
		return r.err
	}
	return failure.New(failure.Draining, "this voter is stopping")
}

// State returns what the member knew of itself after its last step. It never
// waits: a step may hang for as long as the disk does. When the runner has
// stopped it returns the zero State.
func (r *Runner) State() State {
	select {
	case <-r.done:
		return State{}
	default:
		return *r.state.Load()
	}
}

// Done is closed when the runner has ended.
func (r *Runner) Done() <-chan struct{} { return r.done }
