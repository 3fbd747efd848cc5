// ================================================================
// A fake model engine. It loads weights only if they are complete, batches requests continuously at
// a fixed step, streams responses, and can check fencing tokens. Each output token contains the
// weights' digest and a hash of the request, so that a test detects mixed-up responses.
// ================================================================

package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/engine"
)

const (
	defaultStep     = 10 * time.Millisecond
	defaultTokens   = 8
	maxOrderBytes   = 1 << 20
	maxRequestBytes = 16 << 20
)

// Engine is a fake model engine. Its exported fields must not change while Handler serves requests.
type Engine struct {
	// Step is the duration of a batch step, which produces one token for each request in it.
	Step time.Duration
	// Batch is the maximum number of requests in one step, as passed to NewEngine; others wait.
	Batch int
	// LoadTime is the duration of a load.
	LoadTime time.Duration
	// ChecksFences makes the engine reject an order whose fencing token is not above the last one.
	ChecksFences bool

	mu       sync.Mutex
	instance string
	fence    uint64
	models   map[string]string // model names by digest
	running  int
	queued   int
	slots    chan struct{}
}

// NewEngine returns an engine without loaded models.
func NewEngine(batch int) *Engine {
	return &Engine{
		Step: defaultStep, Batch: batch,
		instance: fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano()),
		models:   map[string]string{}, slots: make(chan struct{}, batch),
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/orders", e.serveOrder)
	r.Get("/v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.state()) })
	r.Post("/v1/chat/completions", e.serveChat)
	return r
}

func (e *Engine) state() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := engine.State{Instance: e.instance, Fence: e.fence, Running: e.running, Queued: e.queued, CacheFree: 1}
	for digest, model := range e.models {
		s.Models = append(s.Models, engine.LoadedModel{Model: model, Digest: digest})
	}
	return s
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxOrderBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	stale := e.ChecksFences && o.Fence <= e.fence
	if !stale {
		e.fence = max(e.fence, o.Fence)
	}
	e.mu.Unlock()
	if stale {
		writeError(w, http.StatusConflict, fmt.Sprintf("fence %d is not above %d", o.Fence, e.fence))
		return
	}
	if o.Action == engine.ActionLoad {
		time.Sleep(e.LoadTime)
		if err := verifyWeights(o); err != nil {
			writeError(w, http.StatusUnprocessableEntity, err.Error())
			return
		}
	}
	e.mu.Lock()
	if o.Action == engine.ActionLoad {
		e.models[o.Digest] = o.Model
	} else {
		delete(e.models, o.Digest)
	}
	e.mu.Unlock()
	writeJSON(w, e.state())
}

// verifyWeights returns an error unless the file holds the complete weights with the order's digest.
func verifyWeights(o engine.Order) error {
	data, err := os.ReadFile(o.Path)
	if err != nil {
		return err
	}
	if got := contract.ManifestOf(data, o.ChunkSize).Digest().String(); got != o.Digest {
		return fmt.Errorf("weights have digest %s, want %s", got, o.Digest)
	}
	return nil
}

// chatRequest holds the fields of a chat request that the fake engine uses.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	var q chatRequest
	if err != nil || json.Unmarshal(raw, &q) != nil {
		writeError(w, http.StatusBadRequest, "the body is not a chat request")
		return
	}
	digest, ok := e.digestOf(q.Model, r.Header.Get(engine.DigestHeader))
	if !ok {
		writeError(w, http.StatusNotFound, "the model is not loaded")
		return
	}
	if !e.acquireSlot(r) {
		return
	}
	defer e.releaseSlot()
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultTokens
	}
	w.Header().Set(engine.DigestHeader, digest)
	tag := fmt.Sprintf("%s:%x", digest[:12], xxhash.Sum64(raw))
	if q.Stream {
		e.stream(w, r, q, tag)
		return
	}
	time.Sleep(time.Duration(q.MaxTokens) * e.Step)
	writeJSON(w, completion(q.Model, "message", strings.TrimSpace(strings.Repeat(tag+" ", q.MaxTokens))))
}

func (e *Engine) digestOf(model, pinned string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pinned != "" {
		return pinned, e.models[pinned] == model
	}
	for digest, m := range e.models {
		if m == model {
			return digest, true
		}
	}
	return "", false
}

func (e *Engine) acquireSlot(r *http.Request) bool {
	e.adjustCounts(0, 1)
	defer e.adjustCounts(0, -1)
	select {
	case e.slots <- struct{}{}:
		e.adjustCounts(1, 0)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) releaseSlot() {
	<-e.slots
	e.adjustCounts(-1, 0)
}

func (e *Engine) adjustCounts(running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.queued += queued
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q chatRequest, tag string) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range q.MaxTokens {
		select {
		case <-time.After(e.Step):
		case <-r.Context().Done():
			return
		}
		raw, _ := json.Marshal(completion(q.Model, "delta", fmt.Sprintf("%s:%d ", tag, i)))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", raw)
		_ = controller.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// completion returns a chat completion, or a chunk of a streamed one, in the OpenAI format.
func completion(model, field, content string) map[string]any {
	return map[string]any{
		"object": "chat.completion",
		"model":  model,
		"choices": []map[string]any{{
			"index": 0,
			field:   map[string]string{"role": "assistant", "content": content},
		}},
	}
}
