// ================================================================
// The client of a model engine, which an agent uses over HTTP on the same VM.
//
//	POST /v1/orders            a fenced order: load, unload
//	GET  /v1/state             instance, digests loaded, load, fence
//	POST /v1/chat/completions  a request; server-sent events when streamed
//	OPTIONS *                  a ping; any response will do
//
// Engine is a concrete type with function fields, so that a test can replace one function without a
// server.
// ================================================================

// Package engine is the client of the model engine of a VM.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// PriorityHeader carries the priority of a request to the engine.
	PriorityHeader = "X-Priority"
	// DigestHeader requires a digest in a request, and states in a response the digest that the
	// engine used.
	DigestHeader = "X-Model-Digest"
	// maxStateBytes bounds the responses to orders and state requests, in bytes.
	maxStateBytes = 1 << 20
)

// Action is the action that an order requests.
type Action string

// The actions of an order.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order is a fenced order to an engine.
type Order struct {
	// Fence is the fencing token, which rises with every order; an engine that checks it refuses a
	// lower one.
	Fence  uint64 `json:"fence"`
	Action Action `json:"action"`
	Model  string `json:"model"`
	Digest string `json:"digest"`
	// Path is the weights file on the VM.
	Path string `json:"path,omitempty"`
	// ChunkSize is the manifest's chunk size in bytes. With it an engine can verify the file, which the
	// agent does not rely on.
	ChunkSize int64 `json:"chunk_size,omitempty"`
}

// LoadedModel is a model that an engine serves.
type LoadedModel struct {
	Model  string `json:"model"`
	Digest string `json:"digest"`
}

// State is the state that an engine reports.
type State struct {
	// Instance differs between two starts of the engine.
	Instance        string        `json:"instance"`
	Fence           uint64        `json:"fence"`
	Models          []LoadedModel `json:"models"`
	Running         int           `json:"running"`
	Queued          int           `json:"queued"`
	CacheFree       float64       `json:"cache_free"`
	TokensPerSecond float64       `json:"tokens_per_second"`
}

// Serves reports whether the engine serves a model with the given digest.
func (s State) Serves(model string, digest contract.Digest) bool {
	for _, l := range s.Models {
		if l.Model == model && l.Digest == digest.String() {
			return true
		}
	}
	return false
}

// Engine is a model engine or another HTTP service on this VM.
type Engine struct {
	// SendOrder sends an order and returns the state after it.
	SendOrder func(ctx context.Context, o Order) (State, error)
	// ReadState returns the present state.
	ReadState func(ctx context.Context) (State, error)
	// SendRequest sends a request and returns its response, whose body may still be streaming. An
	// error means that no response came; the failure states whether the request may have been
	// executed.
	SendRequest func(ctx context.Context, r contract.Request) (*http.Response, error)
	// Ping returns an error unless the process responds to a request that runs nothing.
	Ping func(ctx context.Context) error
}

// NewHTTP returns the engine at a base URL.
func NewHTTP(base string) *Engine {
	singleUse := newTransport()
	singleUse.DisableKeepAlives = true
	h := httpEngine{
		base:      base,
		client:    upstream.NewClient(newTransport()),
		singleUse: upstream.NewClient(singleUse),
	}
	return &Engine{SendOrder: h.sendOrder, ReadState: h.readState, SendRequest: h.sendRequest, Ping: h.ping}
}

// maxIdleConnections is the number of idle connections to the engine kept for reuse.
const maxIdleConnections = 256

func newTransport() *http.Transport {
	t := upstream.DefaultTransport()
	t.MaxIdleConnsPerHost = maxIdleConnections
	t.Proxy = nil
	return t
}

// httpEngine implements the functions of NewHTTP's Engine.
type httpEngine struct {
	base   string
	client *http.Client
	// singleUse opens a connection for each request. Go's client resends a request when a reused
	// connection breaks, which is not allowed for non-repeatable requests.
	singleUse *http.Client
}

func (h httpEngine) sendOrder(ctx context.Context, o Order) (State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return State{}, err
	}
	return h.callState(ctx, http.MethodPost, "/v1/orders", bytes.NewReader(body))
}

func (h httpEngine) readState(ctx context.Context) (State, error) {
	return h.callState(ctx, http.MethodGet, "/v1/state", nil)
}

func (h httpEngine) ping(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodOptions, h.base, nil)
	if err != nil {
		return err
	}
	request.URL.Path, request.URL.Opaque = "", "*" // the no-op request of HTTP
	response, err := h.client.Do(request)
	if err != nil {
		return failure.New(failure.BackendFailed, "engine: %v", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxStateBytes))
	return response.Body.Close()
}

func (h httpEngine) callState(ctx context.Context, method, path string, body io.Reader) (State, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, body)
	if err != nil {
		return State{}, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return State{}, failure.New(failure.BackendFailed, "engine: %v", err).WithRan(failure.RanUnknown)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return State{}, failure.New(failure.BackendFailed, "engine: %v", err).WithRan(failure.RanUnknown)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return State{}, failure.New(failure.StaleOrder, "engine: %.200s", bytes.TrimSpace(raw))
	default:
		return State{}, failure.New(failure.BackendFailed, "engine answered %s: %.200s", response.Status, bytes.TrimSpace(raw))
	}
	var s State
	if err := json.Unmarshal(raw, &s); err != nil {
		return State{}, failure.New(failure.BackendFailed, "engine state: %v", err)
	}
	return s, nil
}

func (h httpEngine) sendRequest(ctx context.Context, r contract.Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method(), h.base+r.Path(), bytes.NewReader(r.Body()))
	if err != nil {
		return nil, failure.New(failure.BadRequest, "%v", err)
	}
	request.Header.Set("Content-Type", r.ContentType())
	request.Header.Set(PriorityHeader, strconv.Itoa(r.Priority()))
	if r.Model() != "" {
		request.Header.Set(DigestHeader, r.Digest().String())
	}
	if r.Stream() {
		request.Header.Set("Accept", "text/event-stream")
	}
	client := h.client
	if !r.Repeatable() {
		client = h.singleUse
	}
	response, err := client.Do(request)
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return nil, failure.New(failure.BackendFailed, "backend server cannot be reached: %v", err)
	}
	if err != nil {
		return nil, failure.New(failure.OutcomeUnknown, "backend server: %v", err).WithRan(failure.RanUnknown)
	}
	return response, nil
}
