// ================================================================
// What a control node does for operators and backend servers, apart from the
// protocol that they speak. Any node takes any call; what needs agreement goes
// to the leader. All commands only raise what is held, so a call whose outcome
// is unknown is simply made again.
// ================================================================

package control

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// requestTimeout bounds a call: operators go to another node after a second.
	requestTimeout = 900 * time.Millisecond
	// leaderRetryDelay lies between two tries to reach the leader.
	leaderRetryDelay = 30 * time.Millisecond
)

// leaderRequest is a call handed to the leader.
//
//wire:generate
type leaderRequest struct {
	// data is the encoded command; empty for a confirmed read.
	data []byte
	// trial is a barred request that a gateway asks to try once more, and tester the
	// gateway; both empty in other calls.
	trial  quarantine.Fingerprint
	tester string
	// appliedNumber is the number of the configuration that the asking node has applied, in a read.
	appliedNumber uint64
}

// leaderResponse is the leader's answer.
//
//wire:generate
type leaderResponse struct {
	// configuration is the newest, in answer to a read; nil where there is none, or the asking
	// node holds it.
	configuration *Configuration
	// number is that of the newest, in answer to a read; 0 where there is none.
	number uint64
}

// Service is what a control node does for others. It is safe for concurrent
// use.
type Service struct {
	state    *State
	member   *member
	registry *registry.Table
	// quarantine is what gateways told of requests under which servers ended.
	quarantine *quarantine.Table
	// onRecordsChanged gets the records that changed.
	onRecordsChanged func(changed []quarantine.Record)
	publisher        *feed.Publisher
	endpoint         *link.Endpoint
	logger           log.Logger
	metrics          *metrics
}

// PutConfiguration has a configuration agreed on. One whose number is not
// above the one held is acknowledged and changes nothing. A refused one fails
// with BadDocument.
func (s *Service) PutConfiguration(ctx context.Context, c Configuration) error {
	if err := c.document.Check(); err != nil {
		s.logChange("configuration", c.document.Number(), "refused", err)
		return err
	}
	if c.document.Number() <= s.state.ConfigurationNumber() {
		s.logChange("configuration", c.document.Number(), "held already", nil)
		return nil
	}
	err := s.propose(ctx, command{configuration: &c})
	s.logChange("configuration", c.document.Number(), "agreed", err)
	return err
}

// NameVersion has a version of a model's weights agreed on.
func (s *Service) NameVersion(ctx context.Context, model string, version uint64) error {
	if model == "" || version == 0 {
		return failure.New(failure.BadDocument, "model %q, version %d: a name and a version from 1 are needed", model, version)
	}
	if version <= s.state.NewestVersion(model) {
		s.logChange("weights", version, "held already", nil)
		return nil
	}
	err := s.propose(ctx, command{version: &ModelVersion{model, version}})
	s.logChange("weights", version, "agreed", err)
	return err
}

// ReadConfiguration returns the newest configuration, confirmed by a quorum. Where this node
// has applied it already only its number comes from the leader: a large document would take
// longer than a call may on a link that is full of them.
// It fails with UnknownObject when there is none yet.
func (s *Service) ReadConfiguration(ctx context.Context) (Configuration, error) {
	answer, err := s.callLeader(ctx, leaderRequest{appliedNumber: s.state.ConfigurationNumber()})
	switch {
	case err != nil:
		return Configuration{}, err
	case answer.configuration != nil:
		return *answer.configuration, nil
	case answer.number == 0:
		return Configuration{}, failure.New(failure.UnknownObject, "no configuration was ever sent")
	}
	return *s.state.Configuration(), nil
}

// ReceiveHeartbeat takes the word of a backend server. The word that it leaves is only
// taken by a node that hears a quorum: followers of a node that is cut off
// would not learn of it.
func (s *Service) ReceiveHeartbeat(r registry.Registration) error {
	if err := s.checkService(r); err != nil {
		return err
	}
	changed := s.registry.Receive(r)
	if changed {
		s.publisher.QueueRegistrations(r)
		s.logRegistration(r)
	}
	s.metrics.heartbeats.Inc()
	if r.State() == registry.Draining {
		return s.requireQuorum()
	}
	return nil
}

// checkService refuses a word of a service that nobody has configured where its incarnation
// is known as one of a service that is: another program wrote it, and what it names must not
// take the place of a backend server. Before it is configured a service may have servers.
func (s *Service) checkService(r registry.Registration) error {
	held, known := s.registry.Get(r.Incarnation())
	d := s.state.Document()
	if !known || d == nil || held.Service() == r.Service() || d.HasService(r.Service()) || !d.HasService(held.Service()) {
		return nil
	}
	return failure.New(failure.BadRequest, "incarnation %q is one of service %q, and no service %q is configured", r.Incarnation(), held.Service(), r.Service())
}

// Deregister takes the word that a backend server is gone.
func (s *Service) Deregister(incarnation string) error {
	r, changed := s.registry.Leave(incarnation)
	if changed {
		s.publisher.QueueRegistrations(r)
		s.logRegistration(r)
	}
	return s.requireQuorum()
}

func (s *Service) requireQuorum() error {
	if s.member.quorumConfirmed() {
		return nil
	}
	return failure.New(failure.NoQuorum, "this node hears no quorum; another one may")
}

// ----------------------------------------------------------------
// Agreement

func (s *Service) propose(ctx context.Context, c command) error {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return failure.New(failure.Internal, "a command cannot be encoded: %v", err)
	}
	_, err = s.callLeader(ctx, leaderRequest{data: data})
	return err
}

// callLeader hands a command or a read to the leader until it answers or the time
// is over.
func (s *Service) callLeader(ctx context.Context, r leaderRequest) (leaderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		answer, err := s.callLeaderOnce(ctx, r)
		if err == nil {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return answer, failure.New(failure.NoQuorum, "no leader answered in time: %v", err)
		case <-time.After(leaderRetryDelay):
		}
	}
}

func (s *Service) callLeaderOnce(ctx context.Context, r leaderRequest) (leaderResponse, error) {
	if s.member.state().Role == controllog.Leader {
		return s.execute(ctx, r)
	}
	leader := s.member.leaderAddress()
	if leader == "" {
		return leaderResponse{}, failure.New(failure.NoQuorum, "no leader is known")
	}
	// A leader whose disk hangs does not answer; a third of the time leaves
	// room for the one after it.
	ctx, cancel := context.WithTimeout(ctx, requestTimeout/3)
	defer cancel()
	var answer leaderResponse
	err := s.endpoint.Call(ctx, leader, link.KindControlCall, r, &answer)
	return answer, err
}

// execute carries a call out on the leader.
func (s *Service) execute(ctx context.Context, r leaderRequest) (leaderResponse, error) {
	runner := s.member.runner.Load()
	if runner == nil {
		return leaderResponse{}, failure.New(failure.NotLeader, "this node keeps no log now")
	}
	if len(r.data) > 0 {
		_, err := runner.Propose(ctx, r.data)
		return leaderResponse{}, err
	}
	if err := runner.ConfirmedRead(ctx); err != nil {
		return leaderResponse{}, err
	}
	if r.trial != "" {
		s.grantTrial(r.trial, r.tester)
		return leaderResponse{}, nil
	}
	return readResponse(r.appliedNumber, s.state.Configuration()), nil
}

// readResponse answers a read of a node that holds a configuration already; 0 for none.
func readResponse(appliedNumber uint64, newest *Configuration) leaderResponse {
	if newest == nil {
		return leaderResponse{}
	}
	number := newest.document.Number()
	if number > 0 && appliedNumber >= number {
		return leaderResponse{number: number}
	}
	return leaderResponse{configuration: newest, number: number}
}

// serveLeaderCall carries out a call that another node hands on.
func (s *Service) serveLeaderCall(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(requestTimeout))
	var r leaderRequest
	if err := stream.Receive(&r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := s.execute(ctx, r)
	if err != nil {
		return err
	}
	return stream.Send(answer)
}

// ----------------------------------------------------------------
// Logs

func (s *Service) logChange(subject string, number uint64, outcome string, err error) {
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "change", "of", subject, "number", number, "outcome", "not "+outcome, "err", err)
		return
	}
	_ = level.Info(s.logger).Log("msg", "change", "of", subject, "number", number, "outcome", outcome)
}

func (s *Service) logRegistration(r registry.Registration) {
	_ = level.Info(s.logger).Log("msg", "registration", "backend", r.Incarnation(), "service", r.Service(),
		"address", r.Address(), "state", string(r.State()), "sequence", r.Sequence())
}
