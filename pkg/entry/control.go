// ================================================================
// Runs the control log on an entry that is a voter: sends and receives its messages
// over links, and carries out operators' changes of voters.
// ================================================================

package entry

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/agreed"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

// operatorTimeout bounds how long an operator's call waits for a quorum.
const operatorTimeout = 5 * time.Second

func (e *Entry) openControlLog(folder *disk.Folder) error {
	e.stateMachine = agreed.NewMachine(e.state)
	self := controllog.NewMember(e.process.Identity.ID(), e.process.Identity.Incarnation(), e.process.Identity.Address(), false, "")
	runner, err := controllog.NewRunner(controllog.RunnerConfig{
		Self:    self,
		Folder:  folder,
		Machine: e.stateMachine.StateMachine(),
		Send:    e.sendControlLogMessage,
		Record:  e.process.Recorder.Record,
		Logger:  e.process.Logger,
		Seed:    e.process.Identity.Incarnation(),
	})
	e.runner = runner
	return err
}

// runControlLog runs the voter. A voter whose disk fails stops, while the entry
// continues to route requests and refuses changes.
func (e *Entry) runControlLog(ctx context.Context) error {
	go e.watchLeader(ctx)
	if err := e.runner.Run(ctx); err != nil {
		e.metrics.voterStopped.Set(1)
	}
	<-ctx.Done()
	return nil
}

// leaderPollInterval is the interval between checks for a leader.
const leaderPollInterval = 500 * time.Millisecond

// watchLeader records when a leader was last known. The configuration sent to
// followers is marked "confirmed" only if that was recently.
func (e *Entry) watchLeader(ctx context.Context) {
	_ = daemon.Every(ctx, leaderPollInterval, func() {
		s := e.runner.State()
		e.recordLeader(s)
		e.metrics.term.Set(float64(s.Term))
		e.metrics.isLeader.Set(gaugeValue(s.Role == controllog.Leader))
	})
}

// recordLeader records that a leader was known when a state of the log was taken, which may be long ago while a
// write to the disk blocks.
func (e *Entry) recordLeader(s controllog.State) {
	if s.Leader.ID() != "" {
		e.leaderSeenAt.Store(s.At.UnixNano())
	}
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ----------------------------------------------------------------
// Messages

func (e *Entry) sendControlLogMessage(to controllog.MemberID, address string, m controllog.Message) {
	e.peers.Send(string(to.VM()), address, m)
}

func (e *Entry) serveControlLog(_ context.Context, s *link.Stream) error {
	if e.runner == nil {
		return failure.New(failure.BadRequest, "this entry keeps no control log")
	}
	e.peers.SetAddress(string(s.Peer().ID()), s.Peer().Address())
	for {
		var m controllog.Message
		if err := s.Receive(&m); err != nil {
			return nil
		}
		e.runner.Deliver(m)
	}
}

// ----------------------------------------------------------------
// Changes of voters

func (e *Entry) serveVoterIdentity(_ context.Context, s *link.Stream) error {
	if e.runner == nil {
		return failure.New(failure.BadVoterChange, "this entry keeps no control log; set control_log.voter")
	}
	return s.Send(e.process.Identity)
}

func (e *Entry) serveVoterChange(ctx context.Context, s *link.Stream) error {
	var c contract.VoterChange
	if err := s.Receive(&c); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if e.runner == nil {
		return failure.New(failure.NotLeader, "this entry keeps no control log")
	}
	applyChange := voterActions[c.Action()]
	if applyChange == nil {
		return failure.New(failure.BadRequest, "voter action %q", c.Action())
	}
	if c.Action() != contract.VoterBootstrap {
		if forwarded, err := e.forwardToLeader(ctx, s, c); forwarded {
			return err
		}
	}
	if err := applyChange(e, ctx, c); err != nil {
		return err
	}
	return s.Send(contract.NewAcknowledgement(string(c.Action()) + " accepted"))
}

// forwardToLeader forwards a change of voters when another entry is the leader, and
// reports whether it did.
func (e *Entry) forwardToLeader(ctx context.Context, s *link.Stream, c contract.VoterChange) (bool, error) {
	state := e.runner.State()
	if state.Role == controllog.Leader || state.Leader.Address() == "" {
		return false, nil
	}
	var a contract.Acknowledgement
	if err := e.process.Endpoint.Call(ctx, state.Leader.Address(), link.KindVoterChange, c, &a); err != nil {
		return true, err
	}
	return true, s.Send(a)
}

// voterActions maps each action to its implementation.
var voterActions = map[contract.VoterAction]func(*Entry, context.Context, contract.VoterChange) error{
	contract.VoterBootstrap: (*Entry).bootstrap,
	contract.VoterAdd:       (*Entry).addVoter,
	contract.VoterRemove:    (*Entry).removeVoter,
}

func (e *Entry) bootstrap(ctx context.Context, _ contract.VoterChange) error {
	return e.runner.Bootstrap(ctx)
}

// addVoter queries the new voter for its identity first. An operator then need not
// enter the incarnation, and a reformatted data folder is detected.
func (e *Entry) addVoter(ctx context.Context, c contract.VoterChange) error {
	var identity vm.Identity
	if err := e.process.Endpoint.Call(ctx, c.Address(), link.KindVoterIdentity, contract.Acknowledgement{}, &identity); err != nil {
		return err
	}
	return e.runner.AddMember(ctx, controllog.NewMember(identity.ID(), identity.Incarnation(), identity.Address(), true, ""))
}

func (e *Entry) removeVoter(ctx context.Context, c contract.VoterChange) error {
	for _, v := range e.runner.State().Members {
		if string(v.ID()) == c.ID() && (c.Incarnation() == 0 || c.Incarnation() == v.Incarnation()) {
			return e.runner.RemoveMember(ctx, v.MemberID())
		}
	}
	return failure.New(failure.UnknownObject, "%q is not a member", c.ID())
}
