// ================================================================
// A model engine in virtual time: it works in passes, keeps deadlines, takes orders for
// weights, and may become slow, stand still or sit behind a link full of chunks.
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
	// engineWaiting is how many requests an engine queues.
	engineWaiting = 6
	// engineLoads is how long an engine takes to load weights.
	engineLoads = 400 * time.Millisecond
	// withdrawLasts and withdrawPlaces bound the wait before an order cuts what runs.
	withdrawLasts  = 3 * time.Second
	withdrawPlaces = 0.2
	// headerTokens is the prompt and the answer of a request, in tokens.
	headerTokens = "X-Test-Tokens"
)

// fleetEngine is what the configuration says of the engines.
var fleetEngine = serviceconfig.NewEngine(12, []string{"menu"}, 1, 96, 24576, 9270*time.Microsecond, 23*time.Microsecond, 20700, 800, 80, 0, 5)

// virtualRun is one request at an engine.
type virtualRun struct {
	ask        *virtualAsk
	prompt     int
	first      int // event
	next, last int
	until      time.Time // its deadline
	events     chan int
	hasLeft    atomic.Bool // its connection has closed
	hasBegun   bool
	isOver     atomic.Bool // the engine has ended it
	ending     *sync.Once
}

// end ends the run without a whole answer.
func (r *virtualRun) end() {
	r.ending.Do(func() {
		r.isOver.Store(true)
		close(r.events)
	})
}

// virtualEngine is one engine, and the stager beside it.
type virtualEngine struct {
	world           *streamWorld
	address, domain string
	book            reservation.Book
	wake            chan struct{}

	mu          sync.Mutex
	version     uint64
	withdrawn   bool
	pace        float64
	stillUntil  time.Time
	stoodStill  time.Time     // when it stood still last
	linkDelay   time.Duration // of requests and resets, behind chunks; 0 where there are none
	queued, own []*virtualRun
}

func newVirtualEngine(w *streamWorld, i int) *virtualEngine {
	return &virtualEngine{
		world: w, address: fmt.Sprintf("127.9.%d.%d:9000", i/200, i%200+1), domain: fmt.Sprintf("hall-%c", 'a'+i%3),
		wake: make(chan struct{}, 1), version: 1, pace: 1,
	}
}

// run works in passes until the context ends.
func (e *virtualEngine) run(ctx context.Context) {
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
		for still := e.standsStill(); still > 0; still = e.standsStill() {
			time.Sleep(still)
		}
		e.endPass()
	}
	e.cut()
}

func (e *virtualEngine) standsStill() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.stillUntil)
}

// beginPass takes in those that wait, and returns how long the pass takes; 0 for no work.
func (e *virtualEngine) beginPass() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropOver()
	var reads time.Duration
	for len(e.queued) > 0 && len(e.own) < fleetEngine.Slots() {
		r := e.queued[0]
		e.queued = e.queued[1:]
		reads += fleetEngine.Reading(r.prompt)
		e.own = append(e.own, r)
		r.hasBegun = true
		e.world.begins(r, e.version)
	}
	if len(e.own) == 0 {
		return 0
	}
	step := fleetEngine.Step() + time.Duration(len(e.own))*fleetEngine.PerSequence()
	return time.Duration(e.pace * float64(time.Duration(fleetEngine.Stride())*step+reads))
}

// endPass writes one event for each request that runs.
func (e *virtualEngine) endPass() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropOver()
	var still []*virtualRun
	for _, r := range e.own {
		r.events <- r.next
		r.next++
		if r.next > r.last {
			r.end()
			continue
		}
		still = append(still, r)
	}
	e.own = still
}

// dropOver drops requests whose caller has left or whose deadline has passed.
func (e *virtualEngine) dropOver() {
	now := time.Now()
	kept := func(all []*virtualRun) (rest []*virtualRun) {
		for _, r := range all {
			if !r.hasLeft.Load() && now.Before(r.until) {
				rest = append(rest, r)
				continue
			}
			if r.hasBegun && !r.hasLeft.Load() {
				e.world.endsByDeadline(r)
			}
			r.end()
		}
		return rest
	}
	e.queued, e.own = kept(e.queued), kept(e.own)
}

// cut breaks off all requests.
func (e *virtualEngine) cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range append(e.queued, e.own...) {
		r.end()
	}
	e.queued, e.own = nil, nil
}

// order has the engine take a version: it takes nothing new, lets most of what runs end, and
// loads the weights.
func (e *virtualEngine) order(version uint64) {
	e.set(func() { e.withdrawn = true })
	e.world.reportLoads(e)
	for began := time.Now(); time.Since(began) < withdrawLasts; time.Sleep(40 * time.Millisecond) {
		if running, queued := e.counts(); float64(running+queued) <= withdrawPlaces*float64(fleetEngine.Slots()) {
			break
		}
	}
	e.cut()
	time.Sleep(engineLoads)
	e.set(func() { e.withdrawn, e.version = false, version })
	e.world.reportLoads(e)
}

func (e *virtualEngine) set(do func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do()
}

// counts returns how many requests run and how many wait.
func (e *virtualEngine) counts() (running, queued int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.own), len(e.queued)
}

// load is what the stager reports.
func (e *virtualEngine) load() feed.Load {
	running, queued := e.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	return feed.NewLoad("menu", e.address, "menu", e.version, running, queued, 1, e.withdrawn, e.linkDelay > 0)
}

// answerPlace is the stager's answer to a request for a place.
func (e *virtualEngine) answerPlace(a reservation.Ask) reservation.Answer {
	l := e.load()
	if l.Busy() {
		return reservation.NewAnswer(false, time.Second, l)
	}
	granted, begins, _ := e.book.Decide(time.Now(), fleetEngine, reservation.Work{Running: l.Running(), Queued: l.Queued(), Pace: 1}, a)
	return reservation.NewAnswer(granted, begins, l)
}

// dial makes a connection to the engine.
func (e *virtualEngine) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	go e.serve(there)
	return here, nil
}

// serve answers the requests of one connection.
func (e *virtualEngine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(e.delay())
		r := e.take(request)
		read := make(chan struct{})
		go func() {
			defer close(read)
			if _, err := reader.Peek(1); err != nil {
				time.Sleep(e.delay())
				e.leave(r)
			}
		}()
		if !e.answer(conn, request, r) {
			return
		}
		<-read
	}
}

func (e *virtualEngine) delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.linkDelay
}

// leave notes that the connection of a run has closed.
func (e *virtualEngine) leave(r *virtualRun) {
	if r == nil {
		return
	}
	r.hasLeft.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.next > r.first && !r.isOver.Load() {
		e.world.interrupted(r, e.stoodStill)
	}
}

// take queues a request; nil where the engine takes none.
func (e *virtualEngine) take(request *http.Request) *virtualRun {
	h := request.Header
	var prompt, tokens int
	_, _ = fmt.Sscanf(h.Get(headerTokens), "%d,%d", &prompt, &tokens)
	left, _ := strconv.Atoi(h.Get(headerDeadline))
	after, _ := strconv.Atoi(h.Get(headerLastEvent))
	last := eventsOfTokens(tokens)
	r := &virtualRun{
		ask: e.world.askOf(h.Get(headerID)), prompt: prompt, first: after + 1, next: after + 1, last: last, ending: &sync.Once{},
		until: time.Now().Add(time.Duration(left) * time.Millisecond), events: make(chan int, max(last-after, 0)),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.withdrawn || len(e.queued) >= engineWaiting {
		return nil
	}
	e.queued = append(e.queued, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return r
}

// eventsOfTokens is how many events an answer has.
func eventsOfTokens(tokens int) int {
	return (tokens + fleetEngine.Stride() - 1) / fleetEngine.Stride()
}

// answer writes the answer of a run, and tells whether the connection is kept.
func (e *virtualEngine) answer(conn net.Conn, request *http.Request, r *virtualRun) (keep bool) {
	w := bufio.NewWriter(conn)
	if r == nil {
		writeAnswer(w, request, "503 Service Unavailable", headerNotRun+": 1\r\n", "full")
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
	case r.next > r.last:
		_, _ = w.WriteString("0\r\n\r\n")
	case begun:
		return false
	case time.Now().Before(r.until):
		writeAnswer(w, request, "503 Service Unavailable", headerNotRun+": 1\r\n", "withdrawn")
	default:
		writeAnswer(w, request, "503 Service Unavailable", headerNotRun+": 1\r\n", "late")
	}
	return w.Flush() == nil
}
