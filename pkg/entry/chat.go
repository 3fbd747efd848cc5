// ================================================================
// Requests to models, in the format of the chat-completions API.
// ================================================================

package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	chatPath        = "/v1/chat/completions"
	contentTypeJSON = "application/json"
	// prefixBytes is how much of a prompt is hashed. Requests with the same hash
	// go to replicas that have the beginning of the prompt in their cache.
	prefixBytes = 1024
)

// chatBody holds the fields of a chat request that the entry needs. The engine
// receives the body unchanged.
type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serveCall(w, r, func(c callHeaders, raw []byte) (*pendingRequest, error) {
		body, err := e.parseChat(raw)
		if err != nil {
			return nil, err
		}
		repeatable := c.repeatable == nil || *c.repeatable
		request := contract.NewRequest(e.nextRequestID(), c.organisation.Name, body.Model, contract.Digest{}, "",
			http.MethodPost, chatPath, contentTypeJSON, raw, c.deadline.UnixNano(), body.Stream, repeatable, c.priority)
		return &pendingRequest{request: request, prefix: prefixHash(body)}, nil
	})
}

func (e *Entry) parseChat(raw []byte) (chatBody, error) {
	var body chatBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, failure.New(failure.BadRequest, "the body is not a chat request: %v", err)
	}
	if _, ok := e.state.View().ServedDigests(body.Model); !ok {
		return body, failure.New(failure.UnknownModel, "model %q", body.Model)
	}
	return body, nil
}

// prefixHash hashes the roles and the first prefixBytes of content of a
// conversation. It returns an empty string when there is no content.
func prefixHash(body chatBody) string {
	h := xxhash.New()
	remaining := prefixBytes
	for _, m := range body.Messages {
		content := m.Content[:min(len(m.Content), remaining)]
		_, _ = h.WriteString(m.Role)
		_, _ = h.Write(content)
		remaining -= len(content)
		if remaining == 0 {
			break
		}
	}
	if remaining == prefixBytes {
		return ""
	}
	return strconv.FormatUint(h.Sum64(), 16)
}
