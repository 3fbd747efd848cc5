// ================================================================
// An engine in virtual time whose standstills, refusals and first events a test decides, and the
// stager beside it. It records its runs: what an engine sees of a stream.
// ================================================================

package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/reservation"
)

// stagerMode is how the stager of an engine treats reservation requests.
type stagerMode int

const (
	stagerGrants stagerMode = iota
	stagerRefuses
	stagerUnanswering
)

// scriptedRun is one run of a request at an engine.
type scriptedRun struct {
	engine     *scriptedEngine
	requestID  string
	receivedAt time.Time
	connection time.Time // when its connection was made
	beganAt    time.Time // its first event
	eventsAt   []time.Time
	closedAt   time.Time // the gateway closed the connection
	endedAt    time.Time // the engine ended the run
	complete   bool
	refused    bool
	broken     bool // by the engine
}

// scriptedEngine is one engine. Its events come at multiples of gap after phase.
type scriptedEngine struct {
	world           *scriptedWorld
	name            string
	address, domain string
	phase           time.Time
	gap             time.Duration
	firstEvent      time.Duration // until the first event of a run

	mu         sync.Mutex
	stillUntil time.Time // it does nothing until then; its connections stay open
	silencedAt time.Time // connections that existed then drop all bytes; zero for none
	full       bool      // it refuses further requests
	order      bool      // its stager reports an order under way
	version    uint64
	stager     stagerMode
	reports    bool // its stager reports the load
	breakRuns  chan struct{}
	onAsked    func() // called with each reservation request; may be nil
	onRequest  func() // called with each request that arrives; may be nil
	onBegin    func() // called just before the first event of a run is written; may be nil
	runs       []*scriptedRun
	conns      []net.Conn
}

func (e *scriptedEngine) set(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// standStill makes the engine do nothing for a time.
func (e *scriptedEngine) standStill(length time.Duration) {
	e.set(func() { e.stillUntil = time.Now().Add(length) })
}

// waitAwake waits until the engine no longer stands still.
func (e *scriptedEngine) waitAwake() {
	for {
		e.mu.Lock()
		left := time.Until(e.stillUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(min(left, time.Millisecond))
	}
}

// load returns the load that the stager reports.
func (e *scriptedEngine) load() feed.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for _, r := range e.runs {
		if r.endedAt.IsZero() && !r.refused {
			running++
		}
	}
	return feed.NewLoad("menu", e.address, "menu", e.version, running, 0, 1, e.order, false)
}

// answerReservation is the stager's answer to a reservation request.
func (e *scriptedEngine) answerReservation(ctx context.Context) (reservation.Response, error) {
	e.mu.Lock()
	mode, asked := e.stager, e.onAsked
	e.mu.Unlock()
	if asked != nil {
		asked()
	}
	if mode == stagerUnanswering {
		<-ctx.Done()
		return reservation.Response{}, errors.New("no answer")
	}
	time.Sleep(time.Millisecond)
	return reservation.NewResponse(mode == stagerGrants, idleStartDelay, e.load()), nil
}

// end ends a standstill and closes all connections.
func (e *scriptedEngine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stillUntil = time.Time{}
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

// dial opens a connection to the engine; the kernel accepts it also while the engine stands still.
func (e *scriptedEngine) dial(context.Context, string, string) (net.Conn, error) {
	clientSide, serverSide := net.Pipe()
	e.set(func() { e.conns = append(e.conns, serverSide) })
	e.world.serving.Go(func() { e.serve(serverSide, time.Now()) })
	return clientSide, nil
}

func (e *scriptedEngine) serve(conn net.Conn, madeAt time.Time) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.Method == http.MethodOptions {
			e.waitAwake()
			_, _ = io.WriteString(conn, probeResponse)
			continue
		}
		r := &scriptedRun{engine: e, requestID: request.Header.Get(headerID), receivedAt: time.Now(), connection: madeAt}
		e.mu.Lock()
		e.runs = append(e.runs, r)
		received := e.onRequest
		e.mu.Unlock()
		if received != nil {
			received()
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			if _, err := reader.Peek(1); err != nil {
				e.set(func() { r.closedAt = time.Now() })
			}
		}()
		keep := e.answer(conn, request, r)
		e.set(func() { r.endedAt = time.Now() })
		if !keep {
			return
		}
		<-closed
	}
}

// isSilenced reports whether the connection of a run drops all bytes.
func (e *scriptedEngine) isSilenced(r *scriptedRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.silencedAt.IsZero() && !r.connection.After(e.silencedAt)
}

// isAbandoned reports whether the engine sees that the gateway closed the connection of a run.
func (e *scriptedEngine) isAbandoned(r *scriptedRun) bool {
	silenced := e.isSilenced(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	return !silenced && !r.closedAt.IsZero()
}

// answer runs a request, and reports whether the connection stays open.
func (e *scriptedEngine) answer(conn net.Conn, request *http.Request, r *scriptedRun) (keep bool) {
	e.waitAwake()
	if e.isAbandoned(r) {
		return false
	}
	e.mu.Lock()
	refuses, broken := e.full, e.breakRuns
	r.refused = refuses
	e.mu.Unlock()
	w := bufio.NewWriter(conn)
	if refuses {
		writeResponse(w, request, "503 Service Unavailable", headerNotRun+": 1\r\n", "full")
		return w.Flush() == nil
	}
	after, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	last := e.world.lastEventOf(r.requestID)
	time.Sleep(e.firstEvent)
	for number := after + 1; number <= last; number++ {
		select {
		case <-broken:
			e.set(func() { r.broken = true })
			return false
		case <-time.After(e.untilEvent()):
		}
		e.waitAwake()
		if e.isAbandoned(r) {
			return false
		}
		if e.isSilenced(r) {
			w.Reset(io.Discard)
		}
		e.set(func() { r.eventsAt = append(r.eventsAt, time.Now()) })
		if number > after+1 {
			writeChunk(w, event(number))
			continue
		}
		e.mu.Lock()
		r.beganAt = time.Now()
		begins := e.onBegin
		e.mu.Unlock()
		if begins != nil {
			begins()
		}
		writeEvents(w, request, number, number)
	}
	e.set(func() { r.complete = !e.silencedAt.After(r.connection) })
	_, _ = w.WriteString("0\r\n\r\n")
	return w.Flush() == nil
}

// untilEvent returns the time to the engine's next event.
func (e *scriptedEngine) untilEvent() time.Duration {
	return e.gap - time.Since(e.phase)%e.gap
}
