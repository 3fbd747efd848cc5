// ================================================================
// Proposals: commands for the control log, sent from any entry to the leader.
//
// Commands are idempotent: a change has an ID, and a claim and its outcome carry their
// attempt ID. A proposal whose result was lost is therefore sent again until the
// context ends.
// ================================================================

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/agreed"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// proposalTimeout bounds one call to one entry.
	proposalTimeout = 2 * time.Second
	// proposalRetryInterval is the delay between two rounds over the entries.
	proposalRetryInterval = 100 * time.Millisecond
)

// proposer finds the leader and sends it commands.
type proposer struct {
	entry *Entry

	mu     sync.Mutex
	leader string // address of the last known leader, or localVoter
}

func newProposer(e *Entry) *proposer { return &proposer{entry: e} }

// propose sends a command to the leader and decodes its result into result. After a
// failure with RanUnknown the command may still be applied.
func (p *proposer) propose(ctx context.Context, kind agreed.CommandKind, command, result any) error {
	body, err := msgpack.Marshal(command)
	if err != nil {
		return err
	}
	proposal := contract.NewProposal(uint8(kind), body)
	proposalErr := error(failure.New(failure.NoQuorum, "no leader of the control log can be reached"))
	for {
		for _, address := range p.candidates() {
			response, err := p.proposeTo(ctx, address, proposal)
			if err == nil {
				return msgpack.Unmarshal(response.Body(), result)
			}
			proposalErr = combineErrors(proposalErr, err)
			if ctx.Err() != nil {
				return proposalErr
			}
		}
		select {
		case <-time.After(proposalRetryInterval):
		case <-ctx.Done():
			return proposalErr
		}
	}
}

// combineErrors keeps an unknown outcome: if an earlier call may have been accepted,
// a refusal of a later one doesn't change that.
func combineErrors(old, err error) error {
	if failure.Of(old).Ran() != failure.NotRun {
		return old
	}
	if failure.Of(err).Ran() != failure.NotRun {
		return failure.New(failure.NoQuorum, "%s", failure.Of(err).Message()).WithRan(failure.RanUnknown)
	}
	return old
}

// localVoter is the address of this entry's own voter in the list of candidates.
const localVoter = ""

// candidates returns the addresses to try in order: the last known leader, this
// entry's own voter, all other entries.
func (p *proposer) candidates() []string {
	p.mu.Lock()
	leader := p.leader
	p.mu.Unlock()
	var candidates []string
	if leader != "" {
		candidates = append(candidates, leader)
	}
	if p.entry.runner != nil {
		candidates = append(candidates, localVoter)
	}
	for _, address := range p.entry.settings.Entries() {
		if address != leader {
			candidates = append(candidates, address)
		}
	}
	return candidates
}

func (p *proposer) proposeTo(ctx context.Context, address string, proposal contract.Proposal) (contract.ProposalResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	var response contract.ProposalResult
	if address == localVoter {
		response = p.entry.proposeLocally(ctx, proposal)
	} else if err := p.entry.process.Endpoint.Call(ctx, address, link.KindPropose, proposal, &response); err != nil {
		p.setLeader("")
		return response, err
	}
	p.setLeader(response.Leader())
	if response.Refusal() != nil {
		return response, response.Refusal()
	}
	return response, nil
}

func (p *proposer) setLeader(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address == p.entry.process.Identity.Address() {
		address = localVoter
	}
	p.leader = address
}

// ----------------------------------------------------------------
// Serving proposals on the leader

func (e *Entry) serveProposal(ctx context.Context, s *link.Stream) error {
	var p contract.Proposal
	if err := s.Receive(&p); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	return s.Send(e.proposeLocally(ctx, p))
}

// proposeLocally proposes a command to this entry's own voter.
func (e *Entry) proposeLocally(ctx context.Context, p contract.Proposal) contract.ProposalResult {
	if e.runner == nil {
		return refusedProposal("", failure.New(failure.NotLeader, "this entry keeps no control log"))
	}
	state := e.runner.State()
	leader := state.Leader.Address()
	if state.Role != controllog.Leader {
		return refusedProposal(leader, failure.New(failure.NotLeader, "this voter is %s", state.Role))
	}
	command, err := msgpack.Marshal(agreed.NewCommand(agreed.CommandKind(p.Kind()), time.Now().UnixNano(), p.Body()))
	if err != nil {
		return refusedProposal(leader, failure.Of(err))
	}
	value, err := e.runner.Propose(ctx, command)
	if err != nil {
		return refusedProposal(leader, failure.Of(err))
	}
	if f, ok := value.(error); ok {
		return refusedProposal(leader, failure.Of(f))
	}
	body, err := msgpack.Marshal(value)
	if err != nil {
		return refusedProposal(leader, failure.Of(err))
	}
	return contract.NewProposalResult(body, leader, nil)
}

func refusedProposal(leader string, f *failure.Failure) contract.ProposalResult {
	return contract.NewProposalResult(nil, leader, f)
}
