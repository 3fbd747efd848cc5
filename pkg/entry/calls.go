// ================================================================
// The steps that calls to models and to services share: read headers and body,
// admit, execute, respond.
// ================================================================

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

// serveCall reads a call, makes a request of it with build, and executes it if
// admission control grants the organisation a slot.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, build func(c callHeaders, body []byte) (*pendingRequest, error)) {
	now := time.Now()
	c, pending, err := e.readCall(w, r, now, build)
	if err != nil {
		e.writeError(w, err)
		return
	}
	ticket, err := e.admission.Admit(c.organisation, c.deadline, now)
	if err != nil {
		e.writeError(w, err)
		return
	}
	defer func() { ticket.Release(time.Now()) }()
	e.servePending(w, r, pending, c)
}

func (e *Entry) readCall(w http.ResponseWriter, r *http.Request, now time.Time, build func(c callHeaders, body []byte) (*pendingRequest, error)) (callHeaders, *pendingRequest, error) {
	c, err := e.readHeaders(r, now)
	if err != nil {
		return c, nil, err
	}
	body, err := e.readBody(w, r)
	if err != nil {
		return c, nil, err
	}
	pending, err := build(c, body)
	return c, pending, err
}

// servePending executes a request and responds to its caller.
func (e *Entry) servePending(w http.ResponseWriter, r *http.Request, pending *pendingRequest, c callHeaders) {
	// The deadline bounds all further steps, including the quorum write of the claim.
	ctx, cancel := context.WithDeadline(r.Context(), pending.request.DeadlineTime())
	defer cancel()
	if c.key != "" && !pending.request.Repeatable() {
		e.serveClaimed(ctx, w, pending, c.key)
		return
	}
	out := e.newStreamSink(w)
	err := e.execute(ctx, pending, out)
	e.finish(w, out, pending.request.Stream(), err)
}

// serveClaimed executes a request that has an idempotency key and may not be
// repeated. It buffers the whole response, because the same bytes are stored and
// returned when the caller sends the request again.
func (e *Entry) serveClaimed(ctx context.Context, w http.ResponseWriter, pending *pendingRequest, key string) {
	outcome, err := e.executeClaimed(ctx, pending, key)
	if err != nil {
		e.writeError(w, err)
		return
	}
	e.metrics.requests.WithLabelValues("answered").Inc()
	w.Header().Set("Content-Type", outcome.ContentType())
	w.Header().Set(HeaderRan, failure.RanYes.String())
	w.WriteHeader(outcome.Status())
	_, _ = w.Write(outcome.Body())
}
