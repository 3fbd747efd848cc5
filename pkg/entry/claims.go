// ================================================================
// Requests that may not be repeated and carry an idempotency key: claim, then
// send once. The claim is durable on a quorum before a byte goes to an agent.
//
// A request without a key is its own claim: nobody can send it again, so the
// entry that took it sends it once, quorum or not.
// ================================================================

package entry

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/agreed"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// settleTimeout bounds how long an answer waits for its outcome to be
	// stored. Unstored, the key answers "outcome unknown" and never runs again.
	settleTimeout = time.Second
)

// executeClaimed runs a keyed request once over all entries. It returns the
// answer as stored, also to a resend.
func (e *Entry) executeClaimed(ctx context.Context, p *pendingRequest, key string) (contract.Outcome, error) {
	r := p.request
	if e.hooks.Faults.SkipClaim {
		return e.runClaimed(ctx, p, key)
	}
	claim := contract.NewClaim(r.Organisation(), key, r.Attempt(), contract.DigestOf(append([]byte(r.Method()+" "+r.Path()+"\n"), r.Body()...)), r.Deadline())
	var result contract.ClaimResult
	if err := e.proposals.propose(ctx, agreed.CommandClaim, claim, &result); err != nil {
		// This call sent nothing to an agent, whatever became of the claim. What
		// an earlier call with the key did, nobody here can tell.
		f := failure.Of(err)
		return contract.Outcome{}, failure.New(f.Kind(),
			"no claim for key %q: %s; this call did not run, whether an earlier one with the key did is not known here", key, f.Message())
	}
	if result.Refusal() != nil {
		return contract.Outcome{}, result.Refusal()
	}
	switch result.State() {
	case contract.ClaimGranted:
		e.process.Recorder.Record(event.ClaimTaken, r.Attempt(), r.Organisation()+" "+key)
		return e.runClaimed(ctx, p, key)
	case contract.ClaimDone:
		return storedOutcome(result.Outcome(), key)
	default:
		return contract.Outcome{}, failure.New(failure.ClaimedElsewhere, "key %q", key).WithRan(failure.RanUnknown)
	}
}

func storedOutcome(o contract.Outcome, key string) (contract.Outcome, error) {
	if !o.Known() {
		return o, failure.New(failure.OutcomeUnknown, "the request with key %q was sent and its answer was lost", key).WithRan(failure.RanUnknown)
	}
	if o.Truncated() {
		return o, failure.New(failure.OutcomeUnknown, "the request with key %q ran; its answer was longer than the %d bytes that are stored",
			key, contract.MaxStoredBody).WithRan(failure.RanYes)
	}
	return o, nil
}

// runClaimed sends a claimed request and stores what came of it.
func (e *Entry) runClaimed(ctx context.Context, p *pendingRequest, key string) (contract.Outcome, error) {
	c := collector{}
	err := e.execute(ctx, p, c.sink())
	f := failure.Of(err)
	ran := err == nil || f.Ran() != failure.NotRun
	outcome := c.outcome(err == nil)
	e.settle(ctx, contract.NewSettle(p.request.Organisation(), key, p.request.Attempt(), ran, outcome.Stored()))
	if err != nil {
		return outcome, f
	}
	return outcome, nil
}

// settle stores the outcome, within a time of its own: the caller's deadline
// may have passed.
func (e *Entry) settle(ctx context.Context, s contract.Settle) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	var settled bool
	err := e.proposals.propose(ctx, agreed.CommandSettle, s, &settled)
	if err != nil || !settled {
		e.metrics.unsettledClaims.Inc()
		return
	}
	e.process.Recorder.Record(event.ClaimSettled, s.Attempt(), s.Organisation()+" "+s.Key())
}

// ----------------------------------------------------------------
// Collecting an answer

// collector puts the parts of an answer together.
type collector struct {
	status      int
	contentType string
	body        []byte
}

func (c *collector) sink() *sink {
	return &sink{write: func(part contract.ResponsePart) error {
		if part.Status() != 0 {
			c.status, c.contentType = part.Status(), part.ContentType()
		}
		c.body = append(c.body, part.Body()...)
		return nil
	}}
}

func (c *collector) outcome(known bool) contract.Outcome {
	return contract.NewOutcome(c.status, c.contentType, c.body, false, known)
}
