// ================================================================
// The node as a member of the control log. The log forms itself: at the very
// first start the first of the seeds forms a cluster of one, the others ask to
// be taken in, and the leader takes out voters that are dead and not needed.
//
// A node whose disk fails stays up: its part of the log is opened again until
// the disk answers, and meanwhile it hands calls on to the leader.
//
// Rejected: forming the cluster of all seeds at once. It needs every seed's
// incarnation before there is a log to agree on it in.
// ================================================================

package control

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// reopenDelay lies between two tries to open a failing disk.
	reopenDelay = 300 * time.Millisecond
	// membershipInterval is the time between looks at the membership.
	membershipInterval = 250 * time.Millisecond
	// joinTimeout bounds one call to another node.
	joinTimeout = 900 * time.Millisecond
	// electionTicks of 100 ms without a leader call for an election.
	electionTicks = 7
	// removalTicks is for how long a voter that is not needed may be silent.
	removalTicks = 15
	// quorumValidity is how long the word of a quorum's leader counts.
	quorumValidity = 1500 * time.Millisecond
)

// joinRequest asks to be taken in as a voter.
//
//wire:generate
type joinRequest struct {
	// voter is who asks.
	voter controllog.Member
}

// joinResponse is the answer: whether the cluster is formed at the node asked.
//
//wire:generate
type joinResponse struct {
	// formed says that the node belongs to a cluster.
	formed bool
	// leader is the link address of the leader; may be empty.
	leader string
}

// memberConfig says how a node takes part in the log.
type memberConfig struct {
	identity   func(incarnation uint64) vm.Identity
	openFolder func() (*disk.Folder, error)
	// onOpen gets each data folder that was opened, and closing is called before it closes.
	onOpen            func(*disk.Folder)
	onClose           func()
	endpoint          *link.Endpoint
	machine           controllog.StateMachine
	recordEvent       func(kind event.Kind, subject, detail string)
	logger            log.Logger
	seeds             func() []string
	bootstrap         bool
	toleratedFailures int
}

// member runs the node's part in the control log.
type member struct {
	config    memberConfig
	messenger *link.Messenger[controllog.Message]

	runner          atomic.Pointer[controllog.Runner]
	self            atomic.Pointer[controllog.Member]
	leaderKnownAt   atomic.Int64 // nanoseconds since started
	leaderMessageAt atomic.Int64 // the same, of a message that a leader sent here
	lastLeader      atomic.Pointer[string]
	started         time.Time

	mu            sync.Mutex
	joinAddresses map[string]bool // link addresses of control nodes heard of
}

func newMember(c memberConfig) *member {
	return &member{
		config: c, started: time.Now(), joinAddresses: map[string]bool{},
		messenger: link.NewMessenger[controllog.Message](c.endpoint, link.KindControlLog),
	}
}

// run keeps the member running until the context ends.
func (m *member) run(ctx context.Context) error {
	defer m.messenger.Close()
	go m.manageMembership(ctx)
	go m.watchLinks(ctx)
	for ctx.Err() == nil {
		err := m.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		_ = level.Warn(m.config.logger).Log("msg", "disk lost", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
	return nil
}

// runOnce opens the data folder and runs the member until its disk fails.
func (m *member) runOnce(ctx context.Context) error {
	folder, err := m.config.openFolder()
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	m.config.onOpen(folder)
	defer m.config.onClose()
	incarnation, err := controllog.LoadOrCreateIncarnation(folder)
	if err != nil {
		return err
	}
	identity := m.config.identity(incarnation)
	self := controllog.NewMember(identity.ID(), identity.Incarnation(), identity.Address(), false, "")
	runner, err := controllog.NewRunner(controllog.RunnerConfig{
		Self: self, Folder: folder, Machine: m.config.machine, Send: m.send, Record: m.config.recordEvent,
		Logger: m.config.logger, Seed: incarnation, ElectionTicks: electionTicks,
	})
	if err != nil {
		return err
	}
	m.self.Store(&self)
	m.runner.Store(runner)
	_ = level.Info(m.config.logger).Log("msg", "disk open", "member", string(self.MemberID()))
	return runner.Run(ctx)
}

func (m *member) send(to controllog.MemberID, address string, message controllog.Message) {
	m.messenger.Send(string(to.VM()), address, message)
}

// serveMessages takes the messages of another member.
func (m *member) serveMessages(_ context.Context, s *link.Stream) error {
	m.messenger.SetAddress(string(s.Peer().ID()), s.Peer().Address())
	for {
		var message controllog.Message
		if err := s.Receive(&message); err != nil {
			return nil
		}
		if message.FromLeader() {
			m.noteLeaderMessage(s.Peer().Address())
		}
		if r := m.runner.Load(); r != nil {
			r.Deliver(message)
		}
	}
}

// state returns what the member knows of itself; zero while its disk fails.
func (m *member) state() controllog.State {
	if r := m.runner.Load(); r != nil {
		return r.State()
	}
	return controllog.State{}
}

// noteLeaderMessage notes who leads. A node whose disk fails keeps no log that could
// tell, and still hands calls on.
func (m *member) noteLeaderMessage(address string) {
	m.lastLeader.Store(&address)
	now := int64(time.Since(m.started))
	m.leaderKnownAt.Store(now)
	m.leaderMessageAt.Store(now)
}

// leaderAddress returns the link address of the leader; "" when none was heard lately.
func (m *member) leaderAddress() string {
	if address := m.state().Leader.Address(); address != "" {
		return address
	}
	if hint := m.lastLeader.Load(); hint != nil && m.quorumConfirmed() {
		return *hint
	}
	return ""
}

// quorumConfirmed tells whether a quorum's leader was heard of lately.
func (m *member) quorumConfirmed() bool {
	at := m.leaderKnownAt.Load()
	return at != 0 && time.Since(m.started)-time.Duration(at) < quorumValidity
}

// forgetLeader forgets that a leader was heard of: that was longer ago than the clock says.
func (m *member) forgetLeader(time.Duration) { m.leaderKnownAt.Store(0) }

// memberAddresses returns the link addresses of all members.
func (m *member) memberAddresses() []string {
	var addresses []string
	for _, v := range m.state().Members {
		addresses = append(addresses, v.Address())
	}
	sort.Strings(addresses)
	return addresses
}

// ----------------------------------------------------------------
// Forming and healing

func (m *member) manageMembership(ctx context.Context) {
	_ = daemon.Every(ctx, membershipInterval, func() { m.checkMembership(ctx) })
}

func (m *member) checkMembership(ctx context.Context) {
	self, state := m.self.Load(), m.state()
	if self == nil || m.runner.Load() == nil {
		return
	}
	if state.Leader.ID() != "" {
		m.leaderKnownAt.Store(int64(time.Since(m.started)))
	}
	switch {
	case isVoter(state, *self) && m.quorumConfirmedOrStarting():
		if state.Role == controllog.Leader {
			m.removeDeadVoter(ctx, *self, state)
		}
	case len(state.Members) == 0 && m.mayBootstrap(ctx, *self):
		if err := m.runner.Load().Bootstrap(ctx); err != nil {
			_ = level.Warn(m.config.logger).Log("msg", "forming failed", "err", err)
		}
	default:
		m.requestJoin(ctx, *self)
	}
}

// quorumConfirmedOrStarting tells whether a leader was heard of lately, or the node runs
// too short a time to tell. A voter that hears none may have been taken out.
func (m *member) quorumConfirmedOrStarting() bool {
	return m.quorumConfirmed() || time.Since(m.started) < 2*quorumValidity
}

// isVoter tells whether this life of the node stands among the members.
func isVoter(s controllog.State, self controllog.Member) bool {
	for _, v := range s.Members {
		if v.MemberID() == self.MemberID() {
			return true
		}
	}
	return false
}

// mayBootstrap tells whether this node is the one that forms the cluster: the first
// start is allowed, it is the first seed, and no other seed is in a cluster.
func (m *member) mayBootstrap(ctx context.Context, self controllog.Member) bool {
	seeds := append([]string(nil), m.config.seeds()...)
	sort.Strings(seeds)
	if !m.config.bootstrap || len(seeds) == 0 || seeds[0] != self.Address() {
		return false
	}
	for _, address := range seeds[1:] {
		if answer, err := m.callJoin(ctx, address, joinRequest{}); err == nil && answer.formed {
			return false
		}
	}
	return true
}

// requestJoin asks one node after the other to be taken in.
func (m *member) requestJoin(ctx context.Context, self controllog.Member) {
	tried := map[string]bool{self.Address(): true}
	queue := append(m.memberAddresses(), m.config.seeds()...)
	queue = append(queue, m.joiningAddresses()...)
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if tried[address] {
			continue
		}
		tried[address] = true
		answer, err := m.callJoin(ctx, address, joinRequest{voter: self})
		if err == nil && answer.leader != "" && !tried[answer.leader] {
			queue = append([]string{answer.leader}, queue...)
		}
		if err == nil && answer.formed && answer.leader == address {
			return
		}
	}
}

func (m *member) joiningAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for a := range m.joinAddresses {
		addresses = append(addresses, a)
	}
	sort.Strings(addresses)
	return addresses
}

func (m *member) callJoin(ctx context.Context, address string, j joinRequest) (joinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answer joinResponse
	err := m.config.endpoint.Call(ctx, address, link.KindJoin, j, &answer)
	return answer, err
}

// serveJoin takes a node in, or names the leader.
func (m *member) serveJoin(ctx context.Context, s *link.Stream) error {
	var j joinRequest
	if err := s.Receive(&j); err != nil {
		return err
	}
	m.mu.Lock()
	m.joinAddresses[s.Peer().Address()] = true
	m.mu.Unlock()
	state := m.state()
	answer := joinResponse{formed: len(state.Members) > 0, leader: state.Leader.Address()}
	if state.Role == controllog.Leader && j.voter.ID() != "" {
		if err := m.addVoter(ctx, state, j.voter); err != nil {
			_ = level.Info(m.config.logger).Log("msg", "join put off", "member", string(j.voter.MemberID()), "err", err)
		}
	}
	return s.Send(answer)
}

func (m *member) addVoter(ctx context.Context, state controllog.State, v controllog.Member) error {
	if isVoter(state, v) {
		return nil
	}
	runner := m.runner.Load()
	if runner == nil {
		return failure.New(failure.NotLeader, "this node keeps no log now")
	}
	return runner.AddMember(ctx, controllog.NewMember(v.ID(), v.Incarnation(), v.Address(), true, ""))
}

// removeDeadVoter takes one voter out that is silent and not needed: with it gone,
// a later loss leaves a quorum that counting it would not. One that comes back
// asks to be taken in again.
func (m *member) removeDeadVoter(ctx context.Context, self controllog.Member, state controllog.State) {
	if !state.CanChangeMembers {
		return
	}
	needed := 2*m.config.toleratedFailures + 1
	voters, alive := 0, 0
	var dead controllog.Member
	for _, v := range state.Members {
		silent := state.TicksSinceResponse[v.MemberID()] > removalTicks && v.MemberID() != self.MemberID()
		if silent && dead.ID() == "" {
			dead = v
		}
		if v.Learner() {
			continue
		}
		voters++
		if !silent {
			alive++
		}
	}
	if dead.ID() == "" || (!dead.Learner() && (voters <= needed || alive < needed)) {
		return
	}
	_ = level.Info(m.config.logger).Log("msg", "voter removed", "member", string(dead.MemberID()), "voters", voters, "alive", alive)
	if err := m.runner.Load().RemoveMember(ctx, dead.MemberID()); err != nil {
		_ = level.Info(m.config.logger).Log("msg", "removal put off", "err", err)
	}
}
