// ================================================================
// The node as a member of the control log. At the very first start the first seed bootstraps a
// cluster of one, and the others join it. Bootstrapping with all seeds at once would need every
// seed's incarnation before there is a log to agree on it. The leader removes silent voters that
// are not needed. A node whose disk fails keeps running: it reopens the disk until that succeeds,
// and forwards calls to the leader meanwhile.
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
	// reopenDelay is the time between two attempts to open a failing disk.
	reopenDelay = 300 * time.Millisecond
	// membershipInterval is the time between two checks of the membership.
	membershipInterval = 250 * time.Millisecond
	// joinTimeout bounds one join call to another node.
	joinTimeout = 900 * time.Millisecond
	// electionTicks is the number of ticks of 100 ms without a leader that start an election.
	electionTicks = 7
	// removalTicks is the number of ticks for which a learner, or a voter that is not needed, may
	// be silent before the leader removes it.
	removalTicks = 15
	// quorumValidity is how long contact with a leader proves that a quorum exists.
	quorumValidity = 1500 * time.Millisecond
)

// joinRequest asks a node to add a member. Without a joining node it only asks whether the node
// belongs to a cluster.
//
//wire:generate
type joinRequest struct {
	// joining is the node to add; zero if there is none.
	joining controllog.Member
}

// joinResponse is the response to a joinRequest.
//
//wire:generate
type joinResponse struct {
	// formed reports that the node belongs to a cluster.
	formed bool
	// leader is the link address of the leader; empty if it is not known.
	leader string
}

// memberConfig is the configuration of a member.
type memberConfig struct {
	identity   func(incarnation uint64) vm.Identity
	openFolder func() (*disk.Folder, error)
	// onOpen is called with each data folder that was opened, and onClose before it is closed.
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

// member is the node's membership of the control log. It is safe for concurrent use.
type member struct {
	config    memberConfig
	messenger *link.Messenger[controllog.Message]

	runner          atomic.Pointer[controllog.Runner]
	self            atomic.Pointer[controllog.Member]
	leaderKnownAt   atomic.Int64           // last time a leader was known, as nanoseconds since started; 0 if never
	leaderMessageAt atomic.Int64           // last message from a leader, as nanoseconds since started
	lastLeader      atomic.Pointer[string] // link address of the last leader that sent a message
	started         time.Time

	mu            sync.Mutex
	joinAddresses map[string]bool // link addresses of the nodes that sent a joinRequest
}

func newMember(c memberConfig) *member {
	return &member{
		config: c, started: time.Now(), joinAddresses: map[string]bool{},
		messenger: link.NewMessenger[controllog.Message](c.endpoint, link.KindControlLog),
	}
}

// run runs the member until the context ends, and restarts it after a disk failure.
func (m *member) run(ctx context.Context) error {
	defer m.messenger.Close()
	go m.manageMembership(ctx)
	go m.watchLinks(ctx)
	for ctx.Err() == nil {
		err := m.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		_ = level.Warn(m.config.logger).Log("msg", "disk failed", "err", err)
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
	_ = level.Info(m.config.logger).Log("msg", "disk opened", "member", string(self.MemberID()))
	return runner.Run(ctx)
}

func (m *member) send(to controllog.MemberID, address string, message controllog.Message) {
	m.messenger.Send(string(to.VM()), address, message)
}

// serveMessages receives the log messages of another member until its stream ends.
func (m *member) serveMessages(_ context.Context, s *link.Stream) error {
	m.messenger.SetAddress(string(s.Peer().ID()), s.Peer().Address())
	for {
		var message controllog.Message
		if err := s.Receive(&message); err != nil {
			return nil
		}
		if message.FromLeader() {
			m.recordLeaderMessage(s.Peer().Address())
		}
		if r := m.runner.Load(); r != nil {
			r.Deliver(message)
		}
	}
}

// state returns the state of the log; zero while the disk fails and the log does not run.
func (m *member) state() controllog.State {
	if r := m.runner.Load(); r != nil {
		return r.State()
	}
	return controllog.State{}
}

// recordLeaderMessage stores the address of the leader that sent a message. A node whose disk fails
// runs no log that knows the leader, and needs the address to forward calls.
func (m *member) recordLeaderMessage(address string) {
	m.lastLeader.Store(&address)
	now := int64(time.Since(m.started))
	m.leaderKnownAt.Store(now)
	m.leaderMessageAt.Store(now)
}

// recordLeaderKnown stores that a leader was known at a time.
func (m *member) recordLeaderKnown(at time.Time) {
	known := int64(at.Sub(m.started))
	if previous := m.leaderKnownAt.Load(); known > previous {
		m.leaderKnownAt.CompareAndSwap(previous, known)
	}
}

// isCurrent reports whether a state of the log tells who leads now. While a write to the disk blocks,
// the state stays as it was before.
func isCurrent(s controllog.State) bool { return time.Since(s.At) < quorumValidity }

// leads reports whether this node is the leader.
func (m *member) leads() bool {
	state := m.state()
	return state.Role == controllog.Leader && isCurrent(state)
}

// leaderAddress returns the link address of the leader; "" if none was known recently.
func (m *member) leaderAddress() string {
	state := m.state()
	if address := state.Leader.Address(); address != "" && isCurrent(state) {
		return address
	}
	if hint := m.lastLeader.Load(); hint != nil && m.quorumConfirmed() {
		return *hint
	}
	return ""
}

// quorumConfirmed reports whether a leader, and so a quorum, was known within quorumValidity.
func (m *member) quorumConfirmed() bool {
	at := m.leaderKnownAt.Load()
	return at != 0 && time.Since(m.started)-time.Duration(at) < quorumValidity
}

// forgetLeader resets the time at which a leader was last known. It is called after a suspension of
// the VM, during which the clock did not advance.
func (m *member) forgetLeader(time.Duration) { m.leaderKnownAt.Store(0) }

// memberAddresses returns the sorted link addresses of all members.
func (m *member) memberAddresses() []string {
	var addresses []string
	for _, v := range m.state().Members {
		addresses = append(addresses, v.Address())
	}
	sort.Strings(addresses)
	return addresses
}

// ----------------------------------------------------------------
// Membership

// manageMembership checks the membership regularly until the context ends.
func (m *member) manageMembership(ctx context.Context) {
	_ = daemon.Every(ctx, membershipInterval, func() { m.checkMembership(ctx) })
}

// checkMembership removes a silent member if this node leads, bootstraps the cluster if this node
// has to, and asks to join if it is not a member.
func (m *member) checkMembership(ctx context.Context) {
	self, state := m.self.Load(), m.state()
	if self == nil || m.runner.Load() == nil {
		return
	}
	if state.Leader.ID() != "" {
		m.recordLeaderKnown(state.At)
	}
	switch {
	case isMember(state, *self) && m.quorumConfirmedOrStarting():
		if state.Role == controllog.Leader {
			m.removeSilentMember(ctx, *self, state)
		}
	case len(state.Members) == 0 && m.mayBootstrap(ctx, *self):
		if err := m.runner.Load().Bootstrap(ctx); err != nil {
			_ = level.Warn(m.config.logger).Log("msg", "cluster bootstrap failed", "err", err)
		}
	default:
		m.requestJoin(ctx, *self)
	}
}

// quorumConfirmedOrStarting reports whether a leader was known recently, or the node has not run
// long enough to decide. A voter that knows no leader may have been removed.
func (m *member) quorumConfirmedOrStarting() bool {
	return m.quorumConfirmed() || time.Since(m.started) < 2*quorumValidity
}

// isMember reports whether this incarnation of the node is among the members.
func isMember(s controllog.State, self controllog.Member) bool {
	for _, v := range s.Members {
		if v.MemberID() == self.MemberID() {
			return true
		}
	}
	return false
}

// mayBootstrap reports whether this node has to bootstrap the cluster: the settings allow it, the
// node is the first seed, and no other seed reports that it belongs to a cluster.
func (m *member) mayBootstrap(ctx context.Context, self controllog.Member) bool {
	seeds := append([]string(nil), m.config.seeds()...)
	sort.Strings(seeds)
	if !m.config.bootstrap || len(seeds) == 0 || seeds[0] != self.Address() {
		return false
	}
	for _, address := range seeds[1:] {
		if response, err := m.callJoin(ctx, address, joinRequest{}); err == nil && response.formed {
			return false
		}
	}
	return true
}

// requestJoin asks one node after the other to join the cluster, until a leader has answered. The
// leader that a response names is asked next.
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
		response, err := m.callJoin(ctx, address, joinRequest{joining: self})
		if err == nil && response.leader != "" && !tried[response.leader] {
			queue = append([]string{response.leader}, queue...)
		}
		if err == nil && response.formed && response.leader == address {
			return
		}
	}
}

// joiningAddresses returns the sorted link addresses of the nodes that sent a joinRequest.
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

// callJoin sends a joinRequest to the node at address.
func (m *member) callJoin(ctx context.Context, address string, j joinRequest) (joinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var response joinResponse
	err := m.config.endpoint.Call(ctx, address, link.KindJoin, j, &response)
	return response, err
}

// serveJoin adds a node as a member if this node leads, and answers with the leader's address.
func (m *member) serveJoin(ctx context.Context, s *link.Stream) error {
	var j joinRequest
	if err := s.Receive(&j); err != nil {
		return err
	}
	m.mu.Lock()
	m.joinAddresses[s.Peer().Address()] = true
	m.mu.Unlock()
	state := m.state()
	response := joinResponse{formed: len(state.Members) > 0, leader: state.Leader.Address()}
	if state.Role == controllog.Leader && j.joining.ID() != "" {
		if err := m.addMember(ctx, state, j.joining); err != nil {
			_ = level.Info(m.config.logger).Log("msg", "adding a voter failed", "member", string(j.joining.MemberID()), "err", err)
		}
	}
	return s.Send(response)
}

// addMember adds a node to the cluster as a learner, unless it is a member already.
func (m *member) addMember(ctx context.Context, state controllog.State, v controllog.Member) error {
	if isMember(state, v) {
		return nil
	}
	runner := m.runner.Load()
	if runner == nil {
		return failure.New(failure.NotLeader, "the control log does not run on this node")
	}
	return runner.AddMember(ctx, controllog.NewMember(v.ID(), v.Incarnation(), v.Address(), true, ""))
}

// removeSilentMember removes one learner that is silent, or one voter that is silent and not
// needed: without it, a quorum may survive a later loss that it would not survive otherwise. A
// removed member that comes back joins again.
func (m *member) removeSilentMember(ctx context.Context, self controllog.Member, state controllog.State) {
	if !state.CanChangeMembers {
		return
	}
	needed := 2*m.config.toleratedFailures + 1
	voters, alive := 0, 0
	var silentMember controllog.Member
	for _, v := range state.Members {
		silent := state.TicksSinceResponse[v.MemberID()] > removalTicks && v.MemberID() != self.MemberID()
		if silent && silentMember.ID() == "" {
			silentMember = v
		}
		if v.Learner() {
			continue
		}
		voters++
		if !silent {
			alive++
		}
	}
	if silentMember.ID() == "" || (!silentMember.Learner() && (voters <= needed || alive < needed)) {
		return
	}
	_ = level.Info(m.config.logger).Log("msg", "removing a silent voter", "member", string(silentMember.MemberID()), "voters", voters, "alive", alive)
	if err := m.runner.Load().RemoveMember(ctx, silentMember.MemberID()); err != nil {
		_ = level.Info(m.config.logger).Log("msg", "removing a voter failed", "err", err)
	}
}
