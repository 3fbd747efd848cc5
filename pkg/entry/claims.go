// ================================================================
// Requests that may not be repeated and carry an idempotency key. The entry claims
// the key first and then sends the request once. The claim is durable on a quorum
// before anything is sent to an agent.
//
// A request without a key needs no claim: the caller cannot identify it in a resend,
// so the entry that received it sends it once, with or without a quorum.
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
	// settleTimeout bounds how long a response waits for its outcome to be stored.
	// If storing fails, later requests with the key get "outcome unknown" and never run
	// again.
	settleTimeout = time.Second
)

// executeClaimed runs a request with an idempotency key at most once over all
// entries. A resend gets the stored outcome.
func (e *Entry) executeClaimed(ctx context.Context, p *pendingRequest, key string) (contract.Outcome, error) {
	r := p.request
	if e.hooks.Faults.SkipClaim {
		return e.runClaimed(ctx, p, key)
	}
	claim := contract.NewClaim(r.Organisation(), key, r.Attempt(), contract.DigestOf(append([]byte(r.Method()+" "+r.Path()+"\n"), r.Body()...)), r.Deadline())
	var result contract.ClaimResult
	if err := e.proposals.propose(ctx, agreed.CommandClaim, claim, &result); err != nil {
		// This call sent nothing to an agent, whether or not the claim was stored.
		// Whether an earlier call with the key ran is unknown here.
		f := failure.Of(err)
		return contract.Outcome{}, failure.New(f.Kind(),
			"no claim for key %q: %s; this call did not run, whether an earlier call with the key ran is unknown here", key, f.Message())
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

// storedOutcome returns a stored outcome, or an error when the response was lost or
// exceeded the size that is stored.
func storedOutcome(o contract.Outcome, key string) (contract.Outcome, error) {
	if !o.Known() {
		return o, failure.New(failure.OutcomeUnknown, "the request with key %q was sent and its response was lost", key).WithRan(failure.RanUnknown)
	}
	if o.Truncated() {
		return o, failure.New(failure.OutcomeUnknown, "the request with key %q ran; its response was longer than the %d bytes that are stored",
			key, contract.MaxStoredBody).WithRan(failure.RanYes)
	}
	return o, nil
}

// runClaimed sends a claimed request and stores its outcome.
func (e *Entry) runClaimed(ctx context.Context, p *pendingRequest, key string) (contract.Outcome, error) {
	c := collector{}
	err := e.execute(ctx, p, c.sink())
	f := failure.Of(err)
	ran := err == nil || f.Ran() != failure.NotRun
	outcome := c.outcome(err == nil)
	e.settle(ctx, contract.NewClaimSettlement(p.request.Organisation(), key, p.request.Attempt(), ran, outcome.Stored()))
	if err != nil {
		return outcome, f
	}
	return outcome, nil
}

// settle stores the outcome. It uses its own timeout, because the caller's deadline
// may have passed.
func (e *Entry) settle(ctx context.Context, s contract.ClaimSettlement) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	var settled bool
	err := e.proposals.propose(ctx, agreed.CommandClaimSettlement, s, &settled)
	if err != nil || !settled {
		e.metrics.unsettledClaims.Inc()
		return
	}
	e.process.Recorder.Record(event.ClaimSettled, s.Attempt(), s.Organisation()+" "+s.Key())
}

// ----------------------------------------------------------------
// Collecting a response

// maxCollectedBody bounds the body of a response that is collected before it is written, in bytes.
const maxCollectedBody = 4 << 20

// collector assembles a response from its parts.
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
		if len(c.body)+len(part.Body()) > maxCollectedBody {
			return failure.New(failure.BackendFailed, "the response exceeds %d bytes; a request with an idempotency key may not get a longer one", maxCollectedBody).WithRan(failure.RanYes)
		}
		c.body = append(c.body, part.Body()...)
		return nil
	}}
}

func (c *collector) outcome(known bool) contract.Outcome {
	return contract.NewOutcome(c.status, c.contentType, c.body, false, known)
}
