// ================================================================
// Serves the operators' commands apply, get and status.
// ================================================================

package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/tidepost/tidepost/pkg/agreed"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/source"
)

func revisionText(revision uint64) string { return "revision " + strconv.FormatUint(revision, 10) }

// applyTimeout bounds an apply, including the resolution of version names.
const applyTimeout = 10 * time.Second

func (e *Entry) serveApply(ctx context.Context, s *link.Stream) error {
	var a contract.ApplyRequest
	if err := s.Receive(&a); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	objects, err := e.resolveModels(ctx, a)
	if err != nil {
		return err
	}
	c := a.Change()
	change := contract.NewChange(c.ID(), c.Operator(), c.Base(), objects, c.Content())
	var result contract.ChangeResult
	if err := e.proposals.propose(ctx, agreed.CommandChange, change, &result); err != nil {
		return err
	}
	if result.Refusal() != nil {
		e.process.Recorder.Record(event.ConfigRefused, c.Operator(), result.Refusal().Message())
	}
	return s.Send(result)
}

// resolveModels returns the objects of a change, with a model object for each version
// name. Each name is resolved to a manifest once, here, so that all VMs use the same
// digest.
func (e *Entry) resolveModels(ctx context.Context, a contract.ApplyRequest) ([]contract.Object, error) {
	objects := append([]contract.Object(nil), a.Change().Objects()...)
	sources := e.state.View().Sources()
	for _, o := range objects {
		if o.Kind() != contract.KindSource || o.Deleted() {
			continue
		}
		spec, err := contract.DecodeBody[contract.Source](o)
		if err != nil {
			return nil, err
		}
		sources = append([]contract.Source{spec}, sources...)
	}
	for _, name := range a.Models() {
		manifest, err := e.resolveModel(ctx, sources, name)
		if err != nil {
			return nil, err
		}
		o, err := contract.EncodeObject(contract.KindModel, contract.ModelKey(name.Model(), name.Version()),
			contract.NewModel(name.Model(), name.Version(), manifest))
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return objects, nil
}

func fetchManifest(ctx context.Context, url string, name contract.ModelVersion) (contract.Manifest, error) {
	return source.NewClient(url).FetchManifest(ctx, name.Model(), name.Version())
}

func (e *Entry) resolveModel(ctx context.Context, sources []contract.Source, name contract.ModelVersion) (contract.Manifest, error) {
	last := error(failure.New(failure.SourceRefused, "no source is configured; apply one with kind source"))
	for _, spec := range sources {
		manifest, err := e.hooks.FetchManifest(ctx, spec.URL(), name)
		if err == nil {
			return manifest, nil
		}
		last = err
	}
	return contract.Manifest{}, last
}

func (e *Entry) serveQuery(ctx context.Context, s *link.Stream) error {
	var q contract.Query
	if err := s.Receive(&q); err != nil {
		return err
	}
	confirmed := false
	if q.Confirmed() && e.runner != nil {
		readContext, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		if err := e.runner.ConfirmedRead(readContext); err != nil {
			return err
		}
		confirmed = true
	}
	revision, objects := e.state.Objects(q.Kind(), q.Name())
	return s.Send(contract.NewQueryResult(revision, confirmed, objects))
}

func (e *Entry) serveStatus(_ context.Context, s *link.Stream) error {
	var q contract.Acknowledgement
	if err := s.Receive(&q); err != nil {
		return err
	}
	return s.Send(e.status())
}

func (e *Entry) status() contract.Status {
	now := time.Now()
	var agents []contract.AgentStatus
	for _, a := range e.agents.Agents() {
		agents = append(agents, contract.NewAgentStatus(a.LastHeartbeat, now.Sub(a.Received).Seconds(), a.Leaving))
	}
	var leader string
	var term uint64
	var voters []contract.MemberStatus
	if e.runner != nil {
		state := e.runner.State()
		leader, term = string(state.Leader.ID()), state.Term
		for _, v := range state.Members {
			voters = append(voters, contract.NewMemberStatus(string(v.ID()), v.Incarnation(), v.Address(), v.Learner(), state.Match[v.MemberID()]))
		}
	}
	return contract.NewStatus(e.process.Identity, e.state.Revision(), leader, term, voters, agents, e.entries.live(now))
}
