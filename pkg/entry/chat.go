// ================================================================
// Requests to models, in the customary chat-completions shape.
// ================================================================

package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	chatPath = "/v1/chat/completions"
	jsonType = "application/json"
	// prefixBytes is how much of a prompt is hashed to find replicas that
	// have its beginning in their cache.
	prefixBytes = 1024
)

// chatBody are the parts of a chat request that the entry needs; the body goes
// to the engine as it came.
type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c, err := e.readCaller(r, now)
	if err != nil {
		e.refuse(w, err)
		return
	}
	raw, err := e.readBody(w, r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	body, err := e.readChat(raw)
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
	repeatable := c.repeatable == nil || *c.repeatable
	request := contract.NewRequest(e.nextAttempt(), c.organisation.Name, body.Model, contract.Digest{}, "",
		http.MethodPost, chatPath, jsonType, raw, c.deadline.UnixNano(), body.Stream, repeatable, c.priority)
	e.serveWork(w, r, &work{request: request, prefix: prefixOf(body)}, c)
}

func (e *Entry) readChat(raw []byte) (chatBody, error) {
	var body chatBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, failure.New(failure.BadRequest, "the body is not a chat request: %v", err)
	}
	if _, ok := e.state.View().ServedDigests(body.Model); !ok {
		return body, failure.New(failure.UnknownModel, "model %q", body.Model)
	}
	return body, nil
}

// prefixOf hashes the beginning of the conversation.
func prefixOf(body chatBody) string {
	h := xxhash.New()
	left := prefixBytes
	for _, m := range body.Messages {
		content := m.Content[:min(len(m.Content), left)]
		_, _ = h.WriteString(m.Role)
		_, _ = h.Write(content)
		left -= len(content)
		if left == 0 {
			break
		}
	}
	if left == prefixBytes {
		return ""
	}
	return strconv.FormatUint(h.Sum64(), 16)
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
