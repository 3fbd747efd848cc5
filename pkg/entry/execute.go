// ================================================================
// Executes one request: chooses a replica, sends the request and passes the response on.
//
// A failed attempt is retried only if no part of a response was sent to the caller, and
// the request certainly did not run or may be repeated, and the retry budget allows it.
// Any other failure ends the request.
// ================================================================

package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/membership"
	"github.com/tidepost/tidepost/pkg/route"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// pendingRequest is a request that the entry executes, with the state of its attempts.
type pendingRequest struct {
	request contract.Request
	prefix  string
	// forwarded is set when another entry sent the request. It is then not forwarded
	// to a further failure domain.
	forwarded bool
	tried     map[string]bool // addresses of the targets used so far
	attempts  int
}

// target is the agent or entry that an attempt is sent to.
type target struct {
	address string
	digest  contract.Digest
	kind    link.Kind
	replica *route.Replica // nil when the target is another entry
}

// sink receives the parts of a response. started is set once a part was written to
// the caller.
type sink struct {
	write   func(contract.ResponsePart) error
	started bool
}

// execute runs a request with retries and writes its response to out.
func (e *Entry) execute(ctx context.Context, p *pendingRequest, out *sink) error {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.budget.RecordRequest()
	p.tried = map[string]bool{}
	ran := failure.NotRun
	for {
		err := e.attempt(ctx, p, out)
		if err == nil {
			return nil
		}
		f := failure.Of(err)
		// If one attempt may have run, a later attempt that did not run doesn't change that.
		ran = max(ran, f.Ran())
		if !e.mayRetry(ctx, p, out, f) {
			if e.hooks.Faults.ReportNotRun {
				ran = failure.NotRun
			}
			return f.WithRan(ran)
		}
		e.metrics.retries.Inc()
	}
}

// mayRetry reports whether another attempt is safe, may succeed, and is within the
// retry budget.
func (e *Entry) mayRetry(ctx context.Context, p *pendingRequest, out *sink, f *failure.Failure) bool {
	if out.started || ctx.Err() != nil || p.attempts == 0 || p.attempts >= maxAttempts {
		return false
	}
	if f.Ran() != failure.NotRun && !p.request.Repeatable() && !e.hooks.Faults.RetryAlways {
		return false
	}
	return retryable[f.Kind()] && e.budget.TryRetry()
}

// retryable are the kinds of failure that may not occur on another replica.
var retryable = map[failure.Kind]bool{
	failure.Draining:       true,
	failure.WrongVersion:   true,
	failure.Overloaded:     true,
	failure.Unreachable:    true,
	failure.BackendFailed:  true,
	failure.OutcomeUnknown: true,
	failure.UnknownService: true,
	failure.NotReady:       true,
}

// attempt makes one attempt. Without a target it fails with NotRun and doesn't count
// as an attempt.
func (e *Entry) attempt(ctx context.Context, p *pendingRequest, out *sink) error {
	t, err := e.chooseTarget(p)
	if err != nil {
		return err
	}
	p.attempts++
	p.tried[t.address] = true
	r := p.request.ForAttempt(fmt.Sprintf("%s/%d", p.request.Attempt(), p.attempts), t.digest)
	if t.replica == nil {
		return e.send(ctx, t, r, out)
	}
	t.replica.RequestSent()
	err = e.send(ctx, t, r, out)
	t.replica.RequestEnded(0, isReplicaFailure(err), time.Now())
	return err
}

// isReplicaFailure reports whether a failure counts against the replica in routing.
func isReplicaFailure(err error) bool {
	if err == nil {
		return false
	}
	kind := failure.Of(err).Kind()
	return kind == failure.BackendFailed || kind == failure.Unreachable || kind == failure.OutcomeUnknown
}

// ----------------------------------------------------------------
// Choosing

// chooseTarget picks a replica of this failure domain, or else an entry of another
// failure domain that has the digest ready or serves the service.
func (e *Entry) chooseTarget(p *pendingRequest) (target, error) {
	now := time.Now()
	candidates := e.candidates(p, now)
	if t, ok := e.pickReplica(candidates, p, now); ok {
		return t, nil
	}
	if !p.forwarded {
		if t, ok := e.chooseEntry(p, now); ok {
			return t, nil
		}
	}
	if p.attempts > 0 || len(candidates) > 0 {
		return target{}, failure.New(failure.Overloaded, "every replica in reach is full")
	}
	return target{}, failure.New(failure.NotReady, "no ready replica of %q in reach", p.request.Model()+p.request.Service())
}

// candidates returns the agents that can serve the request. Agents with an older
// digest that is still loaded are returned only if none has a digest that a group
// serves: during a rollout the old version serves until the new one is ready.
func (e *Entry) candidates(p *pendingRequest, now time.Time) []target {
	usable := e.agents.Usable(now)
	if e.hooks.Faults.SendToLeavingAgents {
		usable = e.agents.Agents()
	}
	if p.request.Service() != "" {
		return e.serviceCandidates(p, usable, now)
	}
	served, _ := e.state.View().ServedDigests(p.request.Model())
	var current, older []target
	for _, a := range usable {
		if p.tried[a.LastHeartbeat.From().Address()] {
			continue
		}
		for _, digest := range a.ReadyDigests(p.request.Model()) {
			t := target{a.LastHeartbeat.From().Address(), digest, link.KindRequest, e.router.Replica(a.LastHeartbeat.From().ID(), now)}
			if contains(served, digest) {
				current = append(current, t)
			} else {
				older = append(older, t)
			}
		}
	}
	if len(current) > 0 {
		return current
	}
	return older
}

func contains(digests []contract.Digest, d contract.Digest) bool {
	for _, o := range digests {
		if o == d {
			return true
		}
	}
	return false
}

func (e *Entry) serviceCandidates(p *pendingRequest, usable []membership.Agent, now time.Time) []target {
	var targets []target
	for _, a := range usable {
		address := a.LastHeartbeat.From().Address()
		if a.HasService(p.request.Service()) && !p.tried[address] {
			targets = append(targets, target{address, contract.Digest{}, link.KindRequest, e.router.Replica(a.LastHeartbeat.From().ID(), now)})
		}
	}
	return targets
}

// pickReplica has the router choose a candidate. It reports false when there is none
// or all are at their limits.
func (e *Entry) pickReplica(candidates []target, p *pendingRequest, now time.Time) (target, bool) {
	replicas := make([]*route.Replica, 0, len(candidates))
	for _, c := range candidates {
		replicas = append(replicas, c.replica)
	}
	chosen := e.router.Pick(replicas, p.prefix, now)
	for _, c := range candidates {
		if c.replica == chosen {
			return c, true
		}
	}
	return target{}, false
}

// chooseEntry picks the least loaded entry of another failure domain that can serve
// the request.
func (e *Entry) chooseEntry(p *pendingRequest, now time.Time) (target, bool) {
	served, _ := e.state.View().ServedDigests(p.request.Model())
	var best contract.EntryHeartbeat
	found := false
	for _, b := range e.entries.live(now) {
		if b.Draining() || b.From().Domain() == e.process.Identity.Domain() || p.tried[b.From().Address()] {
			continue
		}
		if !entryCanServe(b, p.request.Service(), served) {
			continue
		}
		if !found || b.Load().InFlight() < best.Load().InFlight() {
			best, found = b, true
		}
	}
	return target{address: best.From().Address(), kind: link.KindRequest}, found
}

// entryCanServe reports whether a heartbeat lists the service or, for a request to a
// model, one of the served digests.
func entryCanServe(b contract.EntryHeartbeat, service string, served []contract.Digest) bool {
	for _, s := range b.Services() {
		if service != "" && s == service {
			return true
		}
	}
	for _, d := range b.Ready() {
		if service == "" && contains(served, d) {
			return true
		}
	}
	return false
}

// ----------------------------------------------------------------
// Sending

// send sends one attempt and writes the parts of the response to out, after checkPart.
func (e *Entry) send(ctx context.Context, t target, r contract.Request, out *sink) error {
	e.hooks.BeforeSend(r.Attempt())
	// The deadline is checked again, because the process may have been suspended since
	// the request was admitted or its claim was granted.
	if !time.Now().Before(r.DeadlineTime()) {
		return failure.New(failure.DeadlineExceeded, "the deadline passed before the request was sent")
	}
	ctx, cancel := context.WithDeadline(ctx, r.DeadlineTime())
	defer cancel()
	s, err := e.process.Endpoint.Open(ctx, t.address, t.kind, "")
	if err != nil {
		return failure.Of(err).WithRan(failure.NotRun)
	}
	defer s.Close()
	if err := s.Send(r); err != nil {
		return e.classifyAttemptError(ctx, failure.Of(err), r)
	}
	return e.receive(ctx, s, r, out)
}

func (e *Entry) receive(ctx context.Context, s *link.Stream, r contract.Request, out *sink) error {
	for sequence := uint64(0); ; sequence++ {
		var part contract.ResponsePart
		if err := s.Receive(&part); err != nil {
			return e.classifyAttemptError(ctx, failure.Of(err), r)
		}
		if !e.hooks.Faults.SkipResponseCheck {
			if err := checkPart(part, r, sequence); err != nil {
				return err
			}
		}
		if err := out.write(part); err != nil {
			if f := failure.Of(err); f.Kind() != failure.Internal {
				return f
			}
			return failure.New(failure.Unreachable, "sending the response to the caller failed: %v", err).WithRan(failure.RanYes)
		}
		out.started = true
		if part.End() {
			return nil
		}
	}
}

// classifyAttemptError returns the failure of an attempt whose response is incomplete. A
// typed failure of the agent is returned unchanged; for a lost connection the outcome
// is unknown.
func (e *Entry) classifyAttemptError(ctx context.Context, f *failure.Failure, r contract.Request) error {
	if f.Kind() != failure.Internal {
		return f
	}
	if ctx.Err() != nil && !time.Now().Before(r.DeadlineTime()) {
		return failure.New(failure.DeadlineExceeded, "no complete response before the deadline").WithRan(failure.RanUnknown)
	}
	return failure.New(failure.OutcomeUnknown, "the link to the backend server's agent broke: %s", f.Message()).WithRan(failure.RanUnknown)
}
