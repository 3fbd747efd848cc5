// ================================================================
// What every call goes through, whatever it is for: headers, body, admission,
// execution, answer.
// ================================================================

package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

// serveCall reads a call, has build make the work of it, and serves it if the
// organisation is admitted.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, build func(c caller, body []byte) (*work, error)) {
	now := time.Now()
	c, work, err := e.readCall(w, r, now, build)
	if err != nil {
		e.refuse(w, err)
		return
	}
	ticket, err := e.admission.Admit(c.organisation, c.deadline, now)
	if err != nil {
		e.refuse(w, err)
		return
	}
	defer func() { ticket.Release(time.Now()) }()
	e.serveWork(w, r, work, c)
}

func (e *Entry) readCall(w http.ResponseWriter, r *http.Request, now time.Time, build func(c caller, body []byte) (*work, error)) (caller, *work, error) {
	c, err := e.readCaller(r, now)
	if err != nil {
		return c, nil, err
	}
	body, err := e.readBody(w, r)
	if err != nil {
		return c, nil, err
	}
	work, err := build(c, body)
	return c, work, err
}

// serveWork executes a request and answers its caller.
func (e *Entry) serveWork(w http.ResponseWriter, r *http.Request, work *work, c caller) {
	// The deadline bounds everything from here, the claim's quorum included.
	ctx, cancel := context.WithDeadline(r.Context(), work.request.DeadlineTime())
	defer cancel()
	if c.key != "" && !work.request.Repeatable() {
		e.serveClaimed(ctx, w, work, c.key)
		return
	}
	out := e.stream(w)
	err := e.execute(ctx, work, out)
	e.finish(w, out, work.request.Stream(), err)
}

// serveClaimed answers a keyed request that may not be repeated. Its answer is
// whole before it goes out, since the same bytes are stored for a resend.
func (e *Entry) serveClaimed(ctx context.Context, w http.ResponseWriter, work *work, key string) {
	outcome, err := e.executeClaimed(ctx, work, key)
	if err != nil {
		e.refuse(w, err)
		return
	}
	e.metrics.requests.WithLabelValues("answered").Inc()
	w.Header().Set("Content-Type", outcome.ContentType())
	w.Header().Set(HeaderRan, failure.RanYes.String())
	w.WriteHeader(outcome.Status())
	_, _ = w.Write(outcome.Body())
}
