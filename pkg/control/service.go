// ================================================================
// The operations for operators and backend servers, independent of the protocol. Any node accepts
// any call; commands and confirmed reads are forwarded to the leader. A command can only increase a
// number or version, so a call whose outcome is unknown can be retried.
// ================================================================

package control

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// requestTimeout bounds a call: operators try another node after a second.
	requestTimeout = 900 * time.Millisecond
	// leaderRetryDelay is the time between two attempts to reach the leader.
	leaderRetryDelay = 30 * time.Millisecond
)

// leaderRequest is a call forwarded to the leader.
//
//wire:generate
type leaderRequest struct {
	// data is the encoded command; empty for a confirmed read or a trial request.
	data []byte
	// trial is the fingerprint of the quarantined request that a gateway asks to try again; else
	// empty.
	trial quarantine.Fingerprint
	// tester identifies the gateway that asks for the trial; else empty.
	tester string
	// appliedNumber is, in a read, the number of the configuration that the calling node has applied.
	appliedNumber uint64
}

// leaderResponse is the leader's response to a leaderRequest.
//
//wire:generate
type leaderResponse struct {
	// configuration is, for a read, the newest configuration; nil if there is none or the calling
	// node has applied it.
	configuration *Configuration
	// number is, for a read, the number of the newest configuration; 0 if there is none.
	number uint64
	// evacuation is the outcome of a command that changes whether a failure domain is evacuated.
	evacuation placement.Outcome
}

// Service implements the operations of a control node. It is safe for concurrent use.
type Service struct {
	state    *State
	member   *member
	registry *registry.Table
	// quarantine holds the records of requests that crash backend servers.
	quarantine *quarantine.Table
	// onRecordsChanged is called with the quarantine records that changed.
	onRecordsChanged func(changed []quarantine.Record)
	publisher        *feed.Publisher
	regions          map[string]string // of the failure domains in the settings
	endpoint         *link.Endpoint
	logger           log.Logger
	metrics          *metrics
}

// PutConfiguration commits a configuration to the control log. A configuration whose number is not
// higher than the current one is acknowledged and changes nothing. It fails with BadDocument if the
// document is invalid.
func (s *Service) PutConfiguration(ctx context.Context, c Configuration) error {
	if err := c.document.Check(); err != nil {
		s.logChange("configuration", c.document.Number(), "refused", err)
		return err
	}
	if c.document.Number() <= s.state.DocumentNumber() {
		s.logChange("configuration", c.document.Number(), "held already", nil)
		return nil
	}
	_, err := s.propose(ctx, command{configuration: &c})
	s.logChange("configuration", c.document.Number(), "agreed", err)
	return err
}

// NameVersion commits a version of a model's weights to the control log. A version that is not
// higher than the current one is acknowledged and changes nothing.
func (s *Service) NameVersion(ctx context.Context, model string, version uint64) error {
	if model == "" || version == 0 {
		return failure.New(failure.BadDocument, "model %q, version %d: a model name and a version of at least 1 are required", model, version)
	}
	if version <= s.state.NewestVersion(model) {
		s.logChange("weights", version, "held already", nil)
		return nil
	}
	_, err := s.propose(ctx, command{version: &ModelVersion{model, version}})
	s.logChange("weights", version, "agreed", err)
	return err
}

// ReadConfiguration returns the newest configuration, confirmed by a quorum. If this node has
// applied it already, the leader sends only its number: on a link that is saturated with documents,
// a large document takes longer than requestTimeout. It fails with UnknownObject if there is none.
func (s *Service) ReadConfiguration(ctx context.Context) (Configuration, error) {
	response, err := s.callLeader(ctx, leaderRequest{appliedNumber: s.state.DocumentNumber()})
	switch {
	case err != nil:
		return Configuration{}, err
	case response.configuration != nil:
		return *response.configuration, nil
	case response.number == 0:
		return Configuration{}, failure.New(failure.UnknownObject, "no configuration has been set")
	}
	return *s.state.Configuration(), nil
}

// ReceiveHeartbeat processes a heartbeat of a backend server. That a server drains is acknowledged
// once the control nodes have agreed on it.
func (s *Service) ReceiveHeartbeat(r registry.Registration) error {
	if err := s.checkService(r); err != nil {
		return err
	}
	changed := s.registry.Receive(r)
	if changed {
		s.publisher.QueueRegistrations(r)
		s.logRegistration(r, sourceServer)
	}
	s.metrics.heartbeats.Inc()
	if r.State() == registry.Draining {
		return s.agreeOnDeparture(r)
	}
	return nil
}

// checkService rejects a heartbeat that names an unconfigured service if its incarnation is
// registered for a configured one: it comes from another program and must not replace the
// registration of a backend server. A new incarnation may register before its service is
// configured.
func (s *Service) checkService(r registry.Registration) error {
	held, known := s.registry.Get(r.Incarnation())
	d := s.state.Document()
	if !known || d == nil || held.Service() == r.Service() || d.HasService(r.Service()) || !d.HasService(held.Service()) {
		return nil
	}
	return failure.New(failure.BadRequest, "incarnation %q belongs to service %q, and service %q is not configured", r.Incarnation(), held.Service(), r.Service())
}

// Deregister marks a backend server as gone. It is acknowledged once the control nodes have agreed on it.
func (s *Service) Deregister(incarnation string) error {
	r, changed := s.registry.MarkGone(incarnation)
	if changed {
		s.publisher.QueueRegistrations(r)
		s.logRegistration(r, sourceServer)
	}
	return s.agreeOnDeparture(r)
}

// agreeOnDeparture commits to the control log that a backend server drains or has left. A server does not
// repeat what was acknowledged, so the nodes must know it even if this one is killed. The followers of this
// node are told before, since the departure is a fact whether or not the nodes agree.
func (s *Service) agreeOnDeparture(r registry.Registration) error {
	if err := s.requireQuorum(); err != nil {
		return err
	}
	if s.state.departures.Covers(r) {
		return nil
	}
	started := time.Now()
	departure := s.state.departures.AsOfNow(r)
	_, err := s.propose(context.Background(), command{departure: &departure})
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "departure not agreed", "backend", r.Incarnation(), "state", string(r.State()), "err", err)
		return err
	}
	_ = level.Info(s.logger).Log("msg", "departure agreed", "backend", r.Incarnation(), "state", string(r.State()), "ms", time.Since(started).Milliseconds())
	return nil
}

// receiveDepartures processes the departures that this node has applied from the control log.
func (s *Service) receiveDepartures(departed []registry.Registration) {
	for _, r := range departed {
		_ = level.Info(s.logger).Log("msg", "departure applied", "backend", r.Incarnation(), "state", string(r.State()))
	}
	s.receiveRelayed(sourceLog, departed)
}

// requireQuorum fails with NoQuorum unless a quorum is confirmed.
func (s *Service) requireQuorum() error {
	if s.member.quorumConfirmed() {
		return nil
	}
	return failure.New(failure.NoQuorum, "this node has no contact with a quorum; another node may have")
}

// ----------------------------------------------------------------
// Calls to the leader

// propose commits a command through the leader.
func (s *Service) propose(ctx context.Context, c command) (leaderResponse, error) {
	data, err := msgpack.Marshal(c)
	if err != nil {
		return leaderResponse{}, failure.New(failure.Internal, "a command cannot be encoded: %v", err)
	}
	return s.callLeader(ctx, leaderRequest{data: data})
}

// callLeader sends a request to the leader, and retries until it succeeds or requestTimeout ends.
func (s *Service) callLeader(ctx context.Context, r leaderRequest) (leaderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for {
		response, err := s.callLeaderOnce(ctx, r)
		if err == nil {
			return response, nil
		}
		select {
		case <-ctx.Done():
			return response, failure.New(failure.NoQuorum, "no leader answered in time: %v", err)
		case <-time.After(leaderRetryDelay):
		}
	}
}

// callLeaderOnce sends a request to the leader, or executes it if this node leads.
func (s *Service) callLeaderOnce(ctx context.Context, r leaderRequest) (leaderResponse, error) {
	if s.member.leads() {
		return s.execute(ctx, r)
	}
	leader := s.member.leaderAddress()
	if leader == "" {
		return leaderResponse{}, failure.New(failure.NoQuorum, "no leader is known")
	}
	// A leader whose disk hangs does not answer. A third of the timeout leaves time for its
	// successor.
	ctx, cancel := context.WithTimeout(ctx, requestTimeout/3)
	defer cancel()
	var response leaderResponse
	err := s.endpoint.Call(ctx, leader, link.KindControlCall, r, &response)
	return response, err
}

// execute executes a request on the leader.
func (s *Service) execute(ctx context.Context, r leaderRequest) (leaderResponse, error) {
	runner := s.member.runner.Load()
	if runner == nil {
		return leaderResponse{}, failure.New(failure.NotLeader, "the control log does not run on this node")
	}
	if len(r.data) > 0 {
		applied, err := runner.Propose(ctx, r.data)
		outcome, _ := applied.(placement.Outcome) // other commands have none
		return leaderResponse{evacuation: outcome}, err
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

// readResponse returns the answer to a read by a node that has applied a configuration with number
// appliedNumber; 0 if it has applied none.
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

// serveLeaderCall executes a request that another node forwards.
func (s *Service) serveLeaderCall(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(requestTimeout))
	var r leaderRequest
	if err := stream.Receive(&r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := s.execute(ctx, r)
	if err != nil {
		return err
	}
	return stream.Send(response)
}

// ----------------------------------------------------------------
// Logs

// logChange logs the outcome of a change by an operator.
func (s *Service) logChange(subject string, number uint64, outcome string, err error) {
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "change", "of", subject, "number", number, "outcome", "not "+outcome, "err", err)
		return
	}
	_ = level.Info(s.logger).Log("msg", "change", "of", subject, "number", number, "outcome", outcome)
}

// Sources of a registration in log lines. One that another node relayed has the node's address.
const (
	sourceServer  = "server"
	sourceTimeout = "timeout"
)

// logRegistration logs a registration that changed, with the source from which this node learned of it.
func (s *Service) logRegistration(r registry.Registration, source string) {
	_ = level.Info(s.logger).Log("msg", "registration", "backend", r.Incarnation(), "service", r.Service(),
		"address", r.Address(), "state", string(r.State()), "sequence", r.Sequence(), "from", source)
}
