// ================================================================
// A simulated model engine in virtual time. It works in passes, applies deadlines, loads versions
// of the weights by order, and may become slow, stall, or be reached over a link full of weight
// chunks.
// ================================================================

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

const (
	// engineQueueSize is how many requests an engine queues.
	engineQueueSize = 6
	// engineLoadTime is how long an engine takes to load weights.
	engineLoadTime = 400 * time.Millisecond
	// Before an engine carries out an order and breaks off the running requests, it waits until at
	// most withdrawOccupancy of its slots are taken, but no longer than withdrawTimeout.
	withdrawTimeout   = 3 * time.Second
	withdrawOccupancy = 0.2
	// headerTokens carries the lengths of the prompt and the answer of a request, in tokens.
	headerTokens = "X-Test-Tokens"
)

// simEngineConfig is the engines' part of the service configuration.
var simEngineConfig = serviceconfig.NewEngine(12, []string{"menu"}, 1, 96, 24576, 9270*time.Microsecond, 23*time.Microsecond, 20700, 800, 80, 0, 5)

// simRun is one request at an engine.
type simRun struct {
	request              *simRequest
	prompt               int
	firstEvent           int // number of the first event that the caller lacks
	nextEvent, lastEvent int
	deadline             time.Time
	events               chan int
	disconnected         atomic.Bool // the caller's connection has closed
	started              bool
	ended                atomic.Bool // the engine has ended the run
	endOnce              *sync.Once
}

// end ends the run, also without a complete answer.
func (r *simRun) end() {
	r.endOnce.Do(func() {
		r.ended.Store(true)
		close(r.events)
	})
}

// simEngine is one engine, and the stager beside it.
type simEngine struct {
	sim             *streamSim
	address, domain string
	reservations    reservation.Controller
	wake            chan struct{}

	mu              sync.Mutex
	version         uint64
	withdrawn       bool
	slowdown        float64
	stalledUntil    time.Time
	lastStall       time.Time     // when the engine last stalled
	linkDelay       time.Duration // of requests and resets, behind chunks; 0 without chunks
	queued, running []*simRun
}

func newSimEngine(sim *streamSim, i int) *simEngine {
	return &simEngine{
		sim: sim, address: fmt.Sprintf("127.9.%d.%d:9000", i/200, i%200+1), domain: fmt.Sprintf("hall-%c", 'a'+i%3),
		wake: make(chan struct{}, 1), version: 1, slowdown: 1,
	}
}

// run works in passes until the context ends.
func (e *simEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		took := e.beginPass()
		if took == 0 {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		time.Sleep(took)
		for pause := e.stalledFor(); pause > 0; pause = e.stalledFor() {
			time.Sleep(pause)
		}
		e.endPass()
	}
	e.abortAll()
}

func (e *simEngine) stalledFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.stalledUntil)
}

// beginPass starts queued requests, and returns how long the pass takes; 0 without work.
func (e *simEngine) beginPass() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropEnded()
	var prefillTime time.Duration
	for len(e.queued) > 0 && len(e.running) < simEngineConfig.Slots() {
		r := e.queued[0]
		e.queued = e.queued[1:]
		prefillTime += simEngineConfig.PrefillTime(r.prompt)
		e.running = append(e.running, r)
		r.started = true
		e.sim.runStarted(r, e.version)
	}
	if len(e.running) == 0 {
		return 0
	}
	step := simEngineConfig.Step() + time.Duration(len(e.running))*simEngineConfig.PerSequence()
	return time.Duration(e.slowdown * float64(time.Duration(simEngineConfig.Stride())*step+prefillTime))
}

// endPass writes one event for each running request.
func (e *simEngine) endPass() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropEnded()
	var remaining []*simRun
	for _, r := range e.running {
		r.events <- r.nextEvent
		r.nextEvent++
		if r.nextEvent > r.lastEvent {
			r.end()
			continue
		}
		remaining = append(remaining, r)
	}
	e.running = remaining
}

// dropEnded drops requests whose caller has left or whose deadline has passed.
func (e *simEngine) dropEnded() {
	now := time.Now()
	keepActive := func(all []*simRun) (rest []*simRun) {
		for _, r := range all {
			if !r.disconnected.Load() && now.Before(r.deadline) {
				rest = append(rest, r)
				continue
			}
			if r.started && !r.disconnected.Load() {
				e.sim.runHitDeadline(r)
			}
			r.end()
		}
		return rest
	}
	e.queued, e.running = keepActive(e.queued), keepActive(e.running)
}

// abortAll aborts all requests.
func (e *simEngine) abortAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range append(e.queued, e.running...) {
		r.end()
	}
	e.queued, e.running = nil, nil
}

// loadVersion carries out an order: the engine takes no new requests, waits until most of the
// running ones have ended, and loads the version.
func (e *simEngine) loadVersion(version uint64) {
	e.set(func() { e.withdrawn = true })
	e.sim.reportLoads(e)
	for began := time.Now(); time.Since(began) < withdrawTimeout; time.Sleep(40 * time.Millisecond) {
		if running, queued := e.requestCounts(); float64(running+queued) <= withdrawOccupancy*float64(simEngineConfig.Slots()) {
			break
		}
	}
	e.abortAll()
	time.Sleep(engineLoadTime)
	e.set(func() { e.withdrawn, e.version = false, version })
	e.sim.reportLoads(e)
}

func (e *simEngine) set(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// requestCounts returns the numbers of running and queued requests.
func (e *simEngine) requestCounts() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.queued)
}

// load returns the load that the stager reports.
func (e *simEngine) load() feed.Load {
	running, queued := e.requestCounts()
	e.mu.Lock()
	defer e.mu.Unlock()
	return feed.NewLoad("menu", e.address, "menu", e.version, running, queued, 1, e.withdrawn, e.linkDelay > 0)
}

// answerReservation is the stager's answer to a reservation request.
func (e *simEngine) answerReservation(a reservation.Request) reservation.Response {
	l := e.load()
	if l.Busy() {
		return reservation.NewResponse(false, time.Second, l)
	}
	granted, begins, _ := e.reservations.Decide(time.Now(), simEngineConfig, reservation.Work{Running: l.Running(), Queued: l.Queued(), StepTimeRatio: 1}, a)
	return reservation.NewResponse(granted, begins, l)
}

// dial opens a connection to the engine.
func (e *simEngine) dial(context.Context, string, string) (net.Conn, error) {
	clientSide, serverSide := net.Pipe()
	go e.serve(serverSide)
	return clientSide, nil
}

// serve answers the requests of one connection.
func (e *simEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(e.delay())
		if request.Method == http.MethodOptions {
			_, _ = io.WriteString(conn, probeResponse)
			continue
		}
		r := e.enqueue(request)
		disconnected := make(chan struct{})
		go func() {
			defer close(disconnected)
			if _, err := reader.Peek(1); err != nil {
				time.Sleep(e.delay())
				e.disconnect(r)
			}
		}()
		if !e.answer(conn, request, r) {
			return
		}
		<-disconnected
	}
}

func (e *simEngine) delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.linkDelay
}

// disconnect records that the connection of a run has closed.
func (e *simEngine) disconnect(r *simRun) {
	if r == nil {
		return
	}
	r.disconnected.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.nextEvent > r.firstEvent && !r.ended.Load() {
		e.sim.runInterrupted(r, e.lastStall)
	}
}

// enqueue queues a request; it returns nil where the engine takes none.
func (e *simEngine) enqueue(request *http.Request) *simRun {
	h := request.Header
	var prompt, tokens int
	_, _ = fmt.Sscanf(h.Get(headerTokens), "%d,%d", &prompt, &tokens)
	left, _ := strconv.Atoi(h.Get(headerDeadline))
	after, _ := strconv.Atoi(h.Get(headerLastEvent))
	last := eventsOfTokens(tokens)
	r := &simRun{
		request: e.sim.requestOf(h.Get(headerID)), prompt: prompt, firstEvent: after + 1, nextEvent: after + 1, lastEvent: last, endOnce: &sync.Once{},
		deadline: time.Now().Add(time.Duration(left) * time.Millisecond), events: make(chan int, max(last-after, 0)),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.withdrawn || len(e.queued) >= engineQueueSize {
		return nil
	}
	e.queued = append(e.queued, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r
}

// eventsOfTokens returns the number of events in an answer.
func eventsOfTokens(tokens int) int {
	return (tokens + simEngineConfig.Stride() - 1) / simEngineConfig.Stride()
}

// answer writes the answer of a run, and reports whether the connection stays open.
func (e *simEngine) answer(conn net.Conn, request *http.Request, r *simRun) (keep bool) {
	w := bufio.NewWriter(conn)
	if r == nil {
		writeResponse(w, request, "503 Service Unavailable", headerNotRun+": 1\r\n", "full")
		return w.Flush() == nil
	}
	begun := false
	for number := range r.events {
		if !begun {
			writeEvents(w, request, number, number)
			begun = true
			continue
		}
		writeChunk(w, event(number))
	}
	switch {
	case r.nextEvent > r.lastEvent:
		_, _ = w.WriteString("0\r\n\r\n")
	case begun:
		return false
	case time.Now().Before(r.deadline):
		writeResponse(w, request, "503 Service Unavailable", headerNotRun+": 1\r\n", "withdrawn")
	default:
		writeResponse(w, request, "503 Service Unavailable", headerNotRun+": 1\r\n", "late")
	}
	return w.Flush() == nil
}
