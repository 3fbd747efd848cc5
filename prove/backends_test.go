// ================================================================
// In-memory engines, a plain service and an origin. They record what was loaded
// and which requests were executed, independently of what tidepost reports.
// ================================================================

package prove

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/engine"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/fake"
)

// tokenInterval is the time between two tokens of an engine's response.
const tokenInterval = 10 * time.Millisecond

// runRecord counts the executions of requests on all backend servers, and collects violations.
type runRecord struct {
	mu         sync.Mutex
	runs       map[string]int // by request body
	violations []string
}

func newRunRecord() *runRecord { return &runRecord{runs: map[string]int{}} }

func (r *runRecord) addRun(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[body]++
}

func (r *runRecord) runCount(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[body]
}

func (r *runRecord) addViolation(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}

// ----------------------------------------------------------------
// Engine

// modelEngine is an in-memory engine.
type modelEngine struct {
	record *runRecord

	mu             sync.Mutex
	instance       int
	fence          uint64
	loaded         map[string]string // digest to model
	content        map[string]string // digest of the order to digest of the weights that were read
	requestCount   int
	orderCount     int
	ordersInFlight int
	overlapCount   int
	loadTime       time.Duration
	blocked        bool
}

func newModelEngine(record *runRecord) *modelEngine {
	return &modelEngine{record: record, loaded: map[string]string{}, content: map[string]string{}, loadTime: 5 * tokenInterval}
}

func (m *modelEngine) setLoadTime(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loadTime = d
}

// ordersReceived returns the number of orders so far.
func (m *modelEngine) ordersReceived() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orderCount
}

// overlappingOrders returns how many orders arrived while another one was being executed.
func (m *modelEngine) overlappingOrders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.overlapCount
}

// hasLoaded reports whether the engine serves a digest.
func (m *modelEngine) hasLoaded(digest contract.Digest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loaded[digest.String()] != ""
}

// contentOf returns the digest of the weights that the engine read when it loaded a digest.
func (m *modelEngine) contentOf(digest contract.Digest) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.content[digest.String()]
}

func (m *modelEngine) engine() *engine.Engine {
	return &engine.Engine{SendOrder: m.sendOrder, ReadState: m.readState, SendRequest: m.sendRequest}
}

// blockResponses stalls every response until unblockResponses, so that a VM that drains does not end.
func (m *modelEngine) blockResponses() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked = true
}

func (m *modelEngine) unblockResponses() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked = false
}

// requestsReceived returns the number of requests that reached the engine.
func (m *modelEngine) requestsReceived() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requestCount
}

func (m *modelEngine) isBlocked() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blocked
}

// restart simulates a restart of the engine, which unloads all models.
func (m *modelEngine) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instance++
	m.loaded = map[string]string{}
}

// sendOrder executes an order without verifying the weights, as a real engine does. The digest of
// the weights is recorded, so that sendRequest can compare it with the digest of the order.
func (m *modelEngine) sendOrder(ctx context.Context, o engine.Order) (engine.State, error) {
	type result struct {
		state engine.State
		err   error
	}
	done := make(chan result, 1)
	go func() {
		s, err := m.execute(o)
		done <- result{s, err}
	}()
	select {
	case a := <-done:
		return a.state, a.err
	case <-ctx.Done():
		// The engine continues to execute the order although the agent's call has ended.
		return engine.State{}, failure.New(failure.BackendFailed, "%v", ctx.Err()).WithRan(failure.RanUnknown)
	}
}

func (m *modelEngine) execute(o engine.Order) (engine.State, error) {
	m.mu.Lock()
	loadTime := m.loadTime
	m.orderCount++
	m.ordersInFlight++
	if m.ordersInFlight > 1 {
		m.overlapCount++
	}
	m.mu.Unlock()
	time.Sleep(loadTime)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ordersInFlight--
	if o.Fence <= m.fence {
		return engine.State{}, failure.New(failure.StaleOrder, "fence %d is not above %d", o.Fence, m.fence)
	}
	m.fence = o.Fence
	if o.Action == engine.ActionUnload {
		delete(m.loaded, o.Digest)
		return m.state(), nil
	}
	data, err := os.ReadFile(o.Path)
	if err != nil {
		return engine.State{}, failure.New(failure.BackendFailed, "%v", err)
	}
	m.loaded[o.Digest] = o.Model
	m.content[o.Digest] = contract.ManifestOf(data, o.ChunkSize).Digest().String()
	return m.state(), nil
}

func (m *modelEngine) readState(context.Context) (engine.State, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state(), nil
}

func (m *modelEngine) state() engine.State {
	s := engine.State{Instance: fmt.Sprint(m.instance), Fence: m.fence, CacheFree: 1}
	for digest, model := range m.loaded {
		s.Models = append(s.Models, engine.LoadedModel{Model: model, Digest: digest})
	}
	return s
}

// sendRequest streams tokens that contain the request's body, so that a response identifies its request.
func (m *modelEngine) sendRequest(ctx context.Context, r contract.Request) (*http.Response, error) {
	m.mu.Lock()
	digest := r.Digest().String()
	model, loaded := m.loaded[digest]
	content := m.content[digest]
	instance := m.instance
	m.requestCount++
	m.mu.Unlock()
	m.record.addRun(string(r.Body()))
	if !loaded || model != r.Model() {
		return newResponse(http.StatusNotFound, "text/plain", digest, strings.NewReader("not loaded")), nil
	}
	if content != digest {
		m.record.addViolation("a response was computed with weights %.12s but labelled with digest %.12s", content, digest)
	}
	reader, writer := io.Pipe()
	go func() {
		for i := range responseTokens {
			time.Sleep(tokenInterval)
			for m.isBlocked() && ctx.Err() == nil {
				time.Sleep(tokenInterval)
			}
			m.mu.Lock()
			restarted := m.instance != instance
			m.mu.Unlock()
			if restarted || ctx.Err() != nil {
				_ = writer.CloseWithError(errors.New("connection reset"))
				return
			}
			if _, err := fmt.Fprintf(writer, "data: %s:%d\n\n", r.Body(), i); err != nil {
				return
			}
		}
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
		_ = writer.Close()
	}()
	stop := context.AfterFunc(ctx, func() { _ = reader.CloseWithError(ctx.Err()) })
	_ = stop
	return newResponse(http.StatusOK, "text/event-stream", digest, reader), nil
}

// responseTokens is the number of tokens of every response.
const responseTokens = 12

// completeResponse returns the response that a caller must get for a body.
func completeResponse(body string) string {
	var b strings.Builder
	for i := range responseTokens {
		fmt.Fprintf(&b, "data: %s:%d\n\n", body, i)
	}
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

func newResponse(status int, contentType, digest string, body io.Reader) *http.Response {
	h := http.Header{}
	h.Set("Content-Type", contentType)
	h.Set(engine.DigestHeader, digest)
	closer, ok := body.(io.ReadCloser)
	if !ok {
		closer = io.NopCloser(body)
	}
	return &http.Response{StatusCode: status, Header: h, Body: closer}
}

// ----------------------------------------------------------------
// Plain service

// plainService is an in-memory service whose calls are not repeatable.
type plainService struct {
	record *runRecord

	mu   sync.Mutex
	mode string
}

// The modes of a plainService: it responds, or it executes the call and loses the response.
const (
	modeNormal       = ""
	modeLoseResponse = "lose_answer"
)

func (p *plainService) setMode(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *plainService) engine() *engine.Engine {
	return &engine.Engine{SendRequest: func(_ context.Context, r contract.Request) (*http.Response, error) {
		p.mu.Lock()
		mode := p.mode
		p.mu.Unlock()
		p.record.addRun(string(r.Body()))
		time.Sleep(3 * tokenInterval)
		if mode == modeLoseResponse {
			return nil, failure.New(failure.OutcomeUnknown, "connection reset").WithRan(failure.RanUnknown)
		}
		return newResponse(http.StatusOK, "text/plain", "", strings.NewReader("done:"+string(r.Body()))), nil
	}}
}

// ----------------------------------------------------------------
// Origin

// origin holds the versions of one model and corrupts a share of the chunks that it serves.
type origin struct {
	mu           sync.Mutex
	versions     map[string][]byte
	corruptShare float64
	random       *rand.Rand
	bytesServed  int64
}

const (
	chunkSize   = 1 << 10
	weightsSize = 24 * chunkSize
)

func newOrigin(random *rand.Rand) *origin {
	return &origin{versions: map[string][]byte{}, random: random}
}

func (o *origin) put(version string, seed uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[version] = fake.Weights(weightsSize, seed)
}

func (o *origin) manifest(_ context.Context, _ string, name contract.ModelVersion) (contract.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.versions[name.Version()]
	if !ok {
		return contract.Manifest{}, failure.New(failure.UnknownObject, "version %q", name.Version())
	}
	return contract.ManifestOf(data, chunkSize), nil
}

func (o *origin) fetchChunk(_ context.Context, _ string, a configstate.Assignment, chunk int) ([]byte, error) {
	time.Sleep(2 * tokenInterval)
	o.mu.Lock()
	defer o.mu.Unlock()
	offset, length := a.Manifest.ChunkRange(chunk)
	data := append([]byte(nil), o.versions[a.Version][offset:offset+length]...)
	o.bytesServed += length
	if o.random.Float64() < o.corruptShare {
		data[0] ^= 0xff
	}
	return data, nil
}
