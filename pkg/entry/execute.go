// ================================================================
// Execution of one request: choose a replica, send, and pass the answer on.
//
// A request is tried again only while nothing of an answer has gone to the
// caller, and only when either nothing ran for certain, or it may be repeated;
// and only within the budget of retries. Anything else ends it at once.
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

// work is a request on its way through the entry.
type work struct {
	request contract.Request
	prefix  string
	// forwarded says that another entry sent it: it stays in this domain.
	forwarded bool
	tried     map[string]bool
	attempts  int
}

// target is where one attempt goes.
type target struct {
	address string
	digest  contract.Digest
	kind    link.Kind
	replica *route.Replica // nil when the target is another entry
}

// sink takes the parts of an answer. started says whether any part has gone
// out to the caller.
type sink struct {
	take    func(contract.ResponsePart) error
	started bool
}

// execute runs a request to its end.
func (e *Entry) execute(ctx context.Context, w *work, out *sink) error {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.budget.RecordRequest()
	w.tried = map[string]bool{}
	ran := failure.NotRun
	for {
		err := e.attempt(ctx, w, out)
		if err == nil {
			return nil
		}
		f := failure.Of(err)
		// What one attempt may have run, no refusal of a later one undoes.
		ran = max(ran, f.Ran())
		if !e.mayRetry(ctx, w, out, f) {
			if e.seams.Faults.SayNotRun {
				ran = failure.NotRun
			}
			return f.WithRan(ran)
		}
		e.metrics.retries.Inc()
	}
}

// mayRetry tells whether another attempt is safe, useful and paid for.
func (e *Entry) mayRetry(ctx context.Context, w *work, out *sink, f *failure.Failure) bool {
	if out.started || ctx.Err() != nil || w.attempts == 0 || w.attempts >= maxAttempts {
		return false
	}
	if f.Ran() != failure.NotRun && !w.request.Repeatable() && !e.seams.Faults.RetryAnything {
		return false
	}
	return retryable[f.Kind()] && e.budget.TryRetry()
}

// retryable are the failures that another replica may not have.
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

// attempt makes one attempt. It fails with NotRun and no attempt counted when
// there is nobody to send to.
func (e *Entry) attempt(ctx context.Context, w *work, out *sink) error {
	t, err := e.choose(w)
	if err != nil {
		return err
	}
	w.attempts++
	w.tried[t.address] = true
	r := w.request.ForAttempt(fmt.Sprintf("%s/%d", w.request.Attempt(), w.attempts), t.digest)
	if t.replica == nil {
		return e.send(ctx, t, r, out)
	}
	t.replica.RequestSent()
	err = e.send(ctx, t, r, out)
	t.replica.RequestEnded(0, countsAgainst(err), time.Now())
	return err
}

// countsAgainst tells whether a failure is the replica's own.
func countsAgainst(err error) bool {
	if err == nil {
		return false
	}
	kind := failure.Of(err).Kind()
	return kind == failure.BackendFailed || kind == failure.Unreachable || kind == failure.OutcomeUnknown
}

// ----------------------------------------------------------------
// Choosing

// choose picks a replica of this failure domain, or else an entry of another
// one that has the digest ready.
func (e *Entry) choose(w *work) (target, error) {
	now := time.Now()
	candidates := e.candidates(w, now)
	if t, ok := e.pick(candidates, w, now); ok {
		return t, nil
	}
	if !w.forwarded {
		if t, ok := e.chooseEntry(w, now); ok {
			return t, nil
		}
	}
	if w.attempts > 0 || len(candidates) > 0 {
		return target{}, failure.New(failure.Overloaded, "every replica in reach is full")
	}
	return target{}, failure.New(failure.NotReady, "no ready replica of %q in reach", w.request.Model()+w.request.Service())
}

// candidates returns the agents that can take the request. Those with a digest
// that a group serves go before those with an older one that is still loaded:
// while a version rolls, the old one answers until the new one is ready.
func (e *Entry) candidates(w *work, now time.Time) []target {
	usable := e.agents.Usable(now)
	if e.seams.Faults.IgnoreLeaving {
		usable = e.agents.Agents()
	}
	if w.request.Service() != "" {
		return e.serviceCandidates(w, usable, now)
	}
	served, _ := e.state.View().ServedDigests(w.request.Model())
	var current, older []target
	for _, a := range usable {
		if w.tried[a.LastHeartbeat.From().Address()] {
			continue
		}
		for _, digest := range a.ReadyDigests(w.request.Model()) {
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

func (e *Entry) serviceCandidates(w *work, usable []membership.Agent, now time.Time) []target {
	var targets []target
	for _, a := range usable {
		address := a.LastHeartbeat.From().Address()
		if a.HasService(w.request.Service()) && !w.tried[address] {
			targets = append(targets, target{address, contract.Digest{}, link.KindRequest, e.router.Replica(a.LastHeartbeat.From().ID(), now)})
		}
	}
	return targets
}

// pick has the router choose; false when all are full or there are none.
func (e *Entry) pick(candidates []target, w *work, now time.Time) (target, bool) {
	replicas := make([]*route.Replica, 0, len(candidates))
	for _, c := range candidates {
		replicas = append(replicas, c.replica)
	}
	chosen := e.router.Pick(replicas, w.prefix, now)
	for _, c := range candidates {
		if c.replica == chosen {
			return c, true
		}
	}
	return target{}, false
}

// chooseEntry picks the least loaded entry of another domain that can serve.
func (e *Entry) chooseEntry(w *work, now time.Time) (target, bool) {
	served, _ := e.state.View().ServedDigests(w.request.Model())
	var best contract.EntryHeartbeat
	found := false
	for _, b := range e.entries.all(now) {
		if b.Draining() || b.From().Domain() == e.process.Identity.Domain() || w.tried[b.From().Address()] {
			continue
		}
		if !offers(b, w.request.Service(), served) {
			continue
		}
		if !found || b.Load().InFlight() < best.Load().InFlight() {
			best, found = b, true
		}
	}
	return target{address: best.From().Address(), kind: link.KindRequest}, found
}

func offers(b contract.EntryHeartbeat, service string, served []contract.Digest) bool {
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

// send sends one attempt and passes the parts of the answer on, each checked
// to belong to this attempt and to follow the one before.
func (e *Entry) send(ctx context.Context, t target, r contract.Request, out *sink) error {
	e.seams.BeforeSend(r.Attempt())
	// The deadline is looked at again here: the entry may have been frozen
	// since the request was admitted or its claim was granted.
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
		return e.broken(ctx, failure.Of(err), r)
	}
	return e.receive(ctx, s, r, out)
}

func (e *Entry) receive(ctx context.Context, s *link.Stream, r contract.Request, out *sink) error {
	for sequence := uint64(0); ; sequence++ {
		var part contract.ResponsePart
		if err := s.Receive(&part); err != nil {
			return e.broken(ctx, failure.Of(err), r)
		}
		if !e.seams.Faults.SkipAnswerCheck {
			if err := checkPart(part, r, sequence); err != nil {
				return err
			}
		}
		if err := out.take(part); err != nil {
			return failure.New(failure.Unreachable, "the caller went away: %v", err).WithRan(failure.RanYes)
		}
		out.started = true
		if part.End() {
			return nil
		}
	}
}

// broken types what ended an attempt before its last part. A typed failure of
// the agent stands as it is; silence means that the outcome is unknown.
func (e *Entry) broken(ctx context.Context, f *failure.Failure, r contract.Request) error {
	if f.Kind() != failure.Internal {
		return f
	}
	if ctx.Err() != nil && !time.Now().Before(r.DeadlineTime()) {
		return failure.New(failure.DeadlineExceeded, "no whole answer before the deadline").WithRan(failure.RanUnknown)
	}
	return failure.New(failure.OutcomeUnknown, "the link to the backend server's agent broke: %s", f.Message()).WithRan(failure.RanUnknown)
}
